package query

import (
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/topology"
)

const (
	// admissionWindow is the time between steps of the admitted share.
	admissionWindow = 100 * time.Millisecond
	// pressureTarget is the wait in owners' queues, as a share of the deadline,
	// that the admitted rate is steered to.
	pressureTarget = 0.2
	// pressureStart is the pressure from which less than all is admitted.
	pressureStart = 0.3
	// pressureShare weighs a window in the average pressure.
	pressureShare = 0.4
	// steerLevel and steerSlope weigh how far the pressure is from its target,
	// and how fast it moves.
	steerLevel = 0.5
	steerSlope = 3.0
	// steerDown and steerUp bound one step of the rate.
	steerDown = 0.7
	steerUp   = 1.1
	// rateOff is how far the rate may pass the offered one before the limit ends.
	rateOff = 1.3
	// offeredShare weighs a window in the average offered rate.
	offeredShare = 0.3
	// admissionFloor is the least admitted rate, in cost a window.
	admissionFloor = 1.0
)

// Admission refuses queries early when demand exceeds what the targets carry.
// The admitted rate follows the pressure that replies tell of; it is shared
// among the kinds in proportion to their weights, and what a kind doesn't use
// goes to the others. It is safe for concurrent use.
type Admission struct {
	mu    sync.Mutex
	state AdmissionState
}

// AdmissionState is the state of one step function.
type AdmissionState struct {
	// Rate is the cost (sub-requests) admitted in a window, 0 for no limit.
	Rate  float64
	Kinds map[topology.KindName]KindDemand
	// PressureSum sums the pressures seen in the window, as shares of the
	// deadline; Observations counts them; PreviousPressure is the average pressure of the
	// windows before.
	PressureSum, PreviousPressure float64
	PressureSamples               int
	// Admitted is the cost admitted in the window.
	Admitted    float64
	WindowStart time.Time
}

// KindDemand is one kind's part of an AdmissionState.
type KindDemand struct {
	Weight float64
	// WindowOffered is the cost offered in this window, AverageOffered its average.
	WindowOffered, AverageOffered float64
	// AdmitProbability is the probability that a query of the kind is admitted.
	AdmitProbability float64
}

// NewAdmission returns an admission without a limit.
func NewAdmission() *Admission {
	return &Admission{state: AdmissionState{Kinds: make(map[topology.KindName]KindDemand)}}
}

// Admit reports whether a query of the given kind and cost is admitted. Draw is
// uniform in [0, 1).
func (a *Admission) Admit(kind topology.KindName, weight, cost, draw float64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.state
	s.advance(now)
	k, ok := s.Kinds[kind]
	if !ok {
		k.AdmitProbability = 1
	}
	k.Weight = max(weight, 0.01)
	k.WindowOffered += cost
	s.Kinds[kind] = k
	if draw >= k.AdmitProbability {
		return false
	}
	s.Admitted += cost
	return true
}

// Observe takes in how a query went: the wait in queues as a share of its
// deadline, or 1 if a shard refused for want of room.
func (a *Admission) Observe(pressure float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.advance(now)
	a.state.PressureSum += pressure
	a.state.PressureSamples++
}

// advance closes the windows that have passed.
func (s *AdmissionState) advance(now time.Time) {
	if s.WindowStart.IsZero() {
		s.WindowStart = now
	}
	if now.Sub(s.WindowStart) > 20*admissionWindow {
		// Idle for long: what was learned no longer counts.
		s.WindowStart, s.Rate, s.Admitted = now, 0, 0
		s.PressureSum, s.PreviousPressure, s.PressureSamples = 0, 0, 0
	}
	for now.Sub(s.WindowStart) >= admissionWindow {
		s.WindowStart = s.WindowStart.Add(admissionWindow)
		s.step()
	}
}

// step ends one window: it moves the rate and deals it out.
func (s *AdmissionState) step() {
	total := 0.0
	for name, k := range s.Kinds {
		k.AverageOffered += offeredShare * (k.WindowOffered - k.AverageOffered)
		k.WindowOffered = 0
		s.Kinds[name] = k
		total += k.AverageOffered
	}
	pressure := (1 - pressureShare) * s.PreviousPressure
	if s.PressureSamples > 0 {
		pressure += pressureShare * s.PressureSum / float64(s.PressureSamples)
	}
	s.steer(pressure, total)
	s.PreviousPressure, s.PressureSum, s.PressureSamples, s.Admitted = pressure, 0, 0, 0
	s.deal(total)
}

// steer moves the rate towards the target pressure. There is no limit until
// the pressure passes its start, nor once the rate is far above what is
// offered. The first rate is the average offered one, since a single window of
// a quiet router holds few queries.
func (s *AdmissionState) steer(pressure, total float64) {
	if s.Rate == 0 {
		if pressure <= pressureStart {
			return
		}
		s.Rate = max(total, admissionFloor)
	}
	factor := 1 + steerLevel*(pressureTarget-pressure) - steerSlope*(pressure-s.PreviousPressure)
	s.Rate = max(s.Rate*min(max(factor, steerDown), steerUp), admissionFloor)
	if s.Rate > rateOff*total {
		s.Rate = 0
	}
}

// deal shares the rate among the kinds by weight; no kind gets more than it
// offers, and what is left goes to the others.
func (s *AdmissionState) deal(total float64) {
	if s.Rate == 0 || s.Rate >= total {
		for name, k := range s.Kinds {
			k.AdmitProbability = 1
			s.Kinds[name] = k
		}
		return
	}
	for name, rate := range WeightedShares(s.Kinds, s.Rate) {
		k := s.Kinds[name]
		k.AdmitProbability = 1
		if k.AverageOffered > 0 {
			k.AdmitProbability = min(1, rate/k.AverageOffered)
		}
		s.Kinds[name] = k
	}
}

// WeightedShares deals rate out over the kinds in proportion to their weights,
// none above what it offers (weighted max-min fairness).
func WeightedShares(kinds map[topology.KindName]KindDemand, rate float64) map[topology.KindName]float64 {
	got := make(map[topology.KindName]float64, len(kinds))
	left := rate
	for {
		weights := 0.0
		for name, k := range kinds {
			if _, ok := got[name]; !ok {
				weights += k.Weight
			}
		}
		if weights == 0 {
			return got
		}
		full := false
		for name, k := range kinds {
			if _, ok := got[name]; !ok && k.AverageOffered <= left*k.Weight/weights {
				got[name] = k.AverageOffered
				full = true
			}
		}
		left = rate
		for _, v := range got {
			left -= v
		}
		if !full {
			dealRest(kinds, got, max(left, 0), weights)
			return got
		}
	}
}

// dealRest gives the kinds that offer too much their weighted parts.
func dealRest(
	kinds map[topology.KindName]KindDemand, got map[topology.KindName]float64, left, weights float64,
) {
	for name, k := range kinds {
		if _, ok := got[name]; !ok {
			got[name] = left * k.Weight / weights
		}
	}
}
