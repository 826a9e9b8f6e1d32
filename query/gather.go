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
	// Shard is the shard's position in the plan.
	Shard int
	// Number is the attempt's position among those of the shard.
	Number int
	// Round is the round of the plan, 0 for the first.
	Round   int
	Owner   topology.VMName
	Version uint64
	Hedge   bool
	// Insist is set if every other owner has been tried.
	Insist bool
	// ExcludeTarget names a target that failed the shard, empty if there is none.
	ExcludeTarget string
}

// Result is what came of an attempt.
type Result struct {
	Attempt Attempt
	// Reply is nil if the call failed.
	Reply *pb.SubReply
	// MaybeSent is false if a failed call was certainly not handed over.
	MaybeSent bool
	// ContextEnded says that the call failed because the query's time ended.
	ContextEnded bool
}

// Actions are what a step of a gather asks for.
type Actions struct {
	Send []Attempt
	// Cancel lists attempts that are no longer of use.
	Cancel []Attempt
	// Late lists attempts that were found late.
	Late []Attempt
	// Replan says that the index version is gone and the query should be
	// planned anew.
	Replan bool
}

// Options are the terms of one query.
type Options struct {
	Policy      topology.Policy
	MinCoverage float64
	// AtMostOnce forbids hedges and any second start.
	AtMostOnce bool
	Start      time.Time
	Deadline   time.Time
	// Quantiles are the usual latencies of the query's groups.
	Quantiles Quantiles
	Budget    *Budget
	// Draw gives numbers uniform in [0, 1); nil always gives 0.
	Draw func() float64
}

func (o *Options) draw() float64 {
	if o.Draw == nil {
		return 0
	}
	return o.Draw()
}

// Gather is the state of one query's scatter and gather as a step function:
// results and the time go in, sub-requests to send and to cancel come out.
type Gather struct {
	opts  Options
	plan  Plan
	round int
	cells []cell
	open  int
	// arrivals are the times of the round's results, in order.
	arrivals []time.Time
	waits    []float64
	// service is the average service time that replies told of.
	service float64
	// Counts are what the log line tells.
	Counts Counts
}

// Counts are a query's routing decisions in numbers.
type Counts struct {
	Sent, Hedges, Retries, Replans int
	// Dropped counts late, repeated and foreign replies.
	Dropped int
	// Started counts the starts at targets that replies told of.
	Started int
	// MaybeStarted is true if a target may have started something.
	MaybeStarted bool
}

// cell is the state of one shard of the query.
type cell struct {
	attempts []attemptState
	tried    []int
	avoid    string
	insisted bool
	result   *pb.SubReply
	missing  api.MissingReason
	done     bool
}

type attemptState struct {
	attempt Attempt
	sentAt  time.Time
	running bool
}

// maxAttempts bounds the attempts of one shard in one round.
const maxAttempts = 4

// NewGather begins a query and returns the first sub-requests to send.
func NewGather(opts Options, plan Plan, now time.Time) (*Gather, Actions) {
	g := &Gather{opts: opts}
	return g, g.begin(plan, now)
}

func (g *Gather) begin(plan Plan, now time.Time) Actions {
	g.plan = plan
	g.cells = make([]cell, len(plan.Shards))
	g.open = 0
	g.arrivals = g.arrivals[:0]
	a := Actions{Send: make([]Attempt, 0, len(plan.Shards))}
	for i := range plan.Shards {
		c := &g.cells[i]
		if m := plan.Shards[i].Missing; m != "" {
			c.done, c.missing = true, m
			continue
		}
		g.open++
		if !g.sendTo(i, false, now, &a) {
			g.miss(c, api.MissingNoVersion)
		}
	}
	return a
}

// Replan starts the query anew with another plan, unless something may have
// run that must not run twice.
func (g *Gather) Replan(plan Plan, now time.Time) Actions {
	var cancel []Attempt
	for i := range g.cells {
		if g.cells[i].anyRunning() {
			g.Counts.MaybeStarted = true
		}
		cancel = append(cancel, g.cells[i].cancelAll(-1)...)
	}
	g.round++
	g.Counts.Replans++
	a := g.begin(plan, now)
	a.Cancel = cancel
	return a
}

// sendTo adds a sub-request of shard i to a, if there is an owner to ask.
func (g *Gather) sendTo(i int, hedge bool, now time.Time, a *Actions) bool {
	c, p := &g.cells[i], &g.plan.Shards[i]
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
		ExcludeTarget: c.avoid,
	}
	c.tried = append(c.tried, pos)
	c.attempts = append(c.attempts, attemptState{attempt: at, sentAt: now, running: true})
	g.Counts.Sent++
	a.Send = append(a.Send, at)
	return true
}

