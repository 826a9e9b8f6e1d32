package capacity

import "time"

const (
	// shareInterval is the time between two changes of a share. It is longer than the
	// delay of the exchange, so that each change shows its effect before the next.
	shareInterval = 500 * time.Millisecond
	// shareDecrease and shareIncrease are the steps of a share, and minShare its
	// minimum, which keeps the target observed.
	shareDecrease, shareIncrease = 0.8, 0.04
	minShare                     = 0.1
	// maxOverLimit is the fraction of requests above the limit that is accepted.
	maxOverLimit = 0.15
	// minCounted is the number of requests that a change rests on.
	minCounted = 5
)

// shareControl adjusts which share of its requests a target keeps: it falls by a
// factor while many requests run above the limit, and rises slowly otherwise.
type shareControl struct {
	share       float64
	total, over float64
	changedAt   time.Time
}

func newShareControl(now time.Time) shareControl { return shareControl{share: 1, changedAt: now} }

// count counts requests that ended while load requests were at the target.
func (c *shareControl) count(load, limit int, n float64) {
	c.total += n
	if limit > 0 && load > limit {
		c.over += n
	}
}

// update returns the share as of now.
func (c *shareControl) update(limit int, now time.Time) float64 {
	if limit == 0 {
		*c = newShareControl(now)
		return c.share
	}
	if now.Sub(c.changedAt) < shareInterval {
		return c.share
	}
	if c.total >= minCounted && c.over > maxOverLimit*c.total {
		c.share = max(c.share*shareDecrease, minShare)
	} else {
		c.share = min(c.share+shareIncrease, 1)
	}
	c.total, c.over, c.changedAt = 0, 0, now
	return c.share
}
