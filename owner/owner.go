// Package owner runs the targets that a router owns: it holds their limits of
// requests in flight, their cold-start ramps and one queue a shard, and starts
// sub-requests only within the router's lease.
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

// maxStarts bounds the targets that one sub-request is handed to, the refused
// ones included.
const maxStarts = 4

// ReleasedFunc asks the previous owner of targets which of them it released.
type ReleasedFunc func(
	ctx context.Context, previous topology.VMName, q *pb.ReleasedRequest,
) (*pb.ReleasedResponse, error)

// Config holds what an Owner works with.
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

	cfg    Config
	shards atomic.Pointer[map[topology.ShardID]*shard]
	// held lists every target that this process owns or owned.
	mu   sync.Mutex
	held map[topology.TargetID]*holding
	// index is the board's index that was applied last.
	index uint64
}

// New returns an owner without targets. Run takes them up.
func New(cfg Config) *Owner {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	o := &Owner{cfg: cfg, held: make(map[topology.TargetID]*holding)}
	o.shards.Store(&map[topology.ShardID]*shard{})
	return o
}

func (o *Owner) shard(id topology.ShardID) *shard { return (*o.shards.Load())[id] }

// Do runs one sub-request and returns its reply.
func (o *Owner) Do(ctx context.Context, q *pb.SubRequest) *pb.SubReply {
	now := time.Now()
	s := o.shard(topology.ShardID(q.GetShard()))
	if s == nil {
		return refusal(q, pb.SubReason_SUB_REASON_NO_TARGET)
	}
	if q.GetIndexVersion() == 0 {
		return s.fill(&pb.SubReply{Id: q.GetId(), Status: pb.SubStatus_SUB_STATUS_VERSION_GONE})
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
	return s.fill(o.run(ctx, s, j, now))
}

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

// run hands j to targets until one starts it.
func (o *Owner) run(ctx context.Context, s *shard, j *job, now time.Time) *pb.SubReply {
	reply := refusal(j.request, pb.SubReason_SUB_REASON_NO_TARGET)
	for range maxStarts {
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

// refused completes the reply to a job that got no slot. A reason that an
// earlier target gave says more than that no other target is left.
func refused(reply *pb.SubReply, got slot) *pb.SubReply {
	switch {
	case got.gone:
		reply.Status = pb.SubStatus_SUB_STATUS_VERSION_GONE
		reply.Reason = 0
	case got.refusal != pb.SubReason_SUB_REASON_NO_TARGET:
		reply.Reason = got.refusal
	}
	return reply
}

// search runs one attempt in a taken slot. The reason is set if nothing was
// sent.
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
		AllowReconnect: func() bool { return s.closedIdle(got.replica, got.run) },
	}
	if reason := o.mayStart(got.replica.target, deadline); reason != 0 {
		s.undo(got.replica, got.run)
		return target.Outcome{}, reason
	}
	out := o.send(ctx, search)
	now := time.Now()
	o.cfg.Metrics.Served(s.group.Name, outcomeText(out), out.ServiceTime)
	change := s.release(got.replica, got.run, out, now)
	if !out.TargetDone {
		o.expireLater(s, got, deadline.Sub(now))
	}
	o.logRamp(got.replica.target, change, out)
	return out, 0
}

// send runs a search. Should that panic, a target may have started it.
func (o *Owner) send(ctx context.Context, search target.Search) (out target.Outcome) {
	defer func() {
		if cause := recover(); cause != nil {
			o.cfg.Log.Error("search failed by a panic", "target", search.Target.ID, "cause", cause)
			out = target.Outcome{Status: target.Unknown, Reason: target.ReasonTargetError}
		}
	}()
	return o.cfg.Searcher.Search(ctx, search)
}

// mayStart decides, from the newest view and the lease, whether a search may
// be sent to t right now.
func (o *Owner) mayStart(t *topology.Target, deadline time.Time) pb.SubReason {
	v := o.cfg.Board.View()
	if v.IsQuiet(t) || v.Assignments[t.ID].Owner != o.cfg.VM {
		return pb.SubReason_SUB_REASON_NO_TARGET
	}
	if !o.cfg.Lease.Covers(time.Now(), deadline) {
		return pb.SubReason_SUB_REASON_NO_LEASE
	}
	return 0
}

// expireLater keeps a slot taken until the search's deadline.
func (o *Owner) expireLater(s *shard, got slot, left time.Duration) {
	if left <= 0 {
		s.expire(got.replica, got.run)
		return
	}
	time.AfterFunc(left, func() { s.expire(got.replica, got.run) })
}

func (o *Owner) logRamp(t *topology.Target, c LimitChange, out target.Outcome) {
	if c.Before == c.After {
		return
	}
	o.cfg.Log.Info("target limit changed", "target", t.ID, "from", c.Before, "to", c.After,
		"process", out.Process, "reason", int(out.Reason))
}
