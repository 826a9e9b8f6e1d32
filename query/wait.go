package query

import (
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// hedgeFactor is how late, against the usual 98th percentile, a shard must
	// be before it is hedged.
	hedgeFactor = 1.1
	// peerFactor is how late a shard must be against the query's median shard.
	peerFactor = 1.5
	// peerShare is the share of the query's shards that must have answered.
	peerShare = 0.5
	// mostShare and mostFactor decide while no usual latencies are known.
	mostShare  = 0.8
	mostFactor = 2.5
	// lateShare is the share of late shards above which lateness is no matter
	// of single targets.
	lateShare = 0.35
	// hedgeFloor bounds the lateness of a hedge from below.
	hedgeFloor = 2 * time.Millisecond
	// giveUpFactor is how late, against the usual 99th percentile, the rest
	// must be before a query of the latency policy goes without it.
	giveUpFactor = 4.0
	// minLookGap bounds the time between two looks from below.
	minLookGap = 5 * time.Millisecond
	// idleWait is the time to the next look when nothing else is due.
	idleWait = 250 * time.Millisecond
)

// Tick hedges late shards. It returns when to look again.
func (g *Gather) Tick(now time.Time) (Actions, time.Time) {
	var a Actions
	next := now.Add(idleWait)
	at := g.hedgeAt()
	if g.opts.AtMostOnce || at.IsZero() {
		return a, next
	}
	if now.Before(at) {
		return a, at
	}
	if float64(g.open) > max(1, lateShare*float64(len(g.cells))) {
		return a, now.Add(g.lookGap())
	}
	for i := range g.cells {
		g.hedge(i, now, &a)
	}
	return a, now.Add(g.lookGap())
}

// lookGap returns the time between two looks at late shards.
func (g *Gather) lookGap() time.Duration {
	return max(g.opts.Quantiles.P50/2, minLookGap)
}

// hedgeAt returns when shards that haven't answered are late, zero if unknown:
// past the usual 98th percentile, and late against the query's other shards.
func (g *Gather) hedgeAt() time.Time {
	start := g.sentAt()
	q := g.opts.Quantiles
	if q.P95 == 0 {
		return g.peersOnly(start)
	}
	after := max(time.Duration(hedgeFactor*float64(q.P98)), hedgeFloor)
	if m := g.arrival(peerShare, start); m > 0 {
		after = max(after, time.Duration(peerFactor*float64(min(m, q.P95))))
	}
	return start.Add(after)
}

// peersOnly returns when shards are late against the query's others alone.
func (g *Gather) peersOnly(start time.Time) time.Time {
	m := g.arrival(mostShare, start)
	if m == 0 {
		return time.Time{}
	}
	return start.Add(max(time.Duration(mostFactor*float64(m)), hedgeFloor))
}

// sentAt returns when the first sub-request of the round was sent.
func (g *Gather) sentAt() time.Time {
	for i := range g.cells {
		if len(g.cells[i].attempts) > 0 {
			return g.cells[i].attempts[0].sentAt
		}
	}
	return g.opts.Start
}

// arrival returns how long the given share of the query's shards took to
// answer, 0 if fewer have answered.
func (g *Gather) arrival(share float64, start time.Time) time.Duration {
	need := int(share * float64(len(g.cells)))
	if need == 0 || len(g.arrivals) < need {
		return 0
	}
	return g.arrivals[need-1].Sub(start)
}

// hedge sends a second attempt of a late shard to another owner or target,
// within the budget.
func (g *Gather) hedge(i int, now time.Time, a *Actions) {
	c := &g.cells[i]
	if c.done || len(c.attempts) != 1 || !c.attempts[0].running {
		return
	}
	a.Late = append(a.Late, c.attempts[0].attempt)
	if len(g.plan.Shards[i].Candidates) == 0 || !g.opts.Budget.Spend() {
		return
	}
	if g.sendTo(i, true, now, a) {
		g.Counts.Hedges++
		return
	}
	// No other owner: ask the same one for another of its targets.
	c.tried = c.tried[:0]
	if g.sendTo(i, true, now, a) {
		g.Counts.Hedges++
	}
}

// Done reports whether the query should be answered now.
func (g *Gather) Done(now time.Time) bool {
	if g.open == 0 || !now.Before(g.opts.Deadline) {
		return true
	}
	return g.enough() && !now.Before(g.giveUpAt())
}

// enough reports whether the latency policy allows an early answer.
func (g *Gather) enough() bool {
	if g.opts.Policy != topology.PolicyLatency || g.opts.AtMostOnce || g.opts.Quantiles.P99 == 0 {
		return false
	}
	covered, asked := g.Coverage()
	return float64(covered) >= g.opts.MinCoverage*float64(asked) && covered > 0
}

func (g *Gather) giveUpAt() time.Time {
	return g.sentAt().Add(time.Duration(giveUpFactor * float64(g.opts.Quantiles.P99)))
}

// NextWake returns when Tick or Done must be asked again at the latest.
func (g *Gather) NextWake(tick time.Time) time.Time {
	next := g.opts.Deadline
	if tick.Before(next) {
		next = tick
	}
	if g.enough() {
		if at := g.giveUpAt(); at.Before(next) {
			next = at
		}
	}
	return next
}

// Coverage returns how many shards are covered and how many were asked for.
func (g *Gather) Coverage() (covered, asked int) {
	for i := range g.cells {
		if g.cells[i].result != nil {
			covered++
		}
	}
	return covered, len(g.cells)
}

// Version returns the index version of the round.
func (g *Gather) Version() uint64 { return g.plan.Version }

// Finish gives up what still runs and returns the answer, without a request
// id, and the attempts to cancel.
func (g *Gather) Finish() (*api.Answer, []Attempt) {
	covered, asked := g.Coverage()
	answer := &api.Answer{
		Snapshot: g.plan.Version,
		Complete: covered == asked,
		Covered:  covered,
		Asked:    asked,
		Results:  make([]api.ShardResult, 0, covered),
		Missing:  make([]api.MissingShard, 0, asked-covered),
	}
	var cancel []Attempt
	for i := range g.cells {
		c, shard := &g.cells[i], g.plan.Shards[i].Route.Shard
		if c.result != nil {
			answer.Results = append(answer.Results, api.ShardResult{Shard: shard, Body: c.result.GetBody()})
			continue
		}
		reason := c.missing
		if reason == "" {
			reason = api.MissingLate
		}
		answer.Missing = append(answer.Missing, api.MissingShard{Shard: shard, Reason: reason})
		if c.anyRunning() {
			g.Counts.MaybeStarted = true
		}
		cancel = append(cancel, c.cancelAll(-1)...)
	}
	return answer, cancel
}
