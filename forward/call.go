package forward

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/rollout"
	"github.com/peridotmux/peridotmux/route"
)

const (
	// maxRejections bounds the attempts of one request that targets don't run.
	maxRejections = 3
	// maxLostTargets is the number of targets lost under a request from which on it isn't
	// retried.
	maxLostTargets = 2
	// hedgeShare is the fraction of the objective after which an idempotent request
	// is hedged at the latest.
	hedgeShare = 0.35
	// minHedgeDelay is the minimum delay before a hedge.
	minHedgeDelay = 3 * time.Millisecond
)

// result is the outcome of one attempt at one target.
type result struct {
	shard     int
	backend   *backend
	outcome   Outcome
	hedge     bool
	kind      attemptKind
	canary    bool
	endedAt   time.Time
	sendState *sendState
	// silent means that the attempt is still in flight and its target's host hasn't
	// acknowledged it. The other fields but shard and backend are empty then.
	silent bool
}

// call is one request to one service, with its attempts. Its methods are called by
// the goroutine that handles the request, except recordEnd.
type call struct {
	server  *Server
	req     *request
	service route.ServiceName
	median  time.Duration
	// attempts is the number of targets that may run the request.
	attempts int
	// repeat means that another router may have sent the request to the service, so
	// that each arrival is an extra one.
	repeat bool
	// tried are the targets that the request was sent to or may still be.
	tried []*backend
	// sendStates holds the state of each attempt.
	sendStates []*sendState
	// inFlight is the number of attempts in flight. rejections is the number of
	// attempts that ended and certainly didn't run.
	inFlight, rejections int
	// targetRejections is the number of attempts that a target received but didn't
	// run.
	targetRejections int
	hedged           bool
	// lost is the number of targets that were lost while they may have run the request.
	lost int
	// silent is the number of attempts that the target's host didn't acknowledge.
	silent int
	// budgetDenied means that the budget had no room for another attempt.
	budgetDenied bool
	// objective is when the response should be there, zero if requests don't wait for
	// busy targets. waiting means that one does, and rejectedBy are the targets that
	// had too much to do for it.
	objective  time.Time
	waiting    bool
	rejectedBy []*backend
	// garbledBy are the targets whose connection carried something else than the
	// response. The request may go there again over another connection, unless an
	// attempt in flight may still be answered or, if withdrawn, make way for another.
	garbledBy []*backend
	// heldBack means that a retry waits until more attempts are allowed.
	heldBack bool
	// afterLoss means that a retry waits until a target has answered another shard, since
	// the first one was lost. canary means that the next attempt tells whether the request
	// crashes targets.
	afterLoss, canary bool
}

// resultsPerCall returns how many results a call may deliver that nobody receives any
// more: for each attempt that its target is silent, and how it ended.
func resultsPerCall(r *route.Route) int { return 2 * (r.Attempts + maxRejections + 1) }

// pending reports whether the call may still get an answer.
func (c *call) pending() bool { return c.inFlight > 0 || c.waiting || c.heldBack || c.afterLoss }

// sendState tracks whether an attempt was sent, so that it can be withdrawn before
// that. It is safe for concurrent use.
type sendState struct{ state atomic.Uint32 }

// The values of a sendState.
const (
	sendPending uint32 = iota
	sendDone
	sendWithdrawn
	sendFailed
)

// markSent reports whether the attempt may be sent. If so, it can no longer be
// withdrawn.
func (s *sendState) markSent() bool { return s.state.CompareAndSwap(sendPending, sendDone) }

// withdraw withdraws the attempt unless it was sent.
func (s *sendState) withdraw() { s.state.CompareAndSwap(sendPending, sendWithdrawn) }

// markFailed records that there was no connection to send the attempt over.
func (s *sendState) markFailed() { s.state.CompareAndSwap(sendPending, sendFailed) }

func (s *sendState) withdrawn() bool { return s.state.Load() == sendWithdrawn }

// sent reports whether the attempt was sent.
func (s *sendState) sent() bool { return s.state.Load() == sendDone }

// neverSent reports whether the attempt will never reach its target.
func (s *sendState) neverSent() bool { return s.state.Load() >= sendWithdrawn }

// arrivals returns the number of attempts that reached a target or still may.
func (c *call) arrivals() int {
	n := 0
	for _, s := range c.sendStates {
		if !s.neverSent() {
			n++
		}
	}
	return n
}

// possibleRuns returns the number of attempts that ran or still may. Only a target's
// word that it didn't run one takes it off: bytes that a host didn't acknowledge may
// have arrived.
func (c *call) possibleRuns() int { return c.arrivals() - c.targetRejections }

