package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/route"
)

const (
	// lastHedgeFactor is the number of late service times before the objective at
	// which shards are hedged that the budget didn't allow to be hedged earlier.
	lastHedgeFactor = 1
	// lingerTime is how long attempts still in flight continue after the response
	// is written, so that their connections can be reused.
	lingerTime = 200 * time.Millisecond
	// busyWait is the time between two tries to send a shard whose targets all have a
	// long queue or no connection free.
	busyWait = 12 * time.Millisecond
)

// gathering is one request to all shards of a route.
type gathering struct {
	server *Server
	req    *request
	// calls, handedOver and signatures are indexed by shard. A shard has either a call
	// or a cell's hand-over to another router. A signature is empty until the part is
	// received.
	calls      []*call
	handedOver []*handOver
	signatures []string
	handOvers  []*handOver
	// leaveOut are the shards that aren't asked since they are scarce.
	leaveOut []int
	// bodies are the records of the parts received, and fresh the shards of those that
	// weren't passed to the entry yet.
	bodies [][]byte
	fresh  []int
	// received is the number of parts received.
	received int
	// median is the usual service time, and late the one above which an attempt counts
	// as late.
	median, late time.Duration
	// caution applies while no target has answered, and lost means that one was lost.
	caution caution
	lost    bool
	// hedging means that late shards are hedged from now on, and holdBack that the
	// entry hasn't allowed all attempts yet.
	hedging, holdBack bool
	// objective is when the response should be written.
	objective time.Time
	// runs is the number of attempts that targets may have run.
	runs    int
	results chan *result
	// replies are what other routers sent.
	replies chan helperReply
	// free fires when shards that wait for a target are tried again, and waiting
	// means that it is set.
	free    *time.Timer
	waiting bool
}

// gather answers a request that goes to one target of each shard.
func (s *Server) gather(w http.ResponseWriter, r *http.Request, req *request) {
	if now := time.Now(); s.fleet.countUsable(req.route.Gather.Shards, now) < req.route.Gather.MinParts() {
		s.refuse(w, r, req, &refusal{
			status: http.StatusServiceUnavailable, reason: reasonNoTarget,
			retryAfter: s.fleet.timeUntilUsable(req.route.Gather.Shards, req.route.Gather.MinParts(), now),
		})
		return
	}
	leaveOut, refused := s.admit(req, time.Now())
	if refused == nil {
		leaveOut, refused = s.admitLimited(req, leaveOut, time.Now())
	}
	if refused != nil {
		s.refuse(w, r, req, refused)
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), req.deadline)
	stop := context.AfterFunc(r.Context(), cancel)
	g := s.newGathering(req)
	g.leaveOut = leaveOut
	g.startAll(ctx)
	why := g.await(ctx)
	g.stopHelpers()
	callerPresent := stop()
	time.AfterFunc(lingerTime, cancel)
	if !callerPresent {
		s.logCallerLeft(req)
		return
	}
	if g.received < req.route.Gather.MinParts() {
		g.refuse(w, r, why)
		return
	}
	g.writeResponse(w)
	s.logAnswered(req, nil, g)
}

func (s *Server) newGathering(req *request) *gathering {
	n := len(req.route.Gather.Shards)
	median, late := s.serviceTimes.get(req.route)
	req.trace.reserve(n)
	return &gathering{
		server: s, req: req, median: median, late: late,
		calls: make([]*call, n), handedOver: make([]*handOver, n), signatures: make([]string, n),
		results: make(chan *result, n*resultsPerCall(req.route)),
		free:    time.NewTimer(time.Hour),
	}
}

// startAll hands the shards of other cells over and asks the other ones.
func (g *gathering) startAll(ctx context.Context) {
	plan := g.server.fleet.planFor(g.req.route.Gather)
	messages := len(g.calls)
	if plan != nil {
		messages = len(plan.cells)
	}
	ahead := g.req.allowance + fanOutTime(messages, g.server.cfg.LinkBitsPerSecond) + g.server.answerLag.margin(g.req.route.Objective)
	g.objective = g.req.received.Add(g.req.route.Objective - ahead)
	if g.req.canary {
		shards := canaryFirst(g.without(allShards(len(g.calls))), g.req.id)
		g.server.budget.recordRequests(g.services(shards[:1]), g.req.received)
		g.startCanary(ctx, shards, false, func(ctx context.Context) { g.startRest(ctx, plan) })
		return
	}
	g.startRest(ctx, plan)
}

// startRest starts the shards that weren't answered yet.
func (g *gathering) startRest(ctx context.Context, plan *cellPlan) {
	own := allShards(len(g.calls))
	if plan != nil {
		own = g.handOverAll(ctx, plan)
	}
	own = g.without(own)
	g.server.budget.recordRequests(g.services(own), g.req.received)
	g.startShards(ctx, own, g.req.route.Attempts, false)
}

// services returns the names of shards.
func (g *gathering) services(shards []int) []route.ServiceName {
	out := make([]route.ServiceName, len(shards))
	for i, shard := range shards {
		out[i] = g.req.route.Gather.Shards[shard]
	}
	return out
}

