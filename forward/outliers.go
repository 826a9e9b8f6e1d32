package forward

import (
	"time"

	"github.com/peridotmux/peridotmux/outlier"
	"github.com/peridotmux/peridotmux/rollout"
	"github.com/peridotmux/peridotmux/route"
)

// incarnation identifies the backend's target in its current incarnation.
func (b *backend) incarnation() outlier.Incarnation {
	return outlier.Incarnation{ID: b.id, BornUnixMS: b.target.BornUnixMS}
}

// outlierCounts returns what the end of an attempt adds to the counts that routers
// share.
func (sel *selection) outlierCounts(o *Outcome) outlier.Counts {
	late := float64(o.ServiceTime) > overdueFactor*float64(sel.median)
	switch {
	case o.WrongTarget, o.OverConnectionLimit, o.Withdrawn, o.Cancelled && !late:
		return outlier.Counts{}
	case sel.reportedSlowness > 0 && (o.Cancelled || o.Success()):
		return outlier.Counts{SlownessSum: max(0, sel.relativeTime(o.ServiceTime)-sel.reportedSlowness)}
	case o.Cancelled, o.Success() && late:
		return outlier.Counts{Slow: 1, SlownessSum: sel.relativeTime(o.ServiceTime)}
	case o.noServerError():
		return outlier.Counts{Good: 1}
	default:
		return outlier.Counts{Failed: 1}
	}
}

// relativeTime returns a service time relative to the median.
func (sel *selection) relativeTime(serviceTime time.Duration) float64 {
	return min(float64(serviceTime)/float64(max(sel.median, 1)), maxSlowness)
}

// reportOverdue reports the attempts that have been in flight for too long to other
// routers, once each, so that a target that stopped answering is detected before
// they end.
func (f *fleet) reportOverdue(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.byID {
		for sel, at := range b.inFlight {
			age := now.Sub(at)
			if sel.reportedSlowness > 0 || sel.median == 0 || float64(age) <= overdueFactor*float64(sel.median) {
				continue
			}
			sel.reportedSlowness = sel.relativeTime(age)
			f.collector.Add(b.incarnation(), outlier.Counts{Slow: 1, SlownessSum: sel.reportedSlowness})
			f.rollouts.add(sel.rollout, rollout.Counts{Slow: 1})
		}
	}
}

// applyOutliers applies what all routers together found about the targets.
func (f *fleet) applyOutliers(set map[outlier.Incarnation]outlier.Outlier, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.byID {
		found, known := set[b.incarnation()]
		if known && b.shared == (outlier.Outlier{}) {
			b.probeAt = now.Add(f.probeDelay(b.service))
		}
		b.shared = found
	}
}

// probeSpacing is the time between two probes of an outlier by all routers
// together.
const probeSpacing = 2 * time.Second

// probeInterval returns the time between two probes of an outlier of a service by
// this router. f.mu must be held.
func (f *fleet) probeInterval(s route.ServiceName) time.Duration {
	return time.Duration(max(len(f.sharingOf(s).gateways), 1)) * probeSpacing
}

const (
	// maxProbeSlowness and maxProbeFailureRate bound this router's own observations
	// of an outlier that it probes.
	maxProbeSlowness    = 1.5
	maxProbeFailureRate = 0.1
)

// shouldProbe reports whether this router should send a request to a target that
// other routers found to be an outlier.
func (b *backend) shouldProbe(c *candidate, now time.Time) bool {
	return c.usesShared && len(b.inFlight) == 0 && !b.probeAt.After(now) &&
		c.own.slowness < maxProbeSlowness && c.own.failureRate < maxProbeFailureRate
}
