package owner

import "time"

const (
	// latencyShare weighs a new sample in a target's average latency.
	latencyShare = 0.2
	// outlierFactor is how much slower than its best peer a target may be.
	outlierFactor = 4.0
	// outlierErrors is the number of failures in a row that eject a target.
	outlierErrors = 3
	// probeMin and probeMax bound the time between probes of an ejected target.
	probeMin = 500 * time.Millisecond
	probeMax = 4 * time.Second
)

// outlier is what the owner itself saw of a target's latency and failures. It
// is a value.
type outlier struct {
	latency  time.Duration
	failures int
	// probeAt is when the next probe is due, probeGap the time to the one after.
	probeAt  time.Time
	probeGap time.Duration
}

func (o outlier) answered(d time.Duration, now time.Time) outlier {
	o.failures = 0
	if o.ejectedSince() && d < o.latency/2 {
		// A probe that is fast again counts fully, so that the target returns.
		o.latency = d
		o.probeAt, o.probeGap = time.Time{}, 0
		return o
	}
	o.latency = average(o.latency, d)
	_ = now
	return o
}

// atLeast takes in a search that was given up after d.
func (o outlier) atLeast(d time.Duration, _ time.Time) outlier {
	if d > o.latency {
		o.latency = average(o.latency, d)
	}
	return o
}

func (o outlier) failed(time.Time) outlier {
	o.failures++
	return o
}

func (o outlier) ejectedSince() bool { return o.probeGap > 0 }

// bad reports whether the target stands out against its best peer.
func (o outlier) bad(best time.Duration) bool {
	if o.failures >= outlierErrors {
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
