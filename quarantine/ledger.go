package quarantine

import (
	"slices"
	"time"
)

const (
	// suspectLosses is the number of lost targets from which on a request is a suspect, and
	// quarantineLosses that from which on it is quarantined, if one of them was lost under
	// a canary.
	suspectLosses    = 2
	quarantineLosses = 3
	// weakFactor is how many times as many targets must be lost if the evidence is weak.
	weakFactor = 2
	// maxTargets bounds the lost targets that are told apart.
	maxTargets = weakFactor * quarantineLosses
	// suspectTime is how long a request is a suspect after the last loss.
	suspectTime = time.Minute
	// quarantineTime is how long a request is quarantined at first. After that it may run
	// as a canary again, and each loss multiplies the time by quarantineGrowth.
	quarantineTime   = 30 * time.Second
	quarantineGrowth = 4
	// maxQuarantineTime bounds it. A request is forgotten that long after its last loss.
	maxQuarantineTime = 24 * time.Hour
	// maxRecords bounds the requests that are kept.
	maxRecords = 1024
)

// Standing is what is thought of a request.
type Standing uint8

// The standings, from good to bad.
const (
	// Clear means that nothing is held against the request.
	Clear Standing = iota
	// Suspect means that it may crash targets, so that it runs as a canary.
	Suspect
	// Quarantined means that it isn't run.
	Quarantined
)

// String returns the standing's name in logs.
func (s Standing) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	default:
		return "clear"
	}
}

// Evidence is what happened to a request.
type Evidence struct {
	// Lost are the targets that were lost under it, each one once, and CanaryLost means
	// that one of them ran it as a canary. Again is how often a canary was lost with one of
	// them that had been lost before.
	Lost       []Target
	CanaryLost bool
	Again      int
	// Weak means that targets answered it not long before, so that a few of many runs may
	// have been lost in a row by chance, or that losses may have another cause.
	Weak bool
	// Answered means that a target answered it after that.
	Answered bool
}

// Target identifies one start of a target.
type Target uint64

// plus returns the evidence of both, of which later is the later one.
func (e Evidence) plus(later Evidence) Evidence {
	if later.Answered || e.Answered && len(later.Lost) == 0 {
		return Evidence{Answered: true}
	}
	if e.Answered {
		return later
	}
	sum := Evidence{
		Lost: slices.Clone(e.Lost), CanaryLost: e.CanaryLost || later.CanaryLost, Again: e.Again + later.Again, Weak: e.Weak || later.Weak,
	}
	for _, t := range later.Lost {
		switch {
		case !slices.Contains(sum.Lost, t) && len(sum.Lost) < maxTargets:
			sum.Lost = append(sum.Lost, t)
		case later.CanaryLost:
			sum.Again++
		}
	}
	sum.Again = min(sum.Again, maxTargets)
	return sum
}

// lostAtLeast reports whether so many targets were lost, or more if the evidence is weak.
func (e Evidence) lostAtLeast(n int) bool {
	if e.Weak {
		n *= weakFactor
	}
	return len(e.Lost)+e.Again >= n
}

// record is what is known of one request.
type record struct {
	Evidence
	// times is how often it was quarantined, period for how long the last time, and until
	// when it is.
	times  int
	period time.Duration
	until  time.Time
	// lostAt is when the last target was lost.
	lostAt time.Time
}

// ledger holds what is known of requests. It is not safe for concurrent use.
type ledger struct{ records map[Fingerprint]*record }

func newLedger() *ledger { return &ledger{records: make(map[Fingerprint]*record)} }

// add adds evidence of a request and returns its standing.
func (l *ledger) add(f Fingerprint, e Evidence, now time.Time) Standing {
	if e.Answered {
		delete(l.records, f)
		return Clear
	}
	r := l.records[f]
	if r != nil && r.expired(now) {
		r = nil
	}
	if r == nil {
		if len(l.records) >= maxRecords && !l.makeRoom(now) {
			return Clear
		}
		r = &record{}
		l.records[f] = r
	}
	r.Evidence = r.plus(e)
	r.lostAt = now
	if len(e.Lost) > 0 && r.CanaryLost && r.lostAtLeast(quarantineLosses) && !now.Before(r.until) {
		r.quarantine(now)
	}
	return r.standing(now)
}

// quarantine quarantines the request, for longer each time.
func (r *record) quarantine(now time.Time) {
	d := quarantineTime
	for range r.times {
		d = min(d*quarantineGrowth, maxQuarantineTime)
	}
	r.quarantineFor(d, now)
}

func (r *record) quarantineFor(d time.Duration, now time.Time) {
	r.times++
	r.period, r.until = d, now.Add(d)
}

// standing returns the request's standing.
func (r *record) standing(now time.Time) Standing {
	switch {
	case r.expired(now):
		return Clear
	case now.Before(r.until):
		return Quarantined
	case r.times > 0 || r.lostAtLeast(suspectLosses):
		return Suspect
	default:
		return Clear
	}
}

// expired reports whether the request is to be forgotten.
func (r *record) expired(now time.Time) bool {
	if r.times > 0 {
		return now.Sub(r.lostAt) > maxQuarantineTime
	}
	return now.Sub(r.lostAt) > suspectTime
}

// makeRoom forgets requests that are expired, or else one that isn't quarantined. It
// reports whether there is room.
func (l *ledger) makeRoom(now time.Time) bool {
	l.expire(now)
	if len(l.records) < maxRecords {
		return true
	}
	for f, r := range l.records {
		if r.times == 0 {
			delete(l.records, f)
			return true
		}
	}
	return false
}

// expire forgets expired requests.
func (l *ledger) expire(now time.Time) {
	for f, r := range l.records {
		if r.expired(now) {
			delete(l.records, f)
		}
	}
}

// standing returns a request's standing, and how much longer it is quarantined.
func (l *ledger) standing(f Fingerprint, now time.Time) (s Standing, left time.Duration) {
	r := l.records[f]
	if r == nil {
		return Clear, 0
	}
	return r.standing(now), max(r.until.Sub(now), 0)
}