// withdrawPending withdraws the attempts that still wait for a connection.
func (c *call) withdrawPending() {
	for _, s := range c.sendStates {
		s.withdraw()
	}
}

// hedge sends the request to another target because the first one is slow. An
// attempt that still waits for its connection is withdrawn, so that the new attempt
// is the request's first arrival and needs no budget.
func (c *call) hedge(ctx context.Context, shard int, results chan<- *result, level urgency) {
	if c.req.canary {
		return
	}
	if !c.server.fleet.hasAlternative(c.service, c.tried, time.Now()) {
		c.req.trace.add(decision{msg: msgNoTarget, at: time.Now(), service: c.service})
		return
	}
	c.withdrawPending()
	extra := c.arrivals() > 0
	if extra && (c.hedged || c.req.route.Kind != route.Idempotent || c.possibleRuns() >= c.attempts) {
		return
	}
	if len(c.tried) > c.attempts+maxRejections {
		return
	}
	started := c.start(ctx, shard, results, level, true)
	c.hedged = c.hedged || extra && started
}

// start sends the request to another target. It returns false if there is none, if
// the budget denies another arrival, or if a request that isn't idempotent may have run.
func (c *call) start(ctx context.Context, shard int, results chan<- *result, level urgency, hedge bool) bool {
	if c.req.route.Kind != route.Idempotent && c.possibleRuns() > 0 {
		return false
	}
	now := time.Now()
	sent := c.arrivals() > 0
	// A repeat after a lost helper is allowed at a scarce service: the helper may have
	// sent nothing, and the query fails without the shard. It counts against the budget.
	if c.tooLate(now) || sent && !c.server.hasCapacity(c.service, now) {
		c.waiting = false
		c.req.trace.add(decision{msg: msgNoCapacity, at: now, service: c.service})
		return false
	}
	crit := &criteria{
		service: c.service, route: c.req.route.Name, median: c.median, tried: c.tried, nonIdempotent: c.req.route.Kind != route.Idempotent,
		objective: c.objective, hedge: hedge, admitted: c.req.route.Gather != nil,
	}
	sel := c.server.fleet.choose(crit, now)
	if sel == nil && c.inFlight == 0 && len(c.garbledBy) > 0 {
		crit.tried = c.allowAgain()
		sel = c.server.fleet.choose(crit, now)
	}
	if sel == nil {
		waited := c.waiting
		c.waiting = c.mayWait(crit, now)
		if !waited || !c.waiting {
			c.req.trace.add(decision{msg: msgNoTarget, at: now, service: c.service, waiting: c.waiting})
		}
		return false
	}
	c.waiting = false
	if (sent || c.repeat) && !c.server.budget.tryAcquire(c.service, c.server.fleet.budgetShare(c.service, now), level, now) {
		c.server.fleet.release(sel)
		c.budgetDenied = true
		c.req.trace.add(decision{msg: msgExtraDenied, at: now, service: c.service})
		return false
	}
	c.run(ctx, shard, results, sel, hedge, now)
	return true
}

// run starts the attempt at a target that was chosen.
func (c *call) run(ctx context.Context, shard int, results chan<- *result, sel *selection, hedge bool, now time.Time) {
	id := string(sel.backend.id)
	c.req.trace.add(decision{msg: msgTargetChosen, at: now, service: c.service, target: id, hedge: hedge, candidate: &sel.candidate, cost: sel.cost})
	c.tried = append(c.tried, sel.backend)
	c.inFlight++
	s := &sendState{}
	kind, canary := kindOf(len(c.sendStates), hedge), c.canary || c.req.canary
	c.sendStates = append(c.sendStates, s)
	a := &attempt{
		headers: &c.server.cfg.Headers, pool: sel.backend.pool, targetID: id,
		request: c.req, deadline: c.req.deadline, sendState: s, memory: c.server.responseMemory,
		unacked:      c.server.unacked,
		mayStillSend: func() bool { return c.server.maySend(sel.backend, time.Now()) },
		onBadBackOff: c.server.cfg.Metrics.BadBackOff,
		onBadLimit:   c.server.cfg.Metrics.BadLimit,
		onSilent:     func() { c.reportSilence(shard, sel.backend, now, results) },
	}
	c.server.workers.run(func() {
		r := &result{shard: shard, backend: sel.backend, hedge: hedge, kind: kind, canary: canary, sendState: s, outcome: a.run(ctx)}
		r.endedAt = time.Now()
		c.recordEnd(sel, r)
		results <- r
	})
}

