package forward

import (
	"context"
	"time"
)

// hedgeOnTime hedges when the timer fires: the first time those that are late, once a part
// has come, and at lastHedge those that the budget didn't allow earlier.
func (g *gathering) hedgeOnTime(ctx context.Context, timer *time.Timer, lastHedge time.Time) {
	g.hedging = true
	if !g.mayHedge() && time.Now().Before(g.req.deadline) {
		timer.Reset(minHedgeDelay)
		return
	}
	g.hedgeAll(ctx, urgencyLow)
	timer.Reset(time.Until(lastHedge))
	if !time.Now().Before(lastHedge) {
		g.hedgeAll(ctx, urgencyMedium)
		timer.Stop()
	}
}

// awaitTargets sets the timer if a shard waits for a busy target.
func (g *gathering) awaitTargets() {
	if g.waiting {
		return
	}
	for _, c := range g.calls {
		if c != nil && c.waiting {
			g.waiting = true
			g.free.Reset(busyWait)
			return
		}
	}
}

// retryWaiting tries the shards again that wait for a busy target.
func (g *gathering) retryWaiting(ctx context.Context) {
	g.waiting = false
	for i, c := range g.calls {
		if c != nil && c.waiting {
			c.start(ctx, i, g.results, urgencyHigh, false)
		}
	}
}

// holdsBack reports whether another attempt at a shard waits until the entry allows it.
func (g *gathering) holdsBack(c *call) bool {
	return g.holdBack && c.inFlight == 0 && c.rejections <= maxRejections
}

// allowAttempts raises the number of targets of a shard that may run the request, and
// makes up for the retries and hedges that were held back.
func (g *gathering) allowAttempts(ctx context.Context, attempts int) {
	g.holdBack = false
	for i, c := range g.calls {
		if c == nil {
			continue
		}
		c.attempts = attempts
		if c.heldBack {
			c.heldBack = false
			c.start(ctx, i, g.results, g.retryUrgency(), false)
		}
		if c.silent > 0 && g.signatures[i] == "" {
			c.hedge(ctx, i, g.results, g.retryUrgency())
		}
	}
	if g.hedging {
		g.hedgeAll(ctx, urgencyLow)
	}
}

// hedgeAll hedges the requests to the shards without a part.
func (g *gathering) hedgeAll(ctx context.Context, level urgency) {
	if !g.mayHedge() {
		return
	}
	if g.received < g.req.route.Gather.MinParts() && level != urgencyLow {
		level = urgencyHigh
	}
	for i, c := range g.calls {
		if g.signatures[i] == "" && c != nil {
			c.hedge(ctx, i, g.results, level)
		}
	}
}

// retryUrgency returns the urgency of another attempt after one failed.
func (g *gathering) retryUrgency() urgency {
	if g.possibleParts() < g.req.route.Gather.MinParts() {
		return urgencyHigh
	}
	return urgencyMedium
}
