package owner

import "time"

const (
	// warmMargin multiplies the work that proves a target warm, because the
	// owner's measure of work includes the time on the network.
	warmMargin = 1.3
	// bandFactor is how far the recent latency may rise over the usual one.
	bandFactor = 3.0
	// recentShare and usualShare weigh a new sample in the two averages.
	recentShare = 0.4
	usualShare  = 0.02
	// bandSamples is the number of samples before the band is trusted.
	bandSamples = 20
)

// Limits are what a group says of its targets.
type Limits struct {
	Slots     int
	ColdLimit int
	WarmAfter time.Duration
}

// Ramp is the cold-start state of one target. It is a value: Step returns the
// next state and changes nothing.
type Ramp struct {
	Limits Limits
	// Process is the target's process number, 0 while none is known.
	Process uint64
	// Work is the service time done since the last cold start.
	Work time.Duration
	// RestartSuspected holds the limit down until a response shows the process number.
	RestartSuspected bool
	band             band
}

// RampEvent is something that bears on a target's ramp.
type RampEvent interface{ apply(r Ramp) Ramp }

// Served says that the target answered a search it ran.
type Served struct {
	Process uint64
	Service time.Duration
}

// Shed says that the target had no room within its limit.
type Shed struct{ Process uint64 }

// ProcessSeen says that a response or health page named the process.
type ProcessSeen struct{ Process uint64 }

// ConnectionLost says that a connection to the target failed, or that the
// target may have restarted unseen.
type ConnectionLost struct{}

// HandedOver carries what a previous owner proved.
type HandedOver struct {
	Process uint64
	Work    time.Duration
}

// NewRamp returns the ramp of a target of which nothing is known.
func NewRamp(l Limits) Ramp { return Ramp{}.within(l) }

// within returns the state under other limits.
func (r Ramp) within(l Limits) Ramp {
	l.Slots = max(l.Slots, 1)
	l.ColdLimit = min(max(l.ColdLimit, 1), l.Slots)
	r.Limits = l
	return r
}

// Step returns the state after e.
func (r Ramp) Step(e RampEvent) Ramp { return e.apply(r) }

// Limit returns the number of requests that the target may hold now. It grows
// from the cold limit to all slots in proportion to the work done.
func (r Ramp) Limit() int {
	if r.RestartSuspected {
		return r.Limits.ColdLimit
	}
	grown := r.proved() * float64(r.Limits.Slots-r.Limits.ColdLimit)
	return r.Limits.ColdLimit + int(grown)
}

// proved returns the share, 0 to 1, of the work that proves a target warm.
func (r Ramp) proved() float64 {
	need := warmMargin * float64(r.Limits.WarmAfter)
	if float64(r.Work) >= need {
		return 1
	}
	return float64(r.Work) / need
}

// cold returns the state after a cold start of the given process.
func (r Ramp) cold(process uint64) Ramp {
	next := NewRamp(r.Limits)
	next.Process = process
	next.band = r.band.restart()
	return next
}

// seen takes in a process number from the target itself.
func (r Ramp) seen(process uint64) Ramp {
	if process == 0 {
		return r
	}
	if process != r.Process {
		return r.cold(process)
	}
	r.RestartSuspected = false
	return r
}

func (e ProcessSeen) apply(r Ramp) Ramp {
	if e.Process == 0 || e.Process == r.Process {
		return r
	}
	return r.cold(e.Process)
}

func (e Shed) apply(r Ramp) Ramp {
	if e.Process == 0 {
		e.Process = r.Process
	}
	return r.cold(e.Process)
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
	r = r.seen(e.Process)
	if r.RestartSuspected {
		return r
	}
	r.band = r.band.add(e.Service)
	if r.band.out() {
		return r.cold(r.Process)
	}
	r.Work += max(e.Service, 0)
	return r
}

// band compares the recent latency with the usual one.
type band struct {
	recent, usual float64
	samples       int
}

func (b band) add(d time.Duration) band {
	v := float64(d)
	b.samples++
	if b.samples == 1 {
		b.recent, b.usual = v, v
		return b
	}
	share := max(usualShare, 1/float64(b.samples))
	b.recent += recentShare * (v - b.recent)
	b.usual += share * (v - b.usual)
	return b
}

func (b band) out() bool {
	return b.samples > bandSamples && b.recent > bandFactor*b.usual
}

// restart forgets the recent latency but keeps the usual one.
func (b band) restart() band {
	b.recent = b.usual
	return b
}
