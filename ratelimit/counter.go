package ratelimit

import (
	"math"
	"time"
)

const (
	// counterBuckets is the number of buckets of a counter's window, and recentBuckets that
	// of the last part of it.
	counterBuckets = 20
	recentBuckets  = 3
)

// counter counts events in a sliding window. Its zero value is ready for use once width,
// the time of one bucket, is set.
type counter struct {
	width  time.Duration
	bucket int64
	counts [counterBuckets + 1]float64
}

// window returns the time over which whole buckets are counted.
func (c *counter) window() time.Duration { return counterBuckets * c.width }

// advance clears the buckets between the last one used and the one at a time since the
// owner's start.
func (c *counter) advance(at time.Duration) {
	to := int64(at / c.width)
	if to-c.bucket > int64(len(c.counts)) {
		c.bucket = to - int64(len(c.counts))
	}
	for c.bucket < to {
		c.bucket++
		c.counts[c.bucket%int64(len(c.counts))] = 0
	}
}

func (c *counter) add(n float64, at time.Duration) {
	c.advance(at)
	c.counts[c.bucket%int64(len(c.counts))] += n
}

// sum returns the number of events in the window and in the current bucket.
func (c *counter) sum(at time.Duration) float64 {
	c.advance(at)
	total := 0.0
	for _, n := range c.counts {
		total += n
	}
	return total
}

// rates returns the rates over the whole buckets and over the last ones of them.
func (c *counter) rates(at time.Duration) (whole, recent float64) {
	c.advance(at)
	for i := range int64(counterBuckets) {
		whole += c.counts[(c.bucket-1-i+2*int64(len(c.counts)))%int64(len(c.counts))]
		if i == recentBuckets-1 {
			recent = whole
		}
	}
	return whole / c.window().Seconds(), recent / (recentBuckets * c.width.Seconds())
}

const (
	// minExpected is the number of events that must be expected in the last buckets for a
	// rise to be told from chance, and riseDeviations by how many standard deviations
	// there must be more.
	minExpected    = 3
	riseDeviations = 2
	// maxRise bounds a rise.
	maxRise = 5
)

// rise returns the factor by which the rate has risen in the last buckets, 1 if it hasn't.
func (c *counter) rise(at time.Duration) float64 {
	whole, recent := c.rates(at)
	seconds := recentBuckets * c.width.Seconds()
	expected := whole * seconds
	if expected < minExpected || recent*seconds < expected+riseDeviations*math.Sqrt(expected) {
		return 1
	}
	return min(recent/whole, maxRise)
}
