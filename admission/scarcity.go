package admission

import "time"

const (
	// surelyOver is the load, relative to the capacity, above which a service is scarce
	// at once, and over the one above which it is if that lasts for onsetTime.
	surelyOver = 2.0
	over       = 1.2
	// nearlyOver is the load above which a service is scarce if its targets also have
	// queues of at least longQueue objectives, at others than the target with the longest
	// one, which may have paused, for nearOnsetTime.
	nearlyOver = 0.9
	longQueue  = 0.3
	onsetTime  = 300 * time.Millisecond
	// Pauses and bursts leave short queues at times, which are gone within this time.
	nearOnsetTime = 450 * time.Millisecond
	// under is the load below which a service isn't scarce any more, if that lasts for
	// endTime with queues of at most shortQueue objectives.
	under      = 0.85
	shortQueue = 0.1
	endTime    = time.Second

	// drainTime is the time in which queues beyond shortQueue are worked off. It is
	// longer than the delay of the exchange together with that of the estimates, so that
	// the admitted load doesn't oscillate.
	drainTime = 600 * time.Millisecond
	// minUsed is the part of the capacity that is used however long the queues are.
	minUsed = 0.2
)

// estimate is what is known of one service. Loads and capacities are in seconds of
// objectives per second.
type estimate struct {
	offered float64
	// capacity is the mean one of the last windows, and optimistic the one that a pause
	// or a few slow answers don't lower.
	capacity, optimistic float64
	// queue is the time, in objectives, in which the targets work their queues off.
	queue float64
	// shared is the same without the target with the longest queue, if there are others.
	shared float64
	// objective is the mean objective of the queries, in seconds.
	objective float64
}

// usable returns the part of the capacity for new queries, such that the queues shrink
// to what is usual.
func (e *estimate) usable() float64 {
	drain := max(0, e.queue-shortQueue) * e.objective / drainTime.Seconds()
	return e.capacity * max(1-drain, minUsed)
}

// scarcity is whether a service is scarce, over time.
type scarcity struct {
	scarce bool
	// overSince is since when the service is overloaded, and underSince since when it
	// isn't any more, zero if it isn't so.
	overSince, underSince time.Time
	// sent are the levels that were sent last.
	sent levels
}

// overloaded reports whether the service is overloaded, possibly for a moment only.
func (e *estimate) overloaded() bool {
	return e.offered > over*e.optimistic || e.offered > nearlyOver*e.optimistic && e.shared > longQueue
}

// update applies a new estimate and reports whether the service's state changed. several
// means that several services are overloaded, which pauses of single targets don't cause.
func (s *scarcity) update(e *estimate, several bool, now time.Time) bool {
	if !s.scarce {
		overloaded := e.overloaded()
		since(&s.overSince, overloaded, now)
		onset := nearOnsetTime
		if several || e.offered > over*e.optimistic {
			onset = onsetTime
		}
		if e.offered <= surelyOver*e.optimistic && (!overloaded || now.Sub(s.overSince) < onset) {
			return false
		}
		*s = scarcity{scarce: true}
		return true
	}
	calm := e.offered < under*e.capacity && e.queue < shortQueue
	since(&s.underSince, calm, now)
	if !calm || now.Sub(s.underSince) < endTime {
		return false
	}
	*s = scarcity{}
	return true
}

// since keeps the time since when a condition holds.
func since(at *time.Time, holds bool, now time.Time) {
	switch {
	case !holds:
		*at = time.Time{}
	case at.IsZero():
		*at = now
	}
}

// levelTolerance is the relative change of a level below which the last one sent stays.
const levelTolerance = 0.02

// smoothing is the weight of a new level in the average with those before. Levels are
// computed ten times a second.
const smoothing = 0.4

// settle returns the levels to send: those sent before unless a new one differs enough.
// fresh means that the ratios changed, so that the levels before don't fit them.
func (s *scarcity) settle(found levels, fresh bool) levels {
	if fresh || len(found) != len(s.sent) {
		s.sent = found
		return found
	}
	for i := range found {
		// New levels are averaged with those before, since they vary by chance.
		if l, before := &found[i], s.sent[i]; l.priority == before.priority {
			l.fraction = before.fraction + smoothing*(l.fraction-before.fraction)
		}
	}
	for i, l := range found {
		before := s.sent[i]
		change := l.fraction - before.fraction
		if l.priority != before.priority || change > levelTolerance*before.fraction || -change > levelTolerance*before.fraction {
			s.sent = found
			return found
		}
	}
	return s.sent
}
