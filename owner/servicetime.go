package owner

import (
	"math"
	"time"
)

// serviceTimeHalfLife is the time without answers in which the average service
// time halves. Without the decay, one pause of this process or of the targets,
// which makes all answers look slow, could keep work from starting
// indefinitely.
const serviceTimeHalfLife = 250 * time.Millisecond

// serviceTime is a moving average of a shard's service time that decays while
// no answers arrive. Its zero value has no samples.
type serviceTime struct {
	value time.Duration
	last  time.Time
}

// add adds the service time of an answer that arrived at now.
func (u *serviceTime) add(service time.Duration, now time.Time) {
	u.value = movingAverage(u.at(now), service)
	u.last = now
}

// at returns the average service time at now, 0 if there are no samples.
func (u *serviceTime) at(now time.Time) time.Duration {
	idle := now.Sub(u.last) - serviceTimeHalfLife
	if idle <= 0 || u.value == 0 {
		return u.value
	}
	halves := float64(idle) / float64(serviceTimeHalfLife)
	return max(time.Duration(float64(u.value)*math.Exp2(-halves)), 1)
}
