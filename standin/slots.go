package standin

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// slots holds a target's capacity: what runs, what waits, and how warm it is.
type slots struct {
	opts Options

	mu       sync.Mutex
	rng      *rand.Rand
	inFlight int
	waiting  []chan struct{}
	cold     bool
	work     time.Duration
	slow     float64
	draining bool
	versions []uint64
	process  uint64
	// lost is closed when the process restarts.
	lost chan struct{}
}

func newSlots(o Options) *slots {
	return &slots{
		opts:     o,
		rng:      rand.New(rand.NewPCG(o.Seed, 1)), //nolint:gosec // Repeatable on purpose.
		cold:     o.StartCold,
		slow:     1,
		versions: append([]uint64(nil), o.Versions...),
		process:  1 + o.Seed%1000*1000,
		lost:     make(chan struct{}),
	}
}

// carry returns how many searches the target can run at once now.
func (s *slots) carry() int {
	if !s.cold {
		return s.opts.Slots
	}
	share := float64(s.work) / float64(max(s.opts.WarmAfter, 1))
	grown := int(share * float64(s.opts.Slots-s.opts.ColdLimit))
	return min(s.opts.ColdLimit+grown, s.opts.Slots)
}

// admission is the outcome of enter.
type admission uint8

const (
	admitted admission = iota + 1
	// overloaded admits to a cold target over what it can carry.
	overloaded
	queued
	shed
	// gone says that the process was lost.
	gone
)

// enter takes a slot, joins the queue or sheds. A cold target takes whatever
// fits its slots, also over what it can carry. The channel is closed when a
// queued search gets its slot.
func (s *slots) enter(lost chan struct{}) (admission, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case lost != s.lost:
		return gone, nil
	case s.inFlight < s.opts.Slots:
		s.inFlight++
		if s.inFlight > s.carry() {
			return overloaded, nil
		}
		return admitted, nil
	case !s.cold && len(s.waiting) < queuePerSlot*s.opts.Slots:
		ready := make(chan struct{})
		s.waiting = append(s.waiting, ready)
		return queued, ready
	}
	return shed, nil
}

// abandon leaves the queue. It reports false if the slot was just given.
func (s *slots) abandon(ready chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == ready {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// begin draws the service time of a search that has its slot. It reports false
// if the process of the slot was lost.
func (s *slots) begin(lost chan struct{}, overload bool) (service time.Duration, inFlight int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost != s.lost {
		return 0, 0, false
	}
	factor := s.slow
	if overload {
		factor *= overloadFactor
	}
	draw := math.Exp(s.opts.ServiceTimeSigma * s.rng.NormFloat64())
	return time.Duration(float64(s.opts.MedianServiceTime) * draw * factor), s.inFlight, true
}

// overloadFactor is how much slower a search over what a cold target carries
// gets.
const overloadFactor = 4

// leave gives the slot back after work of the given length in the process that
// lost belongs to.
func (s *slots) leave(work time.Duration, lost chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost != s.lost {
		return
	}
	s.inFlight--
	if s.cold {
		s.work += work
		s.cold = s.work < s.opts.WarmAfter
	}
	for s.inFlight < s.carry() && len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.inFlight++
		close(next)
	}
}

// restart begins a new, cold process.
func (s *slots) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.process++
	s.cold = true
	s.work = 0
	s.inFlight = 0
	s.waiting = nil
	close(s.lost)
	s.lost = make(chan struct{})
}
