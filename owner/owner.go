// Package owner runs the targets that a router owns: it enforces their limits
// of in-flight requests, ramps them up after a cold start, queues sub-requests
// per shard, and starts sub-requests only within the router's lease.
package owner

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/telemetry"
	"github.com/peridotmux/peridotmux/topology"
)

// maxTargetAttempts is the maximum number of targets that one sub-request is
// sent to, including targets that refuse it.
const maxTargetAttempts = 4

// ReleasedFunc requests from the router previous which of the targets in q it
// has released.
type ReleasedFunc func(
	ctx context.Context, previous topology.VMName, q *pb.ReleasedRequest,
) (*pb.ReleasedResponse, error)

// Config holds the dependencies of an Owner. A nil Log discards all messages.
// With a nil FetchReleased, a reassigned target stays fenced for a full lease.
type Config struct {
	VM            topology.VMName
	Board         *board.Board
	Lease         *lease.Lease
	Searcher      target.Searcher
	FetchReleased ReleasedFunc
	Log           *slog.Logger
	Metrics       telemetry.Owner
}

// Owner runs the targets that this router owns. It is safe for concurrent use.
type Owner struct {
	pb.DRPCOwnerUnimplementedServer

	cfg Config
	// shards maps each shard that has been owned. The map is replaced, never
	// modified.
	shards atomic.Pointer[map[topology.ShardID]*shard]
	// mu guards held, the targets that this process owns or has owned, and
	// appliedIndex.
	mu   sync.Mutex
	held map[topology.TargetID]*heldTarget
	// appliedIndex is the board index that was last applied.
	appliedIndex uint64
	// newlyActive signals that targets became active.
	newlyActive chan struct{}
}

// New returns an Owner without targets. Run acquires the targets that are
// assigned to the router.
func New(cfg Config) *Owner {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	o := &Owner{cfg: cfg, held: make(map[topology.TargetID]*heldTarget), newlyActive: make(chan struct{}, 1)}
	o.shards.Store(&map[topology.ShardID]*shard{})
	return o
}

// shard returns the shard with the given ID, or nil if this router has never
// owned a target of it.
func (o *Owner) shard(id topology.ShardID) *shard { return (*o.shards.Load())[id] }

// Do runs one sub-request and returns its reply. It blocks until a target has
// answered or refused, the sub-request's time budget is used up, or ctx ends. A
// sub-request with index version 0 isn't run; its reply lists the index
// versions of the shard.
func (o *Owner) Do(ctx context.Context, q *pb.SubRequest) *pb.SubReply {
	now := time.Now()
	s := o.shard(topology.ShardID(q.GetShard()))
	if s == nil {
		return refusal(q, pb.SubReason_SUB_REASON_NO_TARGET)
	}
	if q.GetIndexVersion() == 0 {
		return s.addShardState(&pb.SubReply{Id: q.GetId(), Status: pb.SubStatus_SUB_STATUS_VERSION_GONE})
	}
	if !o.cfg.Lease.Valid(now) {
		return refusal(q, pb.SubReason_SUB_REASON_NO_LEASE)
	}
	j := &job{
		request:  q,
		kind:     topology.KindName(q.GetKind()),
		weight:   o.weight(q.GetKind()),
		deadline: now.Add(time.Duration(q.GetBudgetUs()) * time.Microsecond),
	}
	return s.addShardState(o.run(ctx, s, j, now))
}

// weight returns the fair-queueing weight of a kind, 1 if the kind is unknown.
func (o *Owner) weight(kind string) float64 {
	top := o.cfg.Board.View().Topology
	if top == nil {
		return 1
	}
	if k := top.Kind(topology.KindName(kind)); k != nil {
		return k.Weight
	}
	return 1
}

