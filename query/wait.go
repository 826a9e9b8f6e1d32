package query

import (
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// hedgeFactor is the ratio to the recent 98th percentile latency above which
	// a shard is late and hedged.
	hedgeFactor = 1.1
	// peerFactor is the ratio to the latency of the query's median shard above
	// which a shard may be late.
	peerFactor = 1.5
	// peerShare is the share of the query's shards that must have answered for
	// peerFactor to be used.
	peerShare = 0.5
	// peersOnlyShare and peersOnlyFactor replace peerShare and peerFactor while
	// there are no quantiles.
	peersOnlyShare  = 0.8
	peersOnlyFactor = 2.5
	// maxLateShare is the share of unanswered shards above which nothing is
	// hedged, because the cause isn't a few slow targets.
	maxLateShare = 0.35
	// minHedgeDelay is the minimum time before a hedge.
	minHedgeDelay = 2 * time.Millisecond
	// earlyAnswerFactor is the ratio to the recent 99th percentile latency after
	// which a query with the latency policy is answered without the remaining
	// shards.
	earlyAnswerFactor = 4.0
	// minCheckInterval is the minimum time between two checks for late shards.
	minCheckInterval = 5 * time.Millisecond
	// idleCheckInterval is the time to the next check when nothing else is due.
	idleCheckInterval = 250 * time.Millisecond
)

// Tick hedges late shards and returns when to call it again.
func (g *Gather) Tick(now time.Time) (Actions, time.Time) {
	var a Actions
	next := now.Add(idleCheckInterval)
	at := g.hedgeAt()
	if g.opts.AtMostOnce || at.IsZero() {
		return a, next
	}
	if now.Before(at) {
		return a, at
	}
	if float64(g.openShards) > max(1, maxLateShare*float64(len(g.shards))) {
		return a, now.Add(g.checkInterval())
	}
	for i := range g.shards {
		g.hedge(i, now, &a)
	}
	return a, now.Add(g.checkInterval())
}

// checkInterval returns the time between two checks for late shards.
func (g *Gather) checkInterval() time.Duration {
	return max(g.opts.Quantiles.P50/2, minCheckInterval)
}

// hedgeAt returns when unanswered shards become late, or the zero time if that
// is unknown: after the recent 98th percentile latency, and later than the
// query's other shards.
func (g *Gather) hedgeAt() time.Time {
	start := g.roundStart()
	q := g.opts.Quantiles
	if q.P95 == 0 {
		return g.hedgeAtByPeers(start)
	}
	after := max(time.Duration(hedgeFactor*float64(q.P98)), minHedgeDelay)
	if m := g.answerTime(peerShare, start); m > 0 {
		after = max(after, time.Duration(peerFactor*float64(min(m, q.P95))))
	}
	return start.Add(after)
}

// hedgeAtByPeers returns when unanswered shards become late compared only with
// the query's other shards.
func (g *Gather) hedgeAtByPeers(start time.Time) time.Time {
	m := g.answerTime(peersOnlyShare, start)
	if m == 0 {
		return time.Time{}
	}
	return start.Add(max(time.Duration(peersOnlyFactor*float64(m)), minHedgeDelay))
}

// roundStart returns when the first sub-request of the round was sent.
func (g *Gather) roundStart() time.Time {
	for i := range g.shards {
		if len(g.shards[i].attempts) > 0 {
			return g.shards[i].attempts[0].sentAt
		}
	}
	return g.opts.Start
}

// answerTime returns the time until the given share of the query's shards had
// answered, 0 if fewer have answered.
func (g *Gather) answerTime(share float64, start time.Time) time.Duration {
	need := int(share * float64(len(g.shards)))
	if need == 0 || len(g.arrivals) < need {
		return 0
	}
	return g.arrivals[need-1].Sub(start)
}

// hedge sends a second attempt of a late shard to another owner, or to another
// target of the same owner, within the budget.
func (g *Gather) hedge(i int, now time.Time, a *Actions) {
	c := &g.shards[i]
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
	// There is no other owner. A hedge at the same one runs at another target.
	c.tried = c.tried[:0]
	if g.sendTo(i, true, now, a) {
		g.Counts.Hedges++
	}
}

// Done reports whether the query should be answered now.
func (g *Gather) Done(now time.Time) bool {
	if g.openShards == 0 || !now.Before(g.opts.Deadline) {
		return true
	}
	return g.mayAnswerEarly() && !now.Before(g.earlyAnswerAt())
}

// mayAnswerEarly reports whether the latency policy and the coverage reached
// allow an answer before the deadline.
func (g *Gather) mayAnswerEarly() bool {
	if g.opts.Policy != topology.PolicyLatency || g.opts.AtMostOnce || g.opts.Quantiles.P99 == 0 {
		return false
	}
	covered, asked := g.Coverage()
	return float64(covered) >= g.opts.MinCoverage*float64(asked) && covered > 0
}

// earlyAnswerAt returns when a query that may be answered early is answered.
func (g *Gather) earlyAnswerAt() time.Time {
	return g.roundStart().Add(time.Duration(earlyAnswerFactor * float64(g.opts.Quantiles.P99)))
}

// NextWake returns when Tick and Done must be called again at the latest. tick
// is the time that Tick returned.
func (g *Gather) NextWake(tick time.Time) time.Time {
	next := g.opts.Deadline
	if tick.Before(next) {
		next = tick
	}
	if g.mayAnswerEarly() {
		if at := g.earlyAnswerAt(); at.Before(next) {
			next = at
		}
	}
	return next
}

// Coverage returns the number of shards with a result and of all shards of the
// query.
func (g *Gather) Coverage() (covered, asked int) {
	for i := range g.shards {
		if g.shards[i].result != nil {
			covered++
		}
	}
	return covered, len(g.shards)
}

// Version returns the index version of the current round.
func (g *Gather) Version() uint64 { return g.plan.Version }

// Finish ends the query. It returns the answer, without a request ID, and the
// attempts to cancel. Unanswered shards are missing as late.
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
	for i := range g.shards {
		c, shard := &g.shards[i], g.plan.Shards[i].Route.Shard
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

// missingReason returns why the shard of a failed attempt is missing from the
// answer.
func missingReason(r Result) api.MissingReason {
	if r.ContextEnded {
		return api.MissingLate
	}
	if r.Reply == nil {
		return api.MissingOwnerLost
	}
	switch r.Reply.GetReason() {
	case pb.SubReason_SUB_REASON_NO_TARGET, pb.SubReason_SUB_REASON_DRAINING:
		return api.MissingNoReplica
	case pb.SubReason_SUB_REASON_QUEUE_FULL, pb.SubReason_SUB_REASON_SHED:
		return api.MissingOverloaded
	case pb.SubReason_SUB_REASON_DEADLINE, pb.SubReason_SUB_REASON_CANCELLED:
		return api.MissingLate
	case pb.SubReason_SUB_REASON_NO_LEASE:
		return api.MissingOwnerLost
	case pb.SubReason_SUB_REASON_BAD_ANSWER:
		return api.MissingBadAnswer
	default:
		return api.MissingTargetError
	}
}
