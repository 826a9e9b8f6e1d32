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
	// queuePerSlot limits a shard's queue, in jobs per slot of its targets.
	queuePerSlot = 24
	// minRemainingShare is the minimum time left before the deadline for a job
	// to start, as a share of the average service time.
	minRemainingShare = 0.7
)

// job is one sub-request that needs a slot at a target.
type job struct {
	request  *pb.SubRequest
	kind     topology.KindName
	weight   float64
	deadline time.Time
	// exclude lists targets that have refused this job.
	exclude []topology.TargetID
	// grant receives the slot, or the refusal, of a queued job. It has room for
	// one value.
	grant chan slot
}

// slot is an acquired place at a target, or the refusal of a job if replica is
// nil.
type slot struct {
	replica *replica
	run     *inFlightSearch
	refusal pb.SubReason
	// versionGone is set if no target serves the job's index version.
	versionGone bool
}

// shard holds the targets of one shard that this router owns, and the queue
// they share.
type shard struct {
	id    topology.ShardID
	group *topology.Group

	// mu guards all fields below.
	mu       sync.Mutex
	replicas []*replica
	queue    fairQueue
	// service is the average service time of all targets.
	service serviceTime
	// dropped counts jobs that were dropped because they couldn't finish in
	// time.
	dropped uint64
}

// acquire returns a slot for j or its refusal. It waits in the queue until a
// slot is free or ctx ends.
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
		return s.cancelWait(ctx, j)
	}
}

// tryLocked returns a free slot or a refusal. It returns false if j must wait.
// The caller holds s.mu.
func (s *shard) tryLocked(j *job, now time.Time) (slot, bool) {
	if reason, gone := s.unservable(j, now); reason != 0 || gone {
		return slot{refusal: reason, versionGone: gone}, true
	}
	if s.tooLate(j, now) {
		s.dropped++
		return slot{refusal: pb.SubReason_SUB_REASON_DEADLINE}, true
	}
	if s.redirects(j, now) {
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

// cancelWait removes a job whose context has ended from the queue. If the job
// was granted a slot in the meantime, it gives the slot back.
func (s *shard) cancelWait(ctx context.Context, j *job) slot {
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

// unservable returns why no owned target can run j: NO_TARGET if none is
// usable, or true if no usable one serves its index version. It returns 0 and
// false if one can.
func (s *shard) unservable(j *job, now time.Time) (pb.SubReason, bool) {
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

// tooLate reports whether j is unlikely to finish by its deadline even if it
// starts now.
func (s *shard) tooLate(j *job, now time.Time) bool {
	need := time.Duration(minRemainingShare * float64(s.service.at(now)))
	return !now.Add(need).Before(j.deadline)
}

// queueLimit returns the maximum number of queued jobs.
func (s *shard) queueLimit() int {
	n := 0
	for _, r := range s.replicas {
		if r.usable() {
			n += r.ramp.Limits.Slots
		}
	}
	return queuePerSlot * n
}

// release records the outcome of a search, frees its slot if the search has
// ended, and dispatches queued jobs. It returns the change of the target's
// limit.
func (s *shard) release(r *replica, run *inFlightSearch, out target.Outcome, now time.Time) LimitChange {
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

// LimitChange holds a target's limit before and after an outcome was recorded.
type LimitChange struct{ Before, After int }

// expire frees the slot of a search that didn't end by its deadline.
func (s *shard) expire(r *replica, run *inFlightSearch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.end(run) {
		s.dispatchLocked(time.Now())
	}
}

// allowReconnect reports whether the search of run may still be sent after the
// target was found to have closed an idle connection.
func (s *shard) allowReconnect(r *replica, run *inFlightSearch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.allowsReconnect(run)
}

// releaseUnsent frees the slot of a search that was never sent.
func (s *shard) releaseUnsent(r *replica, run *inFlightSearch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.end(run)
	s.dispatchLocked(time.Now())
}

// sweep drops queued jobs that can no longer finish in time or have no target
// left.
func (s *shard) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.length > 0 {
		s.dispatchLocked(now)
	}
}

// dispatchLocked refuses queued jobs that can't finish in time or that no
// target here should run, and assigns the others, in fair order, to targets
// with free slots. The caller holds s.mu.
func (s *shard) dispatchLocked(now time.Time) {
	if s.queue.length == 0 {
		return
	}
	for _, j := range s.queue.removeIf(func(j *job) bool { return s.tooLate(j, now) }) {
		s.dropped++
		j.grant <- slot{refusal: pb.SubReason_SUB_REASON_DEADLINE}
	}
	for _, j := range s.queue.removeIf(func(j *job) bool { return s.isUnservable(j, now) }) {
		reason, gone := s.unservable(j, now)
		j.grant <- slot{refusal: reason, versionGone: gone}
	}
	for _, j := range s.queue.removeIf(func(j *job) bool { return s.redirects(j, now) }) {
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

func (s *shard) isUnservable(j *job, now time.Time) bool {
	reason, gone := s.unservable(j, now)
	return reason != 0 || gone
}

// excludes reports whether j must not run at the target: it has refused j, or
// the request excludes it.
func (j *job) excludes(id topology.TargetID) bool {
	return slices.Contains(j.exclude, id) || slices.Contains(j.request.GetExclude(), string(id))
}
