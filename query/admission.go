package query

import (
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/topology"
)

const (
	// admissionWindow is the time between adjustments of the admitted rate.
	admissionWindow = 100 * time.Millisecond
	// desiredPressure is the wait in the owners' queues, as a share of the
	// deadline, that the admitted rate is controlled to.
	desiredPressure = 0.2
	// limitStartPressure is the pressure above which the admitted rate is
	// limited.
	limitStartPressure = 0.3
	// pressureWeight is the weight of a window in the moving average of the
	// pressure.
	pressureWeight = 0.4
	// proportionalGain and derivativeGain weight the distance of the pressure
	// from the desired one and its change since the last window.
	proportionalGain = 0.5
	derivativeGain   = 3.0
	// minRateFactor and maxRateFactor limit the change of the rate in one
	// window.
	minRateFactor = 0.7
	maxRateFactor = 1.1
	// limitEndFactor is the ratio of the admitted to the offered rate above
	// which the limit ends.
	limitEndFactor = 1.3
	// offeredWeight is the weight of a window in the moving average of the
	// offered rate.
	offeredWeight = 0.3
	// minAdmissionRate is the minimum admitted rate, in cost per window.
	minAdmissionRate = 1.0
)

// Admission refuses queries early when demand exceeds the capacity of the
// targets. The admitted rate is controlled by the pressure derived from
// replies. It is shared among the kinds in proportion to their weights, and
// what a kind doesn't use goes to the others. It is safe for concurrent use.
type Admission struct {
	mu    sync.Mutex
	state AdmissionState
}

// AdmissionState is the state of the admission control of an Admission.
type AdmissionState struct {
	// Rate is the cost (number of sub-requests) admitted per window, 0 for no
	// limit.
	Rate  float64
	Kinds map[topology.KindName]KindDemand
	// PressureSum is the sum of the pressures observed in the window, as shares
	// of the deadline, and PressureSamples their number. PreviousPressure is the
	// moving average over the windows before.
	PressureSum, PreviousPressure float64
	PressureSamples               int
	// Admitted is the cost admitted in the window.
	Admitted    float64
	WindowStart time.Time
}

// KindDemand is the demand and the admission of one kind.
type KindDemand struct {
	Weight float64
	// WindowOffered is the cost offered in this window, AverageOffered its
	// moving average per window.
	WindowOffered, AverageOffered float64
	// AdmitProbability is the probability, 0 to 1, that a query of the kind is
	// admitted.
	AdmitProbability float64
}

// NewAdmission returns an Admission without a limit.
func NewAdmission() *Admission {
	return &Admission{state: AdmissionState{Kinds: make(map[topology.KindName]KindDemand)}}
}

// Admit reports whether a query of the given kind and cost (number of
// sub-requests) is admitted. draw is uniform in [0, 1).
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

// Observe records the pressure of a query: the wait in queues as a share of its
// deadline, or 1 if shards refused for lack of capacity.
func (a *Admission) Observe(pressure float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.advance(now)
	a.state.PressureSum += pressure
	a.state.PressureSamples++
}

// advance ends the windows that have passed. After a long idle time it discards
// the state instead.
func (s *AdmissionState) advance(now time.Time) {
	if s.WindowStart.IsZero() {
		s.WindowStart = now
	}
	if now.Sub(s.WindowStart) > 20*admissionWindow {
		// The state is too old to be used.
		s.WindowStart, s.Rate, s.Admitted = now, 0, 0
		s.PressureSum, s.PreviousPressure, s.PressureSamples = 0, 0, 0
	}
	for now.Sub(s.WindowStart) >= admissionWindow {
		s.WindowStart = s.WindowStart.Add(admissionWindow)
		s.endWindow()
	}
}

// endWindow ends one window: it updates the averages, adjusts the rate and
// distributes it.
func (s *AdmissionState) endWindow() {
	total := 0.0
	for name, k := range s.Kinds {
		k.AverageOffered += offeredWeight * (k.WindowOffered - k.AverageOffered)
		k.WindowOffered = 0
		s.Kinds[name] = k
		total += k.AverageOffered
	}
	pressure := (1 - pressureWeight) * s.PreviousPressure
	if s.PressureSamples > 0 {
		pressure += pressureWeight * s.PressureSum / float64(s.PressureSamples)
	}
	s.adjustRate(pressure, total)
	s.PreviousPressure, s.PressureSum, s.PressureSamples, s.Admitted = pressure, 0, 0, 0
	s.distribute(total)
}

// adjustRate moves the rate towards the desired pressure. There is no limit
// until the pressure exceeds limitStartPressure, nor once the rate is far above
// the offered one. The first rate is the average offered one, because a single
// window of a router with little load holds few queries.
func (s *AdmissionState) adjustRate(pressure, total float64) {
	if s.Rate == 0 {
		if pressure <= limitStartPressure {
			return
		}
		s.Rate = max(total, minAdmissionRate)
	}
	factor := 1 + proportionalGain*(desiredPressure-pressure) - derivativeGain*(pressure-s.PreviousPressure)
	s.Rate = max(s.Rate*min(max(factor, minRateFactor), maxRateFactor), minAdmissionRate)
	if s.Rate > limitEndFactor*total {
		s.Rate = 0
	}
}

// distribute sets each kind's admit probability from its weighted share of the
// rate.
func (s *AdmissionState) distribute(total float64) {
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

// WeightedShares distributes rate among the kinds in proportion to their
// weights, giving none more than its average offered rate (weighted max-min
// fairness).
func WeightedShares(kinds map[topology.KindName]KindDemand, rate float64) map[topology.KindName]float64 {
	allotted := make(map[topology.KindName]float64, len(kinds))
	left := rate
	for {
		weights := 0.0
		for name, k := range kinds {
			if _, ok := allotted[name]; !ok {
				weights += k.Weight
			}
		}
		if weights == 0 {
			return allotted
		}
		full := false
		for name, k := range kinds {
			if _, ok := allotted[name]; !ok && k.AverageOffered <= left*k.Weight/weights {
				allotted[name] = k.AverageOffered
				full = true
			}
		}
		left = rate
		for _, v := range allotted {
			left -= v
		}
		if !full {
			distributeRest(kinds, allotted, max(left, 0), weights)
			return allotted
		}
	}
}

// distributeRest gives the kinds that offer more than their share their
// weighted parts of left.
func distributeRest(
	kinds map[topology.KindName]KindDemand, allotted map[topology.KindName]float64, left, weights float64,
) {
	for name, k := range kinds {
		if _, ok := allotted[name]; !ok {
			allotted[name] = left * k.Weight / weights
		}
	}
}
