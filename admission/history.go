package admission

import (
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/discovery"
)

// historyTime is how long reports are kept for a new leader. It covers the windows from
// which a slow target is told, and the time in which a leader is elected.
const historyTime = 1500 * time.Millisecond

// history holds the reports of the last historyTime, added up by periods of bucketTime,
// the oldest first.
type history []pastReport

// pastReport is what was reported in the period that began at a time.
type pastReport struct {
	at time.Time
	*report
}

// add adds a report that came at a time, which may be before that of others.
func (h *history) add(r *report, at time.Time) {
	i, _ := slices.BinarySearchFunc(*h, at, func(p pastReport, at time.Time) int { return p.at.Compare(at) })
	switch {
	case i > 0 && at.Sub((*h)[i-1].at) < bucketTime:
		i--
	case i < len(*h) && (*h)[i].at.Sub(at) < bucketTime:
	default:
		*h = slices.Insert(*h, i, pastReport{at: at, report: newReport()})
	}
	(*h)[i].add(r)
}

// expire drops what is too old at a time.
func (h *history) expire(now time.Time) {
	*h = slices.DeleteFunc(*h, func(p pastReport) bool { return now.Sub(p.at) > historyTime })
}

// learnTime is how long a new leader waits for the other members' histories before its
// findings count as complete.
const learnTime = 600 * time.Millisecond

// replay estimates anew from the reports of the last seconds, and finds since when
// services are overloaded. l.mu must be held.
func (l *Leader) replay(now time.Time) {
	l.replayDue = false
	l.relay.past.expire(now)
	l.rates, l.windows = make(map[offerClass]*rate), make(map[discovery.TargetID]*targetWindows)
	for _, s := range l.services {
		s.overSince = time.Time{}
	}
	for _, p := range l.relay.past {
		l.apply(p.report, p.at)
		at := p.at.Add(bucketTime)
		for name, e := range l.estimate(l.offeredLoad(at), at) {
			if s := l.service(name); !s.scarce {
				since(&s.overSince, e.overloaded(), at)
			}
		}
	}
}
