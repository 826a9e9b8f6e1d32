package owner

import "time"

const (
	// latencyShare weighs a new sample in a target's average latency.
	latencyShare = 0.2
	// outlierFactor is how much slower than its best peer a target may be.
	outlierFactor = 4.0
	// outlierErrors is the number of failures in a row that eject a target.
	outlierErrors = 3
	// outlierLates is the number of searches in a row, given up after lateFactor
	// usual service times, that eject a target.
	outlierLates = 2
	lateFactor   = 1.8
	// probeMin and probeMax bound the time between probes of an ejected target.
	probeMin = 150 * time.Millisecond
	probeMax = 500 * time.Millisecond
	// readmitShare is how fast a probe must be, against the latency that the
	// target was ejected with, for the target to return.
	readmitShare = 0.6
)

// outlier is what the owner itself saw of a target's latency and failures. It
// is a value.
type outlier struct {
	latency  time.Duration
	failures int
	// lates counts searches in a row that were given up late.
	lates int
	// probeAt is when the next probe is due, probeGap the time to the one after.
	probeAt  time.Time
	probeGap time.Duration
}

func (o outlier) answered(d time.Duration) outlier {
	o.failures, o.lates = 0, 0
	if o.ejectedSince() && float64(d) < readmitShare*float64(o.latency) {
		// A probe that is fast again counts fully, so that the target returns.
		o.latency = d
		return o.readmit()
	}
	o.latency = average(o.latency, d)
	return o
}

// givenUp takes in a search that was given up after d. How long it would have
// taken isn't known, so a row of such searches counts, not their length.
func (o outlier) givenUp(d, usual time.Duration) outlier {
	if float64(d) > lateFactor*float64(usual) {
		o.lates++
	}
	if d > o.latency {
		o.latency = average(o.latency, d)
	}
	return o
}

func (o outlier) failed() outlier {
	o.failures++
	return o
}

func (o outlier) ejectedSince() bool { return o.probeGap > 0 }

// bad reports whether the target stands out against its best peer.
func (o outlier) bad(best time.Duration) bool {
	if o.failures >= outlierErrors || o.lates >= outlierLates {
		return true
	}
	return best > 0 && float64(o.latency) > outlierFactor*float64(best)
}

// due reports whether a bad target may be probed.
func (o outlier) due(now time.Time) bool { return !now.Before(o.probeAt) && o.probeGap > 0 }

// eject sets the first probe time of a target that has become bad.
func (o outlier) eject(now time.Time) outlier {
	o.probeGap = probeMin
	o.probeAt = now.Add(o.probeGap)
	return o
}

// probed sets the time of the next probe, with backoff.
func (o outlier) probed(now time.Time) outlier {
	o.probeGap = min(2*o.probeGap, probeMax)
	o.probeAt = now.Add(o.probeGap)
	return o
}

// readmit ends the ejection.
func (o outlier) readmit() outlier {
	o.probeAt, o.probeGap = time.Time{}, 0
	return o
}

func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencyShare*float64(sample-old))
}
