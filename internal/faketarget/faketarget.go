// Package faketarget has a target.Searcher without sockets, for tests.
package faketarget

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

// Searcher is a set of fake targets. Each one ledgers what it ran.
type Searcher struct {
	mu      sync.Mutex
	targets map[topology.TargetID]*Target
	// NewTarget makes a target at its first use.
	newTarget func(*topology.Target) *Target
}

// Target is one fake target. Its fields may be changed through Edit.
type Target struct {
	Process  uint64
	Versions []uint64
	// Capacity is the number of searches it carries at once; more are counted as
	// overload.
	Capacity int
	// Slots is the number of searches that run at once, 0 for no limit; the
	// others wait.
	Slots int
	// ServiceTime gives the time of the next search.
	ServiceTime func() time.Duration
	// OverrideOutcome overrides how a search ends, if it returns true.
	OverrideOutcome func(target.Search) (target.Outcome, bool)
	// OverrideHealth changes what the health page says.
	OverrideHealth func(target.Health) target.Health
	// ResetConnections resets each connection after the start.
	ResetConnections bool

	InFlight, MaxInFlight, Overloads int
	// Started lists the request ids of the searches that ran, in order.
	Started []string
	// LastStart is when the last search started.
	LastStart time.Time
	slots     chan struct{}
}

// New returns a searcher whose targets are made by newTarget.
func New(newTarget func(*topology.Target) *Target) *Searcher {
	return &Searcher{targets: make(map[topology.TargetID]*Target), newTarget: newTarget}
}

// Steady returns a maker of warm targets with one service time and version.
func Steady(service time.Duration, carries int) func(*topology.Target) *Target {
	return func(*topology.Target) *Target {
		return &Target{
			Process:     1,
			Versions:    []uint64{1},
			Capacity:    carries,
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

// Edit changes or reads one target under the lock.
func (s *Searcher) Edit(t *topology.Target, edit func(*Target)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(s.get(t))
}

// Search runs one attempt.
func (s *Searcher) Search(ctx context.Context, q target.Search) target.Outcome {
	begun := time.Now()
	s.mu.Lock()
	f := s.get(q.Target)
	if f.OverrideOutcome != nil {
		if out, ok := f.OverrideOutcome(q); ok {
			if out.Status != target.NotStarted {
				f.begin(q)
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
	if !enter(ctx, slots, q.Deadline) {
		out.Status, out.Reason = target.NotStarted, target.ReasonCancelled
		return out
	}
	s.mu.Lock()
	f.begin(q)
	service, lost := f.ServiceTime(), f.ResetConnections
	s.mu.Unlock()
	reason := wait(ctx, service, q.Deadline)
	s.mu.Lock()
	f.InFlight--
	s.mu.Unlock()
	if slots != nil {
		<-slots
	}
	out.ServiceTime = time.Since(begun)
	switch {
	case lost:
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

// enter waits for a slot.
func enter(ctx context.Context, slots chan struct{}, deadline time.Time) bool {
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

func (f *Target) begin(q target.Search) {
	f.InFlight++
	f.MaxInFlight = max(f.MaxInFlight, f.InFlight)
	if f.InFlight > f.Capacity {
		f.Overloads++
	}
	f.Started = append(f.Started, q.RequestID)
	f.LastStart = time.Now()
}

func wait(ctx context.Context, d time.Duration, deadline time.Time) target.Reason {
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

// Health reports the target's state without lag.
func (s *Searcher) Health(_ context.Context, t *topology.Target) (target.Health, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.get(t)
	page := target.Health{Process: f.Process, InFlight: f.InFlight, Versions: slices.Clone(f.Versions)}
	if f.OverrideHealth != nil {
		page = f.OverrideHealth(page)
	}
	return page, nil
}

// Release does nothing.
func (s *Searcher) Release(topology.TargetID) {}
