package outlier

import (
	"time"
)

const (
	// slowWindow is the period of requests from which slowness is determined.
	slowWindow = 600 * time.Millisecond
	// failureWindow is the period of requests from which the failure rate is
	// determined.
	failureWindow = 3 * time.Second
	// minBadRequests is the minimum number of slow or failed requests at an
	// outlier.
	minBadRequests = 3
	// minSlowShare and minFailureRate are the minimum shares of slow and of failed
	// requests at an outlier.
	minSlowShare   = 0.6
	minFailureRate = 0.1
	// minSpan is the minimum time from the first to the last report of slow or
	// failed requests at an outlier: a target that only pauses briefly is not one.
	minSpan = 280 * time.Millisecond
	// recoveryRun is the number of consecutive good requests after which a target
	// is no longer slow.
	recoveryRun = 2
	// expiry is how long an outlier is kept without reports about it.
	expiry = 10 * time.Second
)

// Outlier says how much worse than others a target answers. The zero value is no
// outlier.
type Outlier struct {
	// Slowness is the target's service time relative to the usual one, 0 if it
	// isn't slow.
	Slowness float64
	// FailureRate is the share of failed requests, 0 if it is low.
	FailureRate float64
}

// isZero reports whether the target is no outlier.
func (o Outlier) isZero() bool { return o == Outlier{} }

// Detector finds outliers in reports. It does no I/O and reads no clock: all times
// are arguments. It is not safe for concurrent use.
type Detector struct {
	targets map[Incarnation]*history
}

// NewDetector returns a detector without reports.
func NewDetector() *Detector { return &Detector{targets: make(map[Incarnation]*history)} }

// history holds the reports about one target within failureWindow, the oldest
// first, and the conclusion from them.
type history struct {
	reports []observation
	// good is the number of good requests since the last slow one.
	good int
	// lastReport is when the latest report arrived.
	lastReport time.Time
	outlier    Outlier
}

// observation is one report about a target.
type observation struct {
	at     time.Time
	counts Counts
}

// Add applies a report about one target and updates whether it is an outlier.
func (d *Detector) Add(t Incarnation, observed Counts, now time.Time) {
	h := d.targets[t]
	if h == nil {
		h = &history{}
		d.targets[t] = h
	}
	h.lastReport = now
	h.prune(now)
	h.reports = append(h.reports, observation{at: now, counts: observed})
	h.updateSlowness(observed, now)
	h.updateFailureRate(now)
}

// prune drops the reports that are older than failureWindow.
func (h *history) prune(now time.Time) {
	n := 0
	for n < len(h.reports) && now.Sub(h.reports[n].at) > failureWindow {
		n++
	}
	h.reports = h.reports[n:]
}

// updateSlowness determines whether the target is slow after one more report.
func (h *history) updateSlowness(observed Counts, now time.Time) {
	if observed.Slow == 0 {
		h.good += observed.Good
		if h.good >= recoveryRun {
			h.outlier.Slowness = 0
		}
		return
	}
	h.good = 0
	sum, span := h.sumWithin(now, slowWindow, func(c Counts) int { return c.Slow })
	if sum.Slow < minBadRequests || share(sum.Slow, sum.Good+sum.Slow) < minSlowShare {
		return
	}
	if span >= minSpan || h.outlier.Slowness > 0 {
		h.outlier.Slowness = sum.SlownessSum / float64(sum.Slow)
	}
}

// updateFailureRate determines the share of requests that the target fails.
func (h *history) updateFailureRate(now time.Time) {
	sum, span := h.sumWithin(now, failureWindow, func(c Counts) int { return c.Failed })
	failureRate := share(sum.Failed, sum.Good+sum.Slow+sum.Failed)
	switch {
	case failureRate < minFailureRate:
		h.outlier.FailureRate = 0
	case sum.Failed >= minBadRequests && span >= minSpan:
		h.outlier.FailureRate = failureRate
	}
}

// sumWithin adds up the reports of a window. It also returns the time between the
// first and the last report for which bad returns a positive number.
func (h *history) sumWithin(now time.Time, window time.Duration, bad func(Counts) int) (Counts, time.Duration) {
	var sum Counts
	var first, last time.Time
	for _, o := range h.reports {
		if now.Sub(o.at) > window {
			continue
		}
		sum = sum.plus(o.counts)
		if bad(o.counts) == 0 {
			continue
		}
		if first.IsZero() {
			first = o.at
		}
		last = o.at
	}
	return sum, last.Sub(first)
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Outliers returns the current outliers and removes targets without reports within
// expiry.
func (d *Detector) Outliers(now time.Time) map[Incarnation]Outlier {
	out := make(map[Incarnation]Outlier)
	for t, h := range d.targets {
		if now.Sub(h.lastReport) > expiry {
			delete(d.targets, t)
			continue
		}
		if !h.outlier.isZero() {
			out[t] = h.outlier
		}
	}
	return out
}
