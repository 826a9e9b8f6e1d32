package owner

import (
	"math"
	"time"
)

// usualHalfLife is the time without answers in which the usual service time
// halves, so that one pause of this process or of the targets, which makes all
// answers look slow, can't keep work from starting for good.
const usualHalfLife = 250 * time.Millisecond

// usual is the usual service time of a shard's targets. Its zero value knows
// none.
type usual struct {
	value time.Duration
	last  time.Time
}

// add takes in the service time of an answer that came at now.
func (u *usual) add(service time.Duration, now time.Time) {
	u.value = average(u.at(now), service)
	u.last = now
}

// at returns the usual service time at now, 0 if none is known.
func (u *usual) at(now time.Time) time.Duration {
	idle := now.Sub(u.last) - usualHalfLife
	if idle <= 0 || u.value == 0 {
		return u.value
	}
	halves := float64(idle) / float64(usualHalfLife)
	return max(time.Duration(float64(u.value)*math.Exp2(-halves)), 1)
}
