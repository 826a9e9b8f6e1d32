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
	// Observed sums the pressures seen in the window, as shares of the
	// deadline; Observations counts them; Before is the average pressure of the
	// windows before.
	Observed, Before float64
	Observations     int
	// Admitted is the cost admitted in the window.
	Admitted float64
	Window   time.Time
}

// KindDemand is one kind's part of an AdmissionState.
type KindDemand struct {
	Weight float64
	// Seen is the cost offered in this window, Offered its average.
	Seen, Offered float64
	// Share is the probability that a query of the kind is admitted.
	Share float64
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
		k.Share = 1
	}
	k.Weight = max(weight, 0.01)
	k.Seen += cost
	s.Kinds[kind] = k
	if draw >= k.Share {
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
	a.state.Observed += pressure
	a.state.Observations++
}

// advance closes the windows that have passed.
func (s *AdmissionState) advance(now time.Time) {
	if s.Window.IsZero() {
		s.Window = now
	}
	if now.Sub(s.Window) > 20*admissionWindow {
		// Idle for long: what was learned no longer counts.
		s.Window, s.Rate, s.Admitted = now, 0, 0
		s.Observed, s.Before, s.Observations = 0, 0, 0
	}
	for now.Sub(s.Window) >= admissionWindow {
		s.Window = s.Window.Add(admissionWindow)
		s.step()
	}
}

// step ends one window: it moves the rate and deals it out.
func (s *AdmissionState) step() {
	total := 0.0
	for name, k := range s.Kinds {
		k.Offered += offeredShare * (k.Seen - k.Offered)
		k.Seen = 0
		s.Kinds[name] = k
		total += k.Offered
	}
	pressure := (1 - pressureShare) * s.Before
	if s.Observations > 0 {
		pressure += pressureShare * s.Observed / float64(s.Observations)
	}
	s.steer(pressure, total)
	s.Before, s.Observed, s.Observations, s.Admitted = pressure, 0, 0, 0
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
	factor := 1 + steerLevel*(pressureTarget-pressure) - steerSlope*(pressure-s.Before)
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
			k.Share = 1
			s.Kinds[name] = k
		}
		return
	}
	for name, rate := range WeightedShares(s.Kinds, s.Rate) {
		k := s.Kinds[name]
		k.Share = 1
		if k.Offered > 0 {
			k.Share = min(1, rate/k.Offered)
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
			if _, ok := got[name]; !ok && k.Offered <= left*k.Weight/weights {
				got[name] = k.Offered
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