// run sends j to one target after another until one starts it.
func (o *Owner) run(ctx context.Context, s *shard, j *job, now time.Time) *pb.SubReply {
	reply := refusal(j.request, pb.SubReason_SUB_REASON_NO_TARGET)
	for range maxTargetAttempts {
		got := s.acquire(ctx, j, now)
		if got.replica == nil {
			return refused(reply, got)
		}
		out, reason := o.search(ctx, s, j, got)
		if reason != 0 {
			reply.Reason = reason
			return reply
		}
		reply = answer(j.request, got.replica, out)
		if out.Status != target.NotStarted || out.Reason == target.ReasonCancelled {
			return reply
		}
		if out.Reason != target.ReasonConnectionLost {
			j.exclude = append(j.exclude, got.replica.id())
		}
		now = time.Now()
	}
	return reply
}

// refused completes the reply to a job that got no slot. It keeps the reason
// given by an earlier target, which is more specific than NO_TARGET.
func refused(reply *pb.SubReply, got slot) *pb.SubReply {
	switch {
	case got.versionGone:
		reply.Status = pb.SubStatus_SUB_STATUS_VERSION_GONE
		reply.Reason = 0
	case got.refusal != pb.SubReason_SUB_REASON_NO_TARGET:
		reply.Reason = got.refusal
	}
	return reply
}

// search runs one attempt in an acquired slot. A non-zero reason means that
// nothing was sent.
func (o *Owner) search(ctx context.Context, s *shard, j *job, got slot) (target.Outcome, pb.SubReason) {
	deadline := j.deadline
	if end := o.cfg.Lease.End(); end.Before(deadline) {
		deadline = end
	}
	search := target.Search{
		Target:         got.replica.target,
		RequestID:      j.request.GetRequestId(),
		IndexVersion:   j.request.GetIndexVersion(),
		Deadline:       deadline,
		Body:           j.request.GetBody(),
		AllowReconnect: func() bool { return s.allowReconnect(got.replica, got.run) },
	}
	if reason := o.checkStart(got.replica.target, deadline); reason != 0 {
		s.releaseUnsent(got.replica, got.run)
		return target.Outcome{}, reason
	}
	out := o.send(ctx, search)
	now := time.Now()
	o.cfg.Metrics.Served(s.group.Name, outcomeLabel(out), out.ServiceTime)
	change := s.release(got.replica, got.run, out, now)
	if !out.TargetDone {
		o.expireAfterDeadline(s, got, deadline.Sub(now))
	}
	o.logLimitChange(got.replica.target, change, out)
	return out, 0
}

// send runs a search. If the searcher panics, the outcome is unknown, because
// the target may have started the search.
func (o *Owner) send(ctx context.Context, search target.Search) (out target.Outcome) {
	defer func() {
		if cause := recover(); cause != nil {
			o.cfg.Log.Error("panic during search", "target", search.Target.ID, "cause", cause)
			out = target.Outcome{Status: target.Unknown, Reason: target.ReasonTargetError}
		}
	}()
	return o.cfg.Searcher.Search(ctx, search)
}

// checkStart returns why a search must not be sent to t now, or 0 if it may be.
// It uses the board's latest view, which Run may not have applied yet, and
// requires the lease to last until the deadline.
func (o *Owner) checkStart(t *topology.Target, deadline time.Time) pb.SubReason {
	v := o.cfg.Board.View()
	if v.IsQuiet(t) || v.Assignments[t.ID].Owner != o.cfg.VM {
		return pb.SubReason_SUB_REASON_NO_TARGET
	}
	if !o.cfg.Lease.Covers(time.Now(), deadline) {
		return pb.SubReason_SUB_REASON_NO_LEASE
	}
	return 0
}

// expireAfterDeadline frees the slot at the search's deadline, left from now.
// Until then the target may still be running the search.
func (o *Owner) expireAfterDeadline(s *shard, got slot, left time.Duration) {
	if left <= 0 {
		s.expire(got.replica, got.run)
		return
	}
	time.AfterFunc(left, func() { s.expire(got.replica, got.run) })
}

func (o *Owner) logLimitChange(t *topology.Target, c LimitChange, out target.Outcome) {
	if c.Before == c.After {
		return
	}
	o.cfg.Log.Info("target limit changed", "target", t.ID, "from", c.Before, "to", c.After,
		"process", out.Process, "reason", int(out.Reason))
}
