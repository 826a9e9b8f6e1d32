package forward

import (
	"math"
	"time"

	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/internal/connpool"
	"github.com/peridotmux/peridotmux/outlier"
)

const (
	// sampleWeight is the least part of a new service time in a target's speed; it
	// grows with the time since the one before.
	sampleWeight = 0.25
	// sampleMemory is the time after which a new service time counts for two thirds.
	sampleMemory = time.Second
	// mostSlowness bounds what one service time may say.
	mostSlowness = 30
	// failSampleWeight is the part of a new outcome in a target's failures.
	failSampleWeight = 0.2
	// failMemory is the time in which a target's failures fade to a third.
	failMemory = 5 * time.Second
	// ownFresh is how long an own service time goes before what others found.
	ownFresh = 400 * time.Millisecond
	// crowdedTime is how long a target that refuses new connections is used only
	// over those that are open.
	crowdedTime = 500 * time.Millisecond
)

// backend is one target as this router sees it. The fleet's lock guards it.
type backend struct {
	target *discovery.Target
	pool   *connpool.Pool
	// out holds the start of each of this router's requests at the target.
	out map[*sending]time.Time

	load     Load
	reported int
	slowness float64
	slowAt   time.Time
	failing  float64
	failAt   time.Time
	// shared is what all routers together found of the target.
	shared outlier.Outlier
	// probeAt is when this router tries the target although others found it worse.
	probeAt time.Time

	// listCold and healthCold are when the target is warm by the list and by its own
	// health answers. The list is behind, so it doesn't overrule the latter.
	listCold, healthCold time.Time
	// doubted says that the target may have restarted: its health is asked for
	// before it gets more work.
	doubted bool
	// checking says that its health is being asked for.
	checking bool
	// checkAt is the earliest time to ask for its health again.
	checkAt time.Time
	// unhealthy says that its last health answer was a failure.
	unhealthy bool
	// crowdedUntil is when the target may accept more connections.
	crowdedUntil time.Time
	// scarce says that the routers need more connections than the target accepts
	// with ease, so that each router keeps to few targets.
	scarce bool
	// gone says that another target answered at its address.
	gone bool
}

// sending is one attempt at a backend while it is out, with what it was chosen
// on.
type sending struct {
	b    *backend
	seen candidate
	cost time.Duration
	// median is the usual service time of the route's requests.
	median time.Duration
	// told is the slowness that was reported while the attempt was out, 0 if none.
	told float64
}

func newBackend(t *discovery.Target, pool *connpool.Pool) *backend {
	return &backend{target: t, pool: pool, out: make(map[*sending]time.Time), slowness: 1, listCold: t.ColdUntil}
}

// refresh takes a new list entry of the same target. It reports false if the
// entry is of a later start, which is another backend.
func (b *backend) refresh(t *discovery.Target) bool {
	if t.Addr != b.target.Addr || t.BornUnixMS != b.target.BornUnixMS {
		return false
	}
	b.target = t
	b.listCold = laterCold(b.listCold, t.ColdUntil)
	return true
}

// recold is how much later than before the end of a cold start must be named to
// mean that the target turned cold again.
const recold = time.Second

// laterCold returns the end of a cold start from what was known and what the list
// says now. The list is behind by an unknown time, so each reading names the end
// or a later time: the earliest of them is the closest.
func laterCold(known, listed time.Time) time.Time {
	if listed.IsZero() {
		return listed
	}
	if known.IsZero() || listed.Before(known) || listed.Sub(known) > recold {
		return listed
	}
	return known
}

// coldUntil returns when the target is warm.
func (b *backend) coldUntil() time.Time {
	if b.healthCold.After(b.listCold) {
		return b.healthCold
	}
	return b.listCold
}

// full reports whether one more request would need a connection that the target
// refuses.
func (b *backend) full(now time.Time) bool {
	return b.crowdedUntil.After(now) && len(b.out) >= b.pool.NumOpen()
}

// candidate returns what a choice needs to know.
func (b *backend) candidate(now time.Time, local bool) candidate {
	c := candidate{
		inflight: len(b.out), load: b.load, loadAge: loadMemory, reported: b.reported,
		slots: b.target.Slots, local: local, unhealthy: b.unhealthy,
		connects: b.scarce && b.pool.NumIdle() == 0,
		slowness: 1 + (b.slowness-1)*fade(now.Sub(b.slowAt), slowMemory),
		failing:  b.failing * fade(now.Sub(b.failAt), failMemory),
	}
	if b.shared != (outlier.Outlier{}) && now.Sub(b.slowAt) > ownFresh {
		c.own = sightings{slowness: c.slowness, failing: c.failing}
		c.slowness = max(c.slowness, b.shared.Slowness)
		c.failing = max(c.failing, b.shared.FailureRate)
		c.shared = true
	}
	if !b.load.At.IsZero() {
		c.loadAge = now.Sub(b.load.At)
	}
	for _, at := range b.out {
		c.oldest = max(c.oldest, now.Sub(at))
	}
	return c
}

// fade returns how much of what was learned some time ago still counts.
func fade(age, memory time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(memory))
}

// learnSpeed takes in one service time.
func (b *backend) learnSpeed(service, median time.Duration, now time.Time) {
	ratio := min(float64(service)/float64(median), mostSlowness)
	gap := now.Sub(b.slowAt)
	old := 1 + (b.slowness-1)*fade(gap, slowMemory)
	weight := max(sampleWeight, 1-fade(gap, sampleMemory))
	b.slowness = old + weight*(ratio-old)
	b.slowAt = now
}

// learn takes in the outcome of one attempt, whose usual service time was
// median.
func (b *backend) learn(o *Outcome, median time.Duration, now time.Time) {
	if o.Withdrawn {
		// Its connection took long: that says little of the target.
		return
	}
	if o.Cancelled {
		// The target would have taken longer still.
		if float64(o.ServiceTime) > overdue*float64(median)*max(b.slowness, 1) {
			b.learnSpeed(o.ServiceTime, median, now)
		}
		return
	}
	failed := 1.0
	if o.sound() {
		failed = 0
	}
	b.failing = b.failing * fade(now.Sub(b.failAt), failMemory)
	b.failing += failSampleWeight * (failed - b.failing)
	b.failAt = now
	if !o.Load.At.IsZero() {
		b.load, b.reported = o.Load, len(b.out)
	}
	if o.Success() && median > 0 {
		b.learnSpeed(o.ServiceTime, median, now)
	}
	switch {
	case o.WrongTarget:
		b.gone = true
	case o.OverConnectionLimit:
		b.crowdedUntil = now.Add(crowdedTime)
	case o.ConnectFailed, o.ConnectionLost, b.pool.RestartSuspected():
		b.doubted = true
		b.pool.CloseIdle()
	case o.TimedOut:
		b.pool.CloseIdle()
	}
}
