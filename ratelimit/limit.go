package ratelimit

import (
	"math"
	"time"

	"github.com/peridotmux/peridotmux/capacity"
)

// Key identifies one start of a target.
type Key = capacity.Key

const (
	// minLimit is the least limit in requests per second that is kept to. Without any
	// request, nobody would learn that a limit has ended.
	minLimit = 0.25
	// spread is the number of standard deviations, for one second of random arrivals, by
	// which gateways stay below a limit, at most maxSpread of it.
	spread    = 0.4
	maxSpread = 0.4
	// admittedFactor is the rate, relative to the limit, up to which a target may be chosen
	// for requests that were admitted by Share. Their mean rate is the aim already, and one
	// that finds no target was admitted in vain.
	admittedFactor = 1.15
)

// Limit is the number of requests per second that a target takes from all gateways
// together.
type Limit float64

// Aim returns the rate that gateways aim at. Since they choose at random, it is a little
// less than the limit.
func (l Limit) Aim() float64 {
	perSecond := max(float64(l), minLimit)
	return perSecond - min(spread*math.Sqrt(perSecond), maxSpread*perSecond)
}

// most returns the rate up to which the target may be chosen.
func (l Limit) most(admitted bool) float64 {
	if admitted {
		return admittedFactor * max(float64(l), minLimit)
	}
	return l.Aim()
}

// Share returns the fraction of some offered requests per second that limited targets
// together can take.
func Share(limits []Limit, offered float64) float64 {
	total := 0.0
	for _, l := range limits {
		total += l.Aim()
	}
	if total >= offered {
		return 1
	}
	return total / offered
}

// draw decides which limited targets one request may choose.
type draw struct {
	// choices is the rate, per second, of choices among which the limits are divided.
	choices float64
	// position is a random number from 0 to 1, and start where the next target's
	// interval of positions begins.
	position, start float64
}

// allows reports whether the request may choose the next target, given its rate. The
// targets of a service get consecutive intervals of positions around a circle, so that one
// of them is allowed whenever their limits together suffice.
func (d *draw) allows(perSecond float64) bool {
	chance := 1.0
	if d.choices > 0 {
		chance = min(perSecond/d.choices, 1)
	}
	after := d.position - d.start
	after -= math.Floor(after)
	d.start += chance
	return after < chance
}

// burstTime is the time in which a gateway that chose a target lately may make up for
// choices that it didn't use.
const burstTime = 500 * time.Millisecond

// tokens is a token bucket that bounds how often one gateway chooses a target.
type tokens struct {
	// spent is the number of tokens that are missing, as of at.
	spent float64
	at    time.Time
}

// ready reports whether there is a token if they come at a rate per second.
func (b *tokens) ready(perSecond float64, now time.Time) bool {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.spent, b.at = max(0, b.spent-perSecond*elapsed), now
	}
	return b.spent <= perSecond*burstTime.Seconds()
}

// Times of the exchange.
const (
	// rateWidth is the time of a bucket of the rates that all gateways share.
	rateWidth = 100 * time.Millisecond
	// ownWidth is that of the rate that a gateway uses while the sums aren't known. Its
	// own choices may be few.
	ownWidth = 500 * time.Millisecond
	// ownTime is how long a target's own response goes before what the leader tells.
	ownTime = time.Second
	// repeatTime is the time between two reports of an unchanged limit.
	repeatTime = 5 * time.Second
	// endTime is how long the leader tells the end of a limit.
	endTime = 10 * time.Second
	// limitTTL is how long a limit is kept that nobody reports.
	limitTTL = time.Minute
	// sumsTTL is how long sums are used after control was lost.
	sumsTTL = 5 * time.Second
	// stateInterval is the shortest time between two states.
	stateInterval = 100 * time.Millisecond
	// stateBytesPerSecond bounds what one receiver is sent: a state of n bytes stays for at
	// least n/stateBytesPerSecond.
	stateBytesPerSecond = 8192
	// settleTime is how long after its window the sums of a service count as complete:
	// all gateways have heard by then that it has limited targets.
	settleTime = 500 * time.Millisecond
	// silenceTime is the time without reports after which a leader begins anew.
	silenceTime = 3 * time.Second
	// maxTargets and maxServices bound the memory and the messages.
	maxTargets, maxServices = 1024, 512
)
