package outlier

import (
	"time"
)

const (
	// slowWindow is the time whose requests tell whether a target is slow.
	slowWindow = 600 * time.Millisecond
	// failWindow is the time whose requests tell whether a target fails.
	failWindow = 3 * time.Second
	// leastBad is the number of bad requests that make an outlier.
	leastBad = 3
	// leastSlowShare and leastFailShare are the shares of bad requests that do.
	leastSlowShare = 0.6
	leastFailShare = 0.1
	// leastSpan is the time from the first bad request to the last that makes an
	// outlier: a target that only pauses for a moment is none.
	leastSpan = 280 * time.Millisecond
	// goodRun is the number of good requests one after the other that end slowness.
	goodRun = 2
	// forgetTime is how long an outlier counts of which nothing is heard.
	forgetTime = 10 * time.Second
)

// Outlier says how much worse than others a target answers.
type Outlier struct {
	// Slowness is its service time over the usual one, 0 if it isn't slow.
	Slowness float64
	// FailureRate is the share of requests that it fails.
	FailureRate float64
}

// none reports a target that is no outlier.
func (o Outlier) none() bool { return o == Outlier{} }

// Detector finds outliers in reports. It is a pure step function; it isn't safe
// for concurrent use.
type Detector struct {
	targets map[Incarnation]*history
}

// NewDetector returns a detector that has seen nothing.
func NewDetector() *Detector { return &Detector{targets: make(map[Incarnation]*history)} }

// history holds the reports of one target of the last failWindow, the oldest
// first, and what was concluded.
type history struct {
	seen []observation
	// good is the number of good requests since the last slow one.
	good    int
	heard   time.Time
	outlier Outlier
}

type observation struct {
	at     time.Time
	counts Counts
}

// Add takes in a report about one target.
func (d *Detector) Add(t Incarnation, seen Counts, now time.Time) {
	h := d.targets[t]
	if h == nil {
		h = &history{}
		d.targets[t] = h
	}
	h.heard = now
	h.forget(now)
	h.seen = append(h.seen, observation{at: now, counts: seen})
	h.judgeSpeed(seen, now)
	h.judgeFailures(now)
}

// forget drops what is too old to count.
func (h *history) forget(now time.Time) {
	n := 0
	for n < len(h.seen) && now.Sub(h.seen[n].at) > failWindow {
		n++
	}
	h.seen = h.seen[n:]
}

// judgeSpeed decides whether the target is slow after one more report.
func (h *history) judgeSpeed(seen Counts, now time.Time) {
	if seen.Slow == 0 {
		h.good += seen.Good
		if h.good >= goodRun {
			h.outlier.Slowness = 0
		}
		return
	}
	h.good = 0
	sum, span := h.within(now, slowWindow, func(c Counts) int { return c.Slow })
	if sum.Slow < leastBad || share(sum.Slow, sum.Good+sum.Slow) < leastSlowShare {
		return
	}
	if span >= leastSpan || h.outlier.Slowness > 0 {
		h.outlier.Slowness = sum.SlownessSum / float64(sum.Slow)
	}
}

// judgeFailures decides what share of requests the target fails.
func (h *history) judgeFailures(now time.Time) {
	sum, span := h.within(now, failWindow, func(c Counts) int { return c.Failed })
	failing := share(sum.Failed, sum.Good+sum.Slow+sum.Failed)
	switch {
	case failing < leastFailShare:
		h.outlier.FailureRate = 0
	case sum.Failed >= leastBad && span >= leastSpan:
		h.outlier.FailureRate = failing
	}
}

// within adds up the reports of a window, and returns the time from the first to
// the last with bad requests as counted by bad.
func (h *history) within(now time.Time, window time.Duration, bad func(Counts) int) (Counts, time.Duration) {
	var sum Counts
	var first, last time.Time
	for _, o := range h.seen {
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

// Outliers returns the outliers of now and forgets targets of which nothing was
// heard for long.
func (d *Detector) Outliers(now time.Time) map[Incarnation]Outlier {
	out := make(map[Incarnation]Outlier)
	for t, h := range d.targets {
		if now.Sub(h.heard) > forgetTime {
			delete(d.targets, t)
			continue
		}
		if !h.outlier.none() {
			out[t] = h.outlier
		}
	}
	return out
}
