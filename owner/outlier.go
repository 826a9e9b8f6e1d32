package owner

import "time"

const (
	// latencyWeight is the weight of a new sample in a moving average.
	latencyWeight = 0.2
	// outlierFactor is the ratio to the best peer's latency above which a target
	// is an outlier.
	outlierFactor = 4.0
	// outlierFailures is the number of consecutive failures that make a target
	// an outlier.
	outlierFailures = 3
	// outlierLateCount is the number of consecutive searches, each abandoned
	// after more than lateFactor average service times, that make a target an
	// outlier.
	outlierLateCount = 2
	lateFactor       = 1.8
	// minProbeInterval and maxProbeInterval limit the time between probes of an
	// ejected target.
	minProbeInterval = 150 * time.Millisecond
	maxProbeInterval = 500 * time.Millisecond
	// readmitFactor is the ratio of a probe's latency to the target's average
	// latency below which the target is readmitted.
	readmitFactor = 0.6
)

// outlier is the latency and the failures of a target as observed by this
// owner. It is an immutable value: methods return the next state.
type outlier struct {
	latency  time.Duration
	failures int
	// lateCount counts consecutive searches that were abandoned late.
	lateCount int
	// probeAt is when the next probe is due. probeInterval is the current
	// backoff, 0 while the target isn't ejected.
	probeAt       time.Time
	probeInterval time.Duration
}

// answered records an answer after d.
func (o outlier) answered(d time.Duration) outlier {
	o.failures, o.lateCount = 0, 0
	if o.ejected() && float64(d) < readmitFactor*float64(o.latency) {
		// A fast probe replaces the average, so that the target is readmitted.
		o.latency = d
		return o.readmit()
	}
	o.latency = movingAverage(o.latency, d)
	return o
}

// abandoned records a search that was abandoned after d. Its full duration is
// unknown, so the number of consecutive abandoned searches counts, not their
// length.
func (o outlier) abandoned(d, typical time.Duration) outlier {
	if float64(d) > lateFactor*float64(typical) {
		o.lateCount++
	}
	if d > o.latency {
		o.latency = movingAverage(o.latency, d)
	}
	return o
}

func (o outlier) failed() outlier {
	o.failures++
	return o
}

func (o outlier) ejected() bool { return o.probeInterval > 0 }

// isOutlier reports whether the target fails or is slow compared with best, the
// latency of its best peer.
func (o outlier) isOutlier(best time.Duration) bool {
	if o.failures >= outlierFailures || o.lateCount >= outlierLateCount {
		return true
	}
	return best > 0 && float64(o.latency) > outlierFactor*float64(best)
}

// probeDue reports whether an ejected target may be probed.
func (o outlier) probeDue(now time.Time) bool { return !now.Before(o.probeAt) && o.probeInterval > 0 }

// eject starts the ejection and schedules the first probe.
func (o outlier) eject(now time.Time) outlier {
	o.probeInterval = minProbeInterval
	o.probeAt = now.Add(o.probeInterval)
	return o
}

// probed schedules the next probe, with exponential backoff.
func (o outlier) probed(now time.Time) outlier {
	o.probeInterval = min(2*o.probeInterval, maxProbeInterval)
	o.probeAt = now.Add(o.probeInterval)
	return o
}

// readmit ends the ejection.
func (o outlier) readmit() outlier {
	o.probeAt, o.probeInterval = time.Time{}, 0
	return o
}

// movingAverage returns the exponentially weighted moving average after a new
// sample. An old value of 0 means that there are no samples yet.
func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencyWeight*float64(sample-old))
}
