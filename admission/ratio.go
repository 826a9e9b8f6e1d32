package admission

import (
	"math"
	"time"
)

// ratio compares a workspace's part of the usual load with its part of the present one,
// as twice the binary logarithm. It is rounded, so that it seldom changes and few values occur.
type ratio int8

// The bounds of ratios: a workspace counts as sending at most 16 times its usual load,
// and at least a quarter of it.
const (
	minRatio ratio = -8
	maxRatio ratio = 4
)

// float returns the ratio as a factor.
func (r ratio) float() float64 { return math.Exp2(float64(r) / 2) }

// newRatio returns the ratio of a usual to a present part of the load. It stays at the one before
// unless that is wrong by over three quarters of a step.
func newRatio(usual, present float64, before ratio) ratio {
	if usual <= 0 || present <= 0 {
		return 0
	}
	const hold = 0.75
	exact := 2 * math.Log2(usual/present)
	if math.Abs(exact-float64(before)) <= hold {
		return before
	}
	return ratio(min(max(math.Round(exact), float64(minRatio)), float64(maxRatio)))
}

// usualTime is the time over which a workspace's usual load is averaged. A burst of
// several times that load raises it little within the time that a burst lasts.
const usualTime = 2 * time.Minute

const (
	// maxUsualRise bounds a value in the average, relative to it, once the average covers
	// usualStart: what is usual rises slowly.
	maxUsualRise = 1.5
	usualStart   = 10 * time.Second
)

// average is a mean over all of the time since the start, then over about usualTime.
type average struct {
	mean float64
	age  time.Duration
}

// add adds a value that applied for some time.
func (a *average) add(v float64, dt time.Duration) {
	if dt <= 0 {
		return
	}
	if a.age > usualStart {
		v = min(v, maxUsualRise*a.mean)
	}
	a.age = min(a.age+dt, usualTime)
	a.mean += (v - a.mean) * min(1, float64(dt)/float64(a.age))
}