// allowAgain takes the targets whose connection was garbled off those tried, and returns
// the others.
func (c *call) allowAgain() []*backend {
	c.tried = slices.DeleteFunc(c.tried, func(b *backend) bool { return slices.Contains(c.garbledBy, b) })
	c.garbledBy = nil
	return c.tried
}

// reportSilence tells the fleet and the call that the host of an attempt's target
// doesn't acknowledge it. since is when the attempt started.
func (c *call) reportSilence(shard int, b *backend, since time.Time, results chan<- *result) {
	if !c.server.fleet.markSilent(b, since) {
		return
	}
	c.req.trace.add(decision{msg: msgTargetSilent, at: time.Now(), service: c.service, target: string(b.id)})
	select {
	case results <- &result{shard: shard, backend: b, silent: true}:
	default:
		// The hedge comes by its timer.
	}
}

// hedgeSilent hedges the request because the host of its target is silent.
func (c *call) hedgeSilent(ctx context.Context, shard int, results chan<- *result, level urgency) {
	c.silent++
	c.hedge(ctx, shard, results, level)
}

// recordEnd records the outcome of an attempt.
func (c *call) recordEnd(sel *selection, r *result) {
	out := &r.outcome
	if out.targetLost() {
		c.req.lost.add(r.kind)
		c.server.cfg.Metrics.TargetLost(string(c.service), string(r.kind))
	}
	c.server.recordForGuard(c.req, sel, r)
	c.server.logNotices(sel.backend, out, c.server.fleet.finish(sel, out, r.endedAt))
	if sel.limited && r.sendState.sent() {
		c.server.cfg.Metrics.SentToLimited(string(c.service))
	}
	c.server.countFigure(sel.backend, &out.Load)
	c.server.observe(c, sel, out)
	c.req.trace.add(decision{msg: msgAttemptEnded, at: r.endedAt, service: c.service, target: string(sel.backend.id), hedge: r.hedge, outcome: out})
	c.server.cfg.Metrics.Attempt(string(c.service), out.Verdict.String(), out.ServiceTime)
	if out.Success() {
		c.server.serviceTimes.add(c.req.route.Name, out.ServiceTime)
	}
}

// mayWait reports whether the request may wait for a target: nothing of it is in
// flight or has run, but at silent hosts, and a target is only too busy. Targets that
// rejected it are asked again then.
func (c *call) mayWait(crit *criteria, now time.Time) bool {
	if c.objective.IsZero() || c.inFlight > c.silent || c.rejections > maxRejections {
		return false
	}
	if c.possibleRuns() > c.silent || c.possibleRuns() >= c.attempts {
		return false
	}
	c.tried = slices.DeleteFunc(c.tried, func(b *backend) bool { return slices.Contains(c.rejectedBy, b) })
	crit.tried, c.rejectedBy = c.tried, nil
	return c.server.fleet.hasBusy(crit, now)
}

// release removes a selection whose attempt wasn't sent.
func (f *fleet) release(sel *selection) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(sel.backend.inFlight, sel)
	f.rollouts.add(sel.rollout, rollout.Counts{Sent: -1})
}

// countResult counts a result and reports whether the request may be retried at
// another target.
func (c *call) countResult(r *result) bool {
	c.inFlight--
	if r.outcome.Withdrawn || r.outcome.PoolFull {
		// The target got nothing, and there is a connection to it by now or soon.
		c.tried = slices.DeleteFunc(c.tried, func(b *backend) bool { return b == r.backend })
	}
	if r.outcome.PoolFull {
		return true
	}
	if r.outcome.Garbled {
		c.garbledBy = append(c.garbledBy, r.backend)
	}
	if r.outcome.Verdict == NotRun {
		c.rejections++
		if !r.sendState.neverSent() {
			c.targetRejections++
			c.rejectedBy = append(c.rejectedBy, r.backend)
		}
	}
	if r.sendState.withdrawn() && c.inFlight > 0 {
		return false
	}
	if r.outcome.targetLost() {
		c.lost++
	}
	retry := r.outcome.Verdict == NotRun || c.req.route.Kind == route.Idempotent && c.lost < maxLostTargets
	return retry && c.possibleRuns() < c.attempts && c.rejections <= maxRejections
}

// hedgeDelay returns how long the first attempt may be in flight before a hedge.
// late is the service time above which an attempt counts as late.
func hedgeDelay(r *route.Route, late time.Duration) time.Duration {
	latest := time.Duration(hedgeShare * float64(r.Objective))
	return max(min(late, latest), minHedgeDelay)
}
