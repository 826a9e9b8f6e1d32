package query

import (
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// Attempt is one sub-request of a query.
type Attempt struct {
	// Shard is the index of the shard in the plan.
	Shard int
	// Number is the index of the attempt among those of the shard in this round.
	Number int
	// Round is the number of times the query was replanned before the attempt.
	Round   int
	Owner   topology.VMName
	Version uint64
	Hedge   bool
	// Insist forbids the owner to redirect the attempt to another owner. It is
	// set once every owner has been tried.
	Insist bool
	// ExcludeTarget is a target that has failed the shard, empty if there is
	// none.
	ExcludeTarget string
}

// Result is the outcome of an attempt.
type Result struct {
	Attempt Attempt
	// Reply is nil if the call failed.
	Reply *pb.SubReply
	// MaybeSent is false if a failed call certainly didn't send the sub-request.
	MaybeSent bool
	// ContextEnded is set if the call failed because the query's deadline passed
	// or the query was cancelled.
	ContextEnded bool
}

// Actions are the actions that the caller of a Gather must take after a step.
type Actions struct {
	Send []Attempt
	// Cancel lists attempts whose results are no longer needed.
	Cancel []Attempt
	// Late lists attempts that were found to be late.
	Late []Attempt
	// Replan is set if the index version is gone and the caller should call
	// Gather.Replan with another plan.
	Replan bool
}

// Options are the parameters of one query.
type Options struct {
	Policy      topology.Policy
	MinCoverage float64
	// AtMostOnce forbids hedges, and retries of attempts that a target may have
	// started.
	AtMostOnce bool
	Start      time.Time
	Deadline   time.Time
	// Quantiles are the recent latencies of the query's groups.
	Quantiles Quantiles
	Budget    *Budget
	// Draw returns random numbers uniform in [0, 1). If it is nil, 0 is used.
	Draw func() float64
}

func (o *Options) draw() float64 {
	if o.Draw == nil {
		return 0
	}
	return o.Draw()
}

// Gather is the scatter-gather state of one query, as a state machine: it is
// given results and the time, and returns sub-requests to send and to cancel.
// It isn't safe for concurrent use.
type Gather struct {
	opts       Options
	plan       Plan
	round      int
	shards     []shardState
	openShards int
	// arrivals are the times of this round's successful results, in order.
	arrivals []time.Time
	// pressures are the values recorded by recordPressure.
	pressures []float64
	// avgService is the moving average of the service times in replies, in
	// nanoseconds.
	avgService float64
	// Counts holds the routing decisions so far.
	Counts Counts
}

// Counts holds the numbers of a query's routing decisions.
type Counts struct {
	Sent, Hedges, Retries, Replans int
	// Dropped counts late, repeated and mismatched replies.
	Dropped int
	// Started counts the starts at targets that replies reported.
	Started int
	// MaybeStarted is set if a target may have started a sub-request.
	MaybeStarted bool
}

// shardState is the state of one shard of the query.
type shardState struct {
	attempts []attemptState
	// tried lists the indexes of the candidates that have been used, and
	// excludeTarget is the last target that has failed. insisted is set once all
	// candidates are tried for a second time.
	tried         []int
	excludeTarget string
	insisted      bool
	// result is the accepted reply, nil if there is none.
	result  *pb.SubReply
	missing api.MissingReason
	done    bool
}

// attemptState is an attempt with its send time. running is false once its
// result is in or no longer needed.
type attemptState struct {
	attempt Attempt
	sentAt  time.Time
	running bool
}

// maxAttempts is the maximum number of attempts per shard and round.
const maxAttempts = 4

// NewGather starts a query and returns the first sub-requests to send.
func NewGather(opts Options, plan Plan, now time.Time) (*Gather, Actions) {
	g := &Gather{opts: opts}
	return g, g.startRound(plan, now)
}

// startRound starts a round with the given plan.
func (g *Gather) startRound(plan Plan, now time.Time) Actions {
	g.plan = plan
	g.shards = make([]shardState, len(plan.Shards))
	g.openShards = 0
	g.arrivals = g.arrivals[:0]
	a := Actions{Send: make([]Attempt, 0, len(plan.Shards))}
	for i := range plan.Shards {
		c := &g.shards[i]
		if m := plan.Shards[i].Missing; m != "" {
			c.done, c.missing = true, m
			continue
		}
		g.openShards++
		if !g.sendTo(i, false, now, &a) {
			g.markMissing(c, api.MissingNoVersion)
		}
	}
	return a
}

// Replan starts a new round with another plan and cancels the attempts of the
// last one. The caller calls it only after Actions.Replan, which isn't set if
// the query must run at most once and a target may have started it.
func (g *Gather) Replan(plan Plan, now time.Time) Actions {
	var cancel []Attempt
	for i := range g.shards {
		if g.shards[i].anyRunning() {
			g.Counts.MaybeStarted = true
		}
		cancel = append(cancel, g.shards[i].cancelAll(-1)...)
	}
	g.round++
	g.Counts.Replans++
	a := g.startRound(plan, now)
	a.Cancel = cancel
	return a
}

// sendTo adds a sub-request of shard i to a. It returns false if no owner is
// left or maxAttempts is reached.
func (g *Gather) sendTo(i int, hedge bool, now time.Time, a *Actions) bool {
	c, p := &g.shards[i], &g.plan.Shards[i]
	if len(c.attempts) >= maxAttempts {
		return false
	}
	tried := c.tried
	pos := ChooseOwner(p.Candidates, g.plan.Version, tried, g.opts.draw(), now)
	if pos < 0 {
		return false
	}
	at := Attempt{
		Shard:         i,
		Number:        len(c.attempts),
		Round:         g.round,
		Owner:         p.Candidates[pos].Owner,
		Version:       g.plan.Version,
		Hedge:         hedge,
		Insist:        c.insisted,
		ExcludeTarget: c.excludeTarget,
	}
	c.tried = append(c.tried, pos)
	c.attempts = append(c.attempts, attemptState{attempt: at, sentAt: now, running: true})
	g.Counts.Sent++
	a.Send = append(a.Send, at)
	return true
}

// Step processes one result.
func (g *Gather) Step(r Result, now time.Time) Actions {
	var a Actions
	if r.Reply != nil {
		g.Counts.Started += int(r.Reply.GetStarted())
	}
	if r.maybeStarted() {
		g.Counts.MaybeStarted = true
	}
	c := g.shardOf(r)
	if c == nil {
		if r.Reply != nil {
			g.Counts.Dropped++
		}
		return a
	}
	g.recordPressure(r)
	c.attempts[r.Attempt.Number].running = false
	if r.Attempt.Hedge && !r.maybeStarted() {
		g.opts.Budget.Refund()
	}
	if c.done {
		return a
	}
	switch {
	case r.Reply != nil && r.Reply.GetStatus() == pb.SubStatus_SUB_STATUS_OK:
		g.handleSuccess(c, r, now, &a)
	case r.Reply != nil && r.Reply.GetStatus() == pb.SubStatus_SUB_STATUS_VERSION_GONE:
		g.handleVersionGone(c, r, now, &a)
	default:
		g.handleFailure(c, r, now, &a)
	}
	return a
}

// shardOf returns the state of the shard that r belongs to, or nil if r is
// late, repeated or mismatched.
func (g *Gather) shardOf(r Result) *shardState {
	at := r.Attempt
	if at.Round != g.round || at.Shard < 0 || at.Shard >= len(g.shards) {
		return nil
	}
	c := &g.shards[at.Shard]
	if at.Number < 0 || at.Number >= len(c.attempts) || !c.attempts[at.Number].running {
		return nil
	}
	return c
}

// maybeStarted reports whether a target may have started the attempt.
func (r Result) maybeStarted() bool {
	if r.Reply == nil {
		return r.MaybeSent
	}
	s := r.Reply.GetStatus()
	return s != pb.SubStatus_SUB_STATUS_NOT_STARTED && s != pb.SubStatus_SUB_STATUS_VERSION_GONE
}

// handleSuccess accepts an answer. One from another index version is dropped
// and counts as a failure.
func (g *Gather) handleSuccess(c *shardState, r Result, now time.Time, a *Actions) {
	if r.Reply.GetIndexVersion() != g.plan.Version {
		g.Counts.Dropped++
		g.handleFailure(c, r, now, a)
		return
	}
	c.result, c.done = r.Reply, true
	g.arrivals = append(g.arrivals, now)
	g.openShards--
	a.Cancel = append(a.Cancel, c.cancelAll(r.Attempt.Number)...)
}

// handleVersionGone tries another owner of the shard, or requests a new plan if
// there is none.
func (g *Gather) handleVersionGone(c *shardState, r Result, now time.Time, a *Actions) {
	p := &g.plan.Shards[r.Attempt.Shard]
	for i := range p.Candidates {
		if p.Candidates[i].Owner == r.Attempt.Owner {
			p.Candidates[i].State.Versions = r.Reply.GetVersions()
		}
	}
	if c.anyRunning() || g.sendTo(r.Attempt.Shard, false, now, a) {
		return
	}
	g.markMissing(c, api.MissingNoVersion)
	a.Replan = !g.opts.AtMostOnce || !g.Counts.MaybeStarted && g.noneRunningOrAnswered()
}

// noneRunningOrAnswered reports whether no shard has a running attempt or a
// result.
func (g *Gather) noneRunningOrAnswered() bool {
	for i := range g.shards {
		if g.shards[i].anyRunning() || g.shards[i].result != nil {
			return false
		}
	}
	return true
}

// handleFailure retries a shard if that is allowed and within the budget, and
// otherwise marks it as missing.
func (g *Gather) handleFailure(c *shardState, r Result, now time.Time, a *Actions) {
	if c.anyRunning() {
		return
	}
	if !r.ContextEnded && g.mayRetry(r) && g.retry(c, r, now, a) {
		g.Counts.Retries++
		return
	}
	g.markMissing(c, missingReason(r))
}

// retry tries another owner. If all have been tried, it tries them once more
// with Insist set, provided that a target failed or the owner redirected.
func (g *Gather) retry(c *shardState, r Result, now time.Time, a *Actions) bool {
	failed := r.Reply.GetTarget()
	if failed != "" {
		c.excludeTarget = failed
	}
	if g.sendTo(r.Attempt.Shard, false, now, a) {
		return true
	}
	noTarget := r.Reply.GetReason() == pb.SubReason_SUB_REASON_NO_TARGET
	if c.insisted || failed == "" && !noTarget {
		return false
	}
	c.tried, c.insisted = c.tried[:0], true
	return g.sendTo(r.Attempt.Shard, false, now, a)
}

// mayRetry reports whether a failed attempt may be followed by another one.
// Only retries that can add load to targets spend from the budget.
func (g *Gather) mayRetry(r Result) bool {
	if r.maybeStarted() {
		return !g.opts.AtMostOnce && g.opts.Budget.Spend()
	}
	if r.Reply == nil {
		return true
	}
	switch r.Reply.GetReason() {
	case pb.SubReason_SUB_REASON_NO_TARGET, pb.SubReason_SUB_REASON_NO_LEASE, pb.SubReason_SUB_REASON_DRAINING:
		return true
	case pb.SubReason_SUB_REASON_DEADLINE, pb.SubReason_SUB_REASON_CANCELLED:
		return false
	default:
		return g.opts.Budget.Spend()
	}
}

// markMissing completes a shard without a result.
func (g *Gather) markMissing(c *shardState, reason api.MissingReason) {
	c.done, c.missing = true, reason
	g.openShards--
}

func (c *shardState) anyRunning() bool {
	return slices.ContainsFunc(c.attempts, func(s attemptState) bool { return s.running })
}

// cancelAll marks all running attempts, apart from the one numbered except, as
// no longer running and returns them.
func (c *shardState) cancelAll(except int) []Attempt {
	var out []Attempt
	for i := range c.attempts {
		s := &c.attempts[i]
		if i != except && s.running {
			s.running = false
			out = append(out, s.attempt)
		}
	}
	return out
}
