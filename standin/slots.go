package standin

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// slots tracks a target's capacity: running and queued searches and the progress
// of its warm-up.
type slots struct {
	opts Options

	mu       sync.Mutex
	rng      *rand.Rand
	inFlight int
	queue    []chan struct{}
	cold     bool
	// workDone is the service time since the cold start; it counts while cold.
	workDone time.Duration
	// slowdown multiplies service times.
	slowdown float64
	draining bool
	versions []uint64
	// process is the process number, incremented by each restart.
	process uint64
	// restarted is closed when the process restarts.
	restarted chan struct{}
}

func newSlots(o Options) *slots {
	return &slots{
		opts:      o,
		rng:       rand.New(rand.NewPCG(o.Seed, 1)), //nolint:gosec // Repeatable by design.
		cold:      o.StartCold,
		slowdown:  1,
		versions:  append([]uint64(nil), o.Versions...),
		process:   1 + o.Seed%1000*1000,
		restarted: make(chan struct{}),
	}
}

// limit returns how many concurrent searches the target can run now without
// slowing down. During warm-up it grows linearly from ColdLimit to Slots.
func (s *slots) limit() int {
	if !s.cold {
		return s.opts.Slots
	}
	share := float64(s.workDone) / float64(max(s.opts.WarmAfter, 1))
	grown := int(share * float64(s.opts.Slots-s.opts.ColdLimit))
	return min(s.opts.ColdLimit+grown, s.opts.Slots)
}

// admission is the result of acquire.
type admission uint8

const (
	admitted admission = iota + 1
	// overloaded means admitted to a cold target beyond its current limit.
	overloaded
	queued
	shed
	// processLost means that the process has restarted since the search arrived.
	processLost
)

// acquire takes a slot, joins the queue or sheds the search. A cold target
// admits searches up to its number of slots, even beyond its current limit, and
// has no queue. The returned channel is closed when a queued search gets its
// slot; it is nil unless the search is queued.
func (s *slots) acquire(restarted chan struct{}) (admission, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case restarted != s.restarted:
		return processLost, nil
	case s.inFlight < s.opts.Slots:
		s.inFlight++
		if s.inFlight > s.limit() {
			return overloaded, nil
		}
		return admitted, nil
	case !s.cold && len(s.queue) < queuePerSlot*s.opts.Slots:
		ready := make(chan struct{})
		s.queue = append(s.queue, ready)
		return queued, ready
	}
	return shed, nil
}

// dequeue removes a search from the queue. It reports false if the search is no
// longer queued because it got its slot meanwhile.
func (s *slots) dequeue(ready chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.queue {
		if w == ready {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// startService draws the service time of a search that has a slot. It reports
// false if the process has restarted since the search arrived.
func (s *slots) startService(restarted chan struct{}, overload bool) (service time.Duration, inFlight int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if restarted != s.restarted {
		return 0, 0, false
	}
	factor := s.slowdown
	if overload {
		factor *= overloadFactor
	}
	draw := math.Exp(s.opts.ServiceTimeSigma * s.rng.NormFloat64())
	return time.Duration(float64(s.opts.MedianServiceTime) * draw * factor), s.inFlight, true
}

// overloadFactor multiplies the service time of a search that a cold target runs
// beyond its current limit.
const overloadFactor = 4

// release frees a slot after the given service time and assigns it to the next
// queued search. It does nothing if the process has restarted since.
func (s *slots) release(work time.Duration, restarted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if restarted != s.restarted {
		return
	}
	s.inFlight--
	if s.cold {
		s.workDone += work
		s.cold = s.workDone < s.opts.WarmAfter
	}
	for s.inFlight < s.limit() && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.inFlight++
		close(next)
	}
}

// restart simulates a crash and the start of a new, cold process.
func (s *slots) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.process++
	s.cold = true
	s.workDone = 0
	s.inFlight = 0
	s.queue = nil
	close(s.restarted)
	s.restarted = make(chan struct{})
}