// Step takes in one result.
func (g *Gather) Step(r Result, now time.Time) Actions {
	var a Actions
	if r.Reply != nil {
		g.Counts.Started += int(r.Reply.GetStarted())
	}
	if r.startedPerhaps() {
		g.Counts.MaybeStarted = true
	}
	c := g.cellOf(r)
	if c == nil {
		if r.Reply != nil {
			g.Counts.Dropped++
		}
		return a
	}
	g.notePressure(r)
	c.attempts[r.Attempt.Number].running = false
	if r.Attempt.Hedge && !r.startedPerhaps() {
		g.opts.Budget.Refund()
	}
	if c.done {
		return a
	}
	switch {
	case r.Reply != nil && r.Reply.GetStatus() == pb.SubStatus_SUB_STATUS_OK:
		g.accept(c, r, now, &a)
	case r.Reply != nil && r.Reply.GetStatus() == pb.SubStatus_SUB_STATUS_VERSION_GONE:
		g.versionGone(c, r, now, &a)
	default:
		g.failed(c, r, now, &a)
	}
	return a
}

// cellOf returns the cell that r belongs to, or nil if r is late, repeated or
// foreign.
func (g *Gather) cellOf(r Result) *cell {
	at := r.Attempt
	if at.Round != g.round || at.Shard < 0 || at.Shard >= len(g.cells) {
		return nil
	}
	c := &g.cells[at.Shard]
	if at.Number < 0 || at.Number >= len(c.attempts) || !c.attempts[at.Number].running {
		return nil
	}
	return c
}

// startedPerhaps reports whether a target may have started the attempt.
func (r Result) startedPerhaps() bool {
	if r.Reply == nil {
		return r.MaybeSent
	}
	s := r.Reply.GetStatus()
	return s != pb.SubStatus_SUB_STATUS_NOT_STARTED && s != pb.SubStatus_SUB_STATUS_VERSION_GONE
}

func (g *Gather) accept(c *cell, r Result, now time.Time, a *Actions) {
	if r.Reply.GetIndexVersion() != g.plan.Version {
		g.Counts.Dropped++
		g.failed(c, r, now, a)
		return
	}
	c.result, c.done = r.Reply, true
	g.arrivals = append(g.arrivals, now)
	g.open--
	a.Cancel = append(a.Cancel, c.cancelAll(r.Attempt.Number)...)
}

// versionGone asks another owner of the shard, or for a new plan.
func (g *Gather) versionGone(c *cell, r Result, now time.Time, a *Actions) {
	p := &g.plan.Shards[r.Attempt.Shard]
	for i := range p.Candidates {
		if p.Candidates[i].Owner == r.Attempt.Owner {
			p.Candidates[i].State.Versions = r.Reply.GetVersions()
		}
	}
	if c.anyRunning() || g.sendTo(r.Attempt.Shard, false, now, a) {
		return
	}
	g.miss(c, api.MissingNoVersion)
	a.Replan = !g.opts.AtMostOnce || !g.Counts.MaybeStarted && g.nothingRuns()
}

func (g *Gather) nothingRuns() bool {
	for i := range g.cells {
		if g.cells[i].anyRunning() || g.cells[i].result != nil {
			return false
		}
	}
	return true
}

// failed retries a shard at another owner, where that is allowed and within
// the budget, or gives it up.
func (g *Gather) failed(c *cell, r Result, now time.Time, a *Actions) {
	if c.anyRunning() {
		return
	}
	if !r.ContextEnded && g.mayRetry(r) && g.again(c, r, now, a) {
		g.Counts.Retries++
		return
	}
	g.miss(c, reasonFor(r))
}

// again asks another owner, or the same one for another of its targets.
func (g *Gather) again(c *cell, r Result, now time.Time, a *Actions) bool {
	failed := r.Reply.GetTarget()
	if failed != "" {
		c.avoid = failed
	}
	if g.sendTo(r.Attempt.Shard, false, now, a) {
		return true
	}
	bounced := r.Reply.GetReason() == pb.SubReason_SUB_REASON_NO_TARGET
	if c.insisted || failed == "" && !bounced {
		return false
	}
	c.tried, c.insisted = c.tried[:0], true
	return g.sendTo(r.Attempt.Shard, false, now, a)
}

// mayRetry reports whether a failed attempt may be followed by another one.
// Only attempts that can add load draw on the budget.
func (g *Gather) mayRetry(r Result) bool {
	if r.startedPerhaps() {
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

func (g *Gather) miss(c *cell, reason api.MissingReason) {
	c.done, c.missing = true, reason
	g.open--
}

func (c *cell) anyRunning() bool {
	return slices.ContainsFunc(c.attempts, func(s attemptState) bool { return s.running })
}

// cancelAll marks all running attempts but one as given up and returns them.
func (c *cell) cancelAll(except int) []Attempt {
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

func reasonFor(r Result) api.MissingReason {
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
