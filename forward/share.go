package forward

import (
	"math/rand/v2"
	"time"

	"github.com/peridotmux/peridotmux/outlier"
)

// start names this start of the backend's target.
func (b *backend) start() outlier.Incarnation {
	return outlier.Incarnation{ID: b.target.ID, BornUnixMS: b.target.BornUnixMS}
}

// counts says what the end of an attempt tells other routers of its target.
func (x *sending) counts(o *Outcome) outlier.Counts {
	late := float64(o.ServiceTime) > overdue*float64(x.median)
	switch {
	case o.WrongTarget, o.OverConnectionLimit, o.Withdrawn, o.Cancelled && !late:
		return outlier.Counts{}
	case x.told > 0 && (o.Cancelled || o.Success()):
		return outlier.Counts{SlownessSum: max(0, x.ratio(o.ServiceTime)-x.told)}
	case o.Cancelled, o.Success() && late:
		return outlier.Counts{Slow: 1, SlownessSum: x.ratio(o.ServiceTime)}
	case o.sound():
		return outlier.Counts{Good: 1}
	default:
		return outlier.Counts{Failed: 1}
	}
}

// ratio returns a service time over the usual one.
func (x *sending) ratio(service time.Duration) float64 {
	return min(float64(service)/float64(max(x.median, 1)), mostSlowness)
}

// reportOverdue tells other routers of the attempts that are out for too long,
// once each. So a target that fell silent is known before they end.
func (f *fleet) reportOverdue(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.byID {
		for x, at := range b.out {
			out := now.Sub(at)
			if x.told > 0 || x.median == 0 || float64(out) <= overdue*float64(x.median) {
				continue
			}
			x.told = x.ratio(out)
			f.seen.Add(b.start(), outlier.Counts{Slow: 1, SlownessSum: x.told})
		}
	}
}

// takeOutliers takes what all routers together found of the targets.
func (f *fleet) takeOutliers(set map[outlier.Incarnation]outlier.Outlier, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.byID {
		found, known := set[b.start()]
		if known && b.shared == (outlier.Outlier{}) {
			b.probeAt = now.Add(rand.N(f.probeInterval()))
		}
		b.shared = found
	}
}

// probeSpacing is the time between two tries of an outlier by all routers
// together.
const probeSpacing = 2 * time.Second

// probeInterval returns the time between two tries of an outlier by this router.
func (f *fleet) probeInterval() time.Duration { return time.Duration(f.routers) * probeSpacing }

const (
	// wellSlowness and wellFailing bound what this router itself saw of a target that
	// it tries although others found it worse.
	wellSlowness = 1.5
	wellFailing  = 0.1
)

// probes reports whether it is this router's turn to try a target that others
// found worse.
func (b *backend) probes(c *candidate, now time.Time) bool {
	return c.shared && len(b.out) == 0 && !b.probeAt.After(now) &&
		c.own.slowness < wellSlowness && c.own.failing < wellFailing
}