// startShards asks shards from this router. repeat means that another router may have
// asked them.
func (g *gathering) startShards(ctx context.Context, shards []int, attempts int, repeat bool) {
	for _, shard := range shards {
		c := &call{
			server: g.server, req: g.req, service: g.req.route.Gather.Shards[shard], median: g.median,
			attempts: attempts, repeat: repeat, objective: g.objective,
		}
		g.calls[shard], g.handedOver[shard] = c, nil
		c.start(ctx, shard, g.results, urgencyHigh, false)
	}
}

// await collects parts until all are received or more aren't worth waiting for:
// after the objective the minimum coverage is enough. The returned reason applies
// if too few parts were received.
func (g *gathering) await(ctx context.Context) reason {
	objectiveTimer := time.NewTimer(time.Until(g.objective))
	defer objectiveTimer.Stop()
	hedge := time.NewTimer(hedgeDelay(g.req.route, g.late))
	defer hedge.Stop()
	helperDue := time.NewTimer(g.server.acceptTime(g.req.route))
	defer helperDue.Stop()
	defer g.free.Stop()
	minParts := g.req.route.Gather.MinParts()
	lastHedge := g.objective.Add(-lastHedgeFactor * g.late)
	objectivePassed := false
	for g.received < len(g.calls) && g.anyInFlight() && g.possibleParts() >= minParts {
		if objectivePassed && g.received >= minParts {
			return reasonNone
		}
		g.awaitTargets()
		select {
		case r := <-g.results:
			g.handleResult(ctx, r)
		case m := <-g.replies:
			g.handleReply(ctx, &m)
			g.scheduleCheck(helperDue)
		case <-helperDue.C:
			g.handleQueued(ctx)
			g.checkHelpers(ctx, time.Now())
			g.endWaiting()
			g.scheduleCheck(helperDue)
		case <-hedge.C:
			g.handleQueued(ctx)
			g.hedgeOnTime(ctx, hedge, lastHedge)
		case <-g.free.C:
			g.retryWaiting(ctx)
		case <-objectiveTimer.C:
			g.server.answerLag.record(time.Since(g.objective))
			objectivePassed = true
		case <-g.server.drain.ended:
			return reasonDraining
		case <-ctx.Done():
			return endReason(ctx)
		}
	}
	return reasonCoverage
}

// handleQueued handles what has been received already, before a timer decides what is
// missing: select chooses at random among what is ready.
func (g *gathering) handleQueued(ctx context.Context) {
	for {
		select {
		case r := <-g.results:
			g.handleResult(ctx, r)
		case m := <-g.replies:
			g.handleReply(ctx, &m)
		default:
			return
		}
	}
}

// endReason returns why the context of a request, which ends at its deadline, ended.
func endReason(ctx context.Context) reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return reasonDeadline
	}
	return reasonCallerLeft
}

// possibleParts returns the number of parts that are received or may still be.
func (g *gathering) possibleParts() int {
	n := 0
	for i := range g.signatures {
		if g.signatures[i] != "" || g.shardInFlight(i) {
			n++
		}
	}
	return n
}

// shardInFlight reports whether the part of a shard may still come.
func (g *gathering) shardInFlight(shard int) bool {
	if h := g.handedOver[shard]; h != nil {
		return h.open
	}
	return g.calls[shard] != nil && g.calls[shard].pending() || slices.Contains(g.caution.unstarted, shard)
}

// anyInFlight reports whether an attempt is in flight.
func (g *gathering) anyInFlight() bool {
	for i := range g.signatures {
		if g.shardInFlight(i) {
			return true
		}
	}
	return false
}

// inFlight returns the number of this router's attempts in flight.
func (g *gathering) inFlight() int {
	n := 0
	for _, c := range g.calls {
		if c != nil {
			n += c.inFlight
		}
	}
	return n
}

// handleResult keeps the part of a successful attempt and retries a failed one if
// it may be.
func (g *gathering) handleResult(ctx context.Context, r *result) {
	c := g.calls[r.shard]
	if r.silent {
		g.handleSilence(ctx, r.shard)
		return
	}
	retry := c.countResult(r)
	if r.outcome.Verdict != NotRun {
		g.runs++
	}
	if g.signatures[r.shard] != "" {
		return
	}
	if r.outcome.targetLost() && g.received == 0 {
		g.handleLoss(ctx, r.shard, retry)
		return
	}
	if signature := r.outcome.Header.Get(g.server.cfg.Headers.Signature); r.outcome.Success() && isListable(signature) {
		g.addPart(r.shard, signature)
		g.bodies = append(g.bodies, r.outcome.Body)
		c.waiting = false
		if g.received == 1 {
			g.endCaution(ctx)
		}
		return
	}
	switch {
	case retry:
		c.start(ctx, r.shard, g.results, g.retryUrgency(), false)
	default:
		c.heldBack = c.heldBack || g.holdsBack(c)
	}
	g.endWaiting()
}

// handleSilence hedges a shard whose target's host is silent, if its part is still
// missing.
func (g *gathering) handleSilence(ctx context.Context, shard int) {
	if g.lost && g.received == 0 {
		return
	}
	if c := g.calls[shard]; c != nil && g.signatures[shard] == "" {
		c.hedgeSilent(ctx, shard, g.results, g.retryUrgency())
	}
}

// addPart records that a shard's part was received.
func (g *gathering) addPart(shard int, signature string) {
	if g.signatures[shard] != "" {
		return
	}
	g.signatures[shard] = signature
	g.fresh = append(g.fresh, shard)
	g.received++
}
