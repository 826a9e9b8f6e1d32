// Package faketarget provides an in-memory target.Searcher for tests, and
// deployments and views to use it with.
package faketarget

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

// Searcher is a set of fake targets, each of which records the searches it ran.
// Its methods may be called concurrently.
type Searcher struct {
	mu      sync.Mutex
	targets map[topology.TargetID]*Target
	// newTarget makes a target at its first use.
	newTarget func(*topology.Target) *Target
}

// Target is one fake target. After its first use, its fields may be read and
// changed only through Searcher.Edit. The functions in it are called under the
// searcher's lock.
type Target struct {
	// Process is the process number that it reports; a restart changes it.
	Process uint64
	// Versions lists the index versions that it can search.
	Versions []uint64
	// Capacity is the number of searches that it is meant to run at once. Each
	// search that starts above it counts in Overloads.
	Capacity int
	// Slots is the number of searches that run at once, 0 for no limit; the
	// others wait until a slot is free or their deadline passes.
	Slots int
	// ServiceTime returns the service time of the next search.
	ServiceTime func() time.Duration
	// OverrideOutcome, unless nil, replaces the outcome of a search if its second
	// result is true. The search then counts as run unless it is NotStarted.
	OverrideOutcome func(target.Search) (target.Outcome, bool)
	// OverrideHealth, unless nil, replaces the result of a health check.
	OverrideHealth func(target.Health) target.Health
	// ResetConnections makes each search that started end as if its connection
	// was reset: its outcome is Unknown.
	ResetConnections bool

	// InFlight is the number of running searches, MaxInFlight its maximum so far,
	// and Overloads the number of searches that started above Capacity.
	InFlight, MaxInFlight, Overloads int
	// Started lists the request ids of the searches that ran, in start order.
	Started []string
	// LastStart is when the last search started.
	LastStart time.Time
	// slots holds one element per occupied slot; nil if Slots is 0.
	slots chan struct{}
}

// New returns a searcher whose targets are made by newTarget.
func New(newTarget func(*topology.Target) *Target) *Searcher {
	return &Searcher{targets: make(map[topology.TargetID]*Target), newTarget: newTarget}
}

// Steady returns a newTarget function for New. Its targets have a constant
// service time and index version 1.
func Steady(service time.Duration, capacity int) func(*topology.Target) *Target {
	return func(*topology.Target) *Target {
		return &Target{
			Process:     1,
			Versions:    []uint64{1},
			Capacity:    capacity,
			ServiceTime: func() time.Duration { return service },
		}
	}
}

func (s *Searcher) get(t *topology.Target) *Target {
	f := s.targets[t.ID]
	if f == nil {
		f = s.newTarget(t)
		s.targets[t.ID] = f
	}
	return f
}

// Edit calls edit with the fake of t under the searcher's lock.
func (s *Searcher) Edit(t *topology.Target, edit func(*Target)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(s.get(t))
}

// Search implements target.Searcher. The body of a successful outcome is the
// shard's id as a JSON string.
func (s *Searcher) Search(ctx context.Context, q target.Search) target.Outcome {
	started := time.Now()
	s.mu.Lock()
	f := s.get(q.Target)
	if f.OverrideOutcome != nil {
		if out, ok := f.OverrideOutcome(q); ok {
			if out.Status != target.NotStarted {
				f.recordStart(q)
				f.InFlight--
			}
			s.mu.Unlock()
			return out
		}
	}
	out := target.Outcome{Process: f.Process, Versions: slices.Clone(f.Versions), TargetDone: true}
	if !slices.Contains(f.Versions, q.IndexVersion) {
		s.mu.Unlock()
		out.Status, out.Reason = target.NotStarted, target.ReasonVersionGone
		return out
	}
	slots := f.slotChannel()
	s.mu.Unlock()
	if !acquireSlot(ctx, slots, q.Deadline) {
		out.Status, out.Reason = target.NotStarted, target.ReasonCancelled
		return out
	}
	s.mu.Lock()
	f.recordStart(q)
	service, reset := f.ServiceTime(), f.ResetConnections
	s.mu.Unlock()
	reason := waitService(ctx, service, q.Deadline)
	s.mu.Lock()
	f.InFlight--
	s.mu.Unlock()
	if slots != nil {
		<-slots
	}
	out.ServiceTime = time.Since(started)
	switch {
	case reset:
		return target.Outcome{Status: target.Unknown, Reason: target.ReasonConnectionLost, ServiceTime: out.ServiceTime, TargetDone: true}
	case reason != target.ReasonNone:
		out.Status, out.Reason = target.Unknown, reason
		return out
	}
	out.Status, out.IndexVersion = target.OK, q.IndexVersion
	out.Body = []byte(`"` + string(q.Target.Shard) + `"`)
	return out
}

func (f *Target) slotChannel() chan struct{} {
	if f.slots == nil && f.Slots > 0 {
		f.slots = make(chan struct{}, f.Slots)
	}
	return f.slots
}

// acquireSlot waits for a free slot until deadline or until ctx is done. It
// reports whether it got one; with nil slots it always does.
func acquireSlot(ctx context.Context, slots chan struct{}, deadline time.Time) bool {
	if slots == nil {
		return true
	}
	select {
	case slots <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

func (f *Target) recordStart(q target.Search) {
	f.InFlight++
	f.MaxInFlight = max(f.MaxInFlight, f.InFlight)
	if f.InFlight > f.Capacity {
		f.Overloads++
	}
	f.Started = append(f.Started, q.RequestID)
	f.LastStart = time.Now()
}

// waitService waits for d, bounded by deadline and ctx. It returns ReasonNone if
// all of d passed.
func waitService(ctx context.Context, d time.Duration, deadline time.Time) target.Reason {
	reason := target.ReasonNone
	if left := time.Until(deadline); left < d {
		d, reason = left, target.ReasonDeadline
	}
	if d <= 0 {
		return reason
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return reason
	case <-ctx.Done():
		return target.ReasonCancelled
	}
}

// Health implements target.Searcher. It returns the current state.
func (s *Searcher) Health(_ context.Context, t *topology.Target) (target.Health, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.get(t)
	health := target.Health{Process: f.Process, InFlight: f.InFlight, Versions: slices.Clone(f.Versions)}
	if f.OverrideHealth != nil {
		health = f.OverrideHealth(health)
	}
	return health, nil
}

// Release implements target.Searcher. It does nothing.
func (s *Searcher) Release(topology.TargetID) {}
