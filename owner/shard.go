package owner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// queuePerSlot bounds a shard's queue, in jobs for each slot of its targets.
	queuePerSlot = 24
	// startShare is the share of the usual service time that must be left
	// before a deadline for a job to start.
	startShare = 0.7
)

// job is one sub-request on its way to a target.
type job struct {
	request  *pb.SubRequest
	kind     topology.KindName
	weight   float64
	deadline time.Time
	// exclude lists targets that refused this job.
	exclude []topology.TargetID
	// grant receives the slot once the job has waited for it.
	grant chan slot
}

// slot is a taken place at a target, or the refusal of a job.
type slot struct {
	replica *replica
	run     *running
	refusal pb.SubReason
	// gone says that no target serves the job's index version.
	gone bool
}

// shard holds the targets of one shard that this router owns and the one queue
// over them.
type shard struct {
	id    topology.ShardID
	group *topology.Group

	mu       sync.Mutex
	replicas []*replica
	queue    fairQueue
	// service is the usual service time over all targets.
	service usual
	// dropped counts jobs that were dropped because they couldn't end in time.
	dropped uint64
}

// acquire takes a slot for j, waiting in the queue if need be.
func (s *shard) acquire(ctx context.Context, j *job, now time.Time) slot {
	s.mu.Lock()
	if got, done := s.tryLocked(j, now); done {
		s.mu.Unlock()
		return got
	}
	j.grant = make(chan slot, 1)
	s.queue.push(j)
	s.mu.Unlock()
	select {
	case got := <-j.grant:
		return got
	case <-ctx.Done():
		return s.abandon(ctx, j)
	}
}

// tryLocked takes a free slot, refuses, or says that j must wait.
func (s *shard) tryLocked(j *job, now time.Time) (slot, bool) {
	if reason, gone := s.hopeless(j, now); reason != 0 || gone {
		return slot{refusal: reason, gone: gone}, true
	}
	if s.tooLate(j, now) {
		s.dropped++
		return slot{refusal: pb.SubReason_SUB_REASON_DEADLINE}, true
	}
	if s.bounces(j, now) {
		return slot{refusal: pb.SubReason_SUB_REASON_NO_TARGET}, true
	}
	if s.queue.length == 0 {
		if r := s.choose(j, now); r != nil {
			return slot{replica: r, run: r.begin(j.request.GetRequestId(), now)}, true
		}
	}
	if s.queue.length >= s.queueLimit() {
		return slot{refusal: pb.SubReason_SUB_REASON_QUEUE_FULL}, true
	}
	return slot{}, false
}

// abandon ends the wait of a job whose context has ended.
func (s *shard) abandon(ctx context.Context, j *job) slot {
	reason := pb.SubReason_SUB_REASON_CANCELLED
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		reason = pb.SubReason_SUB_REASON_DEADLINE
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.remove(j) {
		return slot{refusal: reason}
	}
	got := <-j.grant
	if got.replica == nil {
		return got
	}
	got.replica.end(got.run)
	s.dispatchLocked(time.Now())
	return slot{refusal: reason}
}

// hopeless tells whether no owned target could ever run j.
func (s *shard) hopeless(j *job, now time.Time) (pb.SubReason, bool) {
	usable, serving := 0, 0
	for _, r := range s.replicas {
		if !r.usable() || j.excludes(r.id()) {
			continue
		}
		usable++
		if r.serves(j.request.GetIndexVersion(), now) {
			serving++
		}
	}
	switch {
	case usable == 0:
		return pb.SubReason_SUB_REASON_NO_TARGET, false
	case serving == 0:
		return 0, true
	default:
		return 0, false
	}
}

// tooLate reports whether j can't be expected to end in time if it starts now.
func (s *shard) tooLate(j *job, now time.Time) bool {
	need := time.Duration(startShare * float64(s.service.at(now)))
	return !now.Add(need).Before(j.deadline)
}

func (s *shard) queueLimit() int {
	n := 0
	for _, r := range s.replicas {
		if r.usable() {
			n += r.ramp.Limits.Slots
		}
	}
	return queuePerSlot * n
}

// release frees the slot of run, takes in what the search showed and gives
// slots to jobs that wait.
func (s *shard) release(r *replica, run *running, out target.Outcome, now time.Time) LimitChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := r.ramp.Limit()
	if out.TargetDone {
		r.end(run)
	}
	r.observe(out, s.service.value, now)
	if out.Status == target.OK {
		s.service.add(out.ServiceTime, now)
	}
	s.dispatchLocked(now)
	return LimitChange{Before: before, After: r.ramp.Limit()}
}

// LimitChange is a change of a target's limit.
type LimitChange struct{ Before, After int }

// expire frees a slot whose search didn't end by its deadline.
func (s *shard) expire(r *replica, run *running) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.end(run) {
		s.dispatchLocked(time.Now())
	}
}

// closedIdle asks whether run may still be sent although an idle connection
// turned out closed.
func (s *shard) closedIdle(r *replica, run *running) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.admits(run)
}

// undo frees the slot of a search that was never sent.
func (s *shard) undo(r *replica, run *running) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.end(run)
	s.dispatchLocked(time.Now())
}

// sweep drops jobs whose deadline has come too near or whose targets are gone.
func (s *shard) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.length > 0 {
		s.dispatchLocked(now)
	}
}

// dispatchLocked drops jobs that can't end in time and binds the others, in
// fair order, to targets with free slots.
func (s *shard) dispatchLocked(now time.Time) {
	if s.queue.length == 0 {
		return
	}
	for _, j := range s.queue.removeIf(func(j *job) bool { return s.tooLate(j, now) }) {
		s.dropped++
		j.grant <- slot{refusal: pb.SubReason_SUB_REASON_DEADLINE}
	}
	for _, j := range s.queue.removeIf(func(j *job) bool { return s.isHopeless(j, now) }) {
		reason, gone := s.hopeless(j, now)
		j.grant <- slot{refusal: reason, gone: gone}
	}
	for _, j := range s.queue.removeIf(func(j *job) bool { return s.bounces(j, now) }) {
		j.grant <- slot{refusal: pb.SubReason_SUB_REASON_NO_TARGET}
	}
	for s.queue.length > 0 {
		var chosen *replica
		j := s.queue.take(func(j *job) bool {
			chosen = s.choose(j, now)
			return chosen != nil
		})
		if j == nil {
			return
		}
		j.grant <- slot{replica: chosen, run: chosen.begin(j.request.GetRequestId(), now)}
	}
}

func (s *shard) isHopeless(j *job, now time.Time) bool {
	reason, gone := s.hopeless(j, now)
	return reason != 0 || gone
}

func (j *job) excludes(id topology.TargetID) bool {
	return slices.Contains(j.exclude, id) || slices.Contains(j.request.GetExclude(), string(id))
}
