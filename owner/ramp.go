package owner

import "time"

const (
	// warmMargin multiplies the work after which a target counts as warm,
	// because a target may not say how long it worked.
	warmMargin = 1.3
	// bandFactor is the ratio of recent to long-term latency above which a
	// target is taken to be cold again.
	bandFactor = 3.0
	// recentWeight and longTermWeight are the weights of a new sample in the two
	// moving averages.
	recentWeight   = 0.4
	longTermWeight = 0.02
	// bandSamples is the number of samples before the latency band is used.
	bandSamples = 20
)

// Limits are a group's settings for its targets: requests in flight when warm
// (Slots) and right after a cold start (ColdLimit), and the service time after
// which a target is warm (WarmAfter).
type Limits struct {
	Slots     int
	ColdLimit int
	WarmAfter time.Duration
}

// Ramp is the cold-start state of one target. It is an immutable value: Step
// returns the next state.
type Ramp struct {
	Limits Limits
	// Process is the target's process number, 0 if unknown.
	Process uint64
	// Work is the total service time of searches since the last cold start.
	Work time.Duration
	// RestartSuspected keeps the limit at the cold limit until a response
	// confirms the process number.
	RestartSuspected bool
	band             latencyBand
}

// RampEvent is an event that changes a target's ramp.
type RampEvent interface{ apply(r Ramp) Ramp }

// Served is the event of a search that the target ran and answered. Service is the
// time that it took as seen from here, Work the time that the target says it worked
// on it, 0 if it doesn't say.
type Served struct {
	Process uint64
	Service time.Duration
	Work    time.Duration
}

// work returns how much the search warmed the target. The time seen from here
// includes delays of the network and of this process, which would make a cold
// target count as warm too early.
func (e Served) work() time.Duration {
	if e.Work > 0 && e.Work < e.Service {
		return e.Work
	}
	return max(e.Service, 0)
}

// Shed is the event of a search that the target refused for lack of capacity,
// although it was within the limit. The target is then taken to be cold.
type Shed struct{ Process uint64 }

// ProcessSeen is the event of a response that names the target's process
// without proof that it did work.
type ProcessSeen struct{ Process uint64 }

// ConnectionLost is the event of a failed connection to the target, or of
// another sign that it may have restarted.
type ConnectionLost struct{}

// HandedOver is the event of a hand-over with the process number and the work
// that the previous owner observed.
type HandedOver struct {
	Process uint64
	Work    time.Duration
}

// NewRamp returns the ramp of a target with unknown state. Slots and the cold
// limit are raised to at least 1, and the cold limit is capped at the slots.
func NewRamp(l Limits) Ramp { return Ramp{}.withLimits(l) }

// withLimits returns the state with other limits.
func (r Ramp) withLimits(l Limits) Ramp {
	l.Slots = max(l.Slots, 1)
	l.ColdLimit = min(max(l.ColdLimit, 1), l.Slots)
	r.Limits = l
	return r
}

// Step returns the state after e.
func (r Ramp) Step(e RampEvent) Ramp { return e.apply(r) }

// Limit returns the maximum number of requests in flight at the target now. It
// grows from the cold limit to all slots in proportion to the work done.
func (r Ramp) Limit() int {
	if r.RestartSuspected {
		return r.Limits.ColdLimit
	}
	grown := r.warmFraction() * float64(r.Limits.Slots-r.Limits.ColdLimit)
	return r.Limits.ColdLimit + int(grown)
}

// warmFraction returns the work done as a fraction, 0 to 1, of the work after
// which a target counts as warm.
func (r Ramp) warmFraction() float64 {
	need := warmMargin * float64(r.Limits.WarmAfter)
	if float64(r.Work) >= need {
		return 1
	}
	return float64(r.Work) / need
}

// coldStart returns the state after a cold start of the given process.
func (r Ramp) coldStart(process uint64) Ramp {
	next := NewRamp(r.Limits)
	next.Process = process
	next.band = r.band.resetRecent()
	return next
}

// observeProcess applies a process number from the target's own response: a new
// one means a restart, the known one rules it out.
func (r Ramp) observeProcess(process uint64) Ramp {
	if process == 0 {
		return r
	}
	if process != r.Process {
		return r.coldStart(process)
	}
	r.RestartSuspected = false
	return r
}

func (e ProcessSeen) apply(r Ramp) Ramp {
	if e.Process == 0 || e.Process == r.Process {
		return r
	}
	return r.coldStart(e.Process)
}

func (e Shed) apply(r Ramp) Ramp {
	if e.Process == 0 {
		e.Process = r.Process
	}
	return r.coldStart(e.Process)
}

func (ConnectionLost) apply(r Ramp) Ramp {
	r.RestartSuspected = true
	return r
}

func (e HandedOver) apply(r Ramp) Ramp {
	if e.Process == 0 {
		return r
	}
	r.Process = e.Process
	r.Work = max(e.Work, 0)
	r.RestartSuspected = true
	return r
}

func (e Served) apply(r Ramp) Ramp {
	r = r.observeProcess(e.Process)
	if r.RestartSuspected {
		return r
	}
	r.band = r.band.add(e.Service)
	if r.band.exceeded() {
		return r.coldStart(r.Process)
	}
	r.Work += e.work()
	return r
}

// latencyBand compares a target's recent latency with its long-term latency;
// both are moving averages in nanoseconds.
type latencyBand struct {
	recent, longTerm float64
	samples          int
}

func (b latencyBand) add(d time.Duration) latencyBand {
	v := float64(d)
	b.samples++
	if b.samples == 1 {
		b.recent, b.longTerm = v, v
		return b
	}
	share := max(longTermWeight, 1/float64(b.samples))
	b.recent += recentWeight * (v - b.recent)
	b.longTerm += share * (v - b.longTerm)
	return b
}

// exceeded reports whether the recent latency is above the band.
func (b latencyBand) exceeded() bool {
	return b.samples > bandSamples && b.recent > bandFactor*b.longTerm
}

// resetRecent discards the recent latency but keeps the long-term one.
func (b latencyBand) resetRecent() latencyBand {
	b.recent = b.longTerm
	return b
}
