package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/route"
)

const (
	// maxRejections bounds the targets that may turn one request away.
	maxRejections = 3
	// hedgeShare is the part of the objective after which a request that may be
	// repeated is hedged at the latest.
	hedgeShare = 0.35
	// leastHedge is the earliest time for a hedge.
	leastHedge = 3 * time.Millisecond
)

// result is the outcome of one attempt at one target.
type result struct {
	shard   int
	backend *backend
	outcome Outcome
	hedge   bool
	at      time.Time
	gate    *gate
}

// call is one request to one service: its attempts and what is left of them.
type call struct {
	s       *Server
	q       *request
	service route.ServiceName
	median  time.Duration
	tried   []*backend
	// gates hold the gate of each attempt.
	gates []*gate
	// out is the number of attempts that are out, rejections the number of those
	// that ended and certainly didn't run.
	out, rejections int
	// turnedAway is the number of attempts that a target received and didn't run.
	turnedAway int
	hedged     bool
	// denied says that the budget had no room for another attempt.
	denied bool
}

// gate lets an attempt be withdrawn until it is handed to its target.
type gate struct{ state atomic.Uint32 }

// The states of a gate.
const (
	gateOpen uint32 = iota
	gatePassed
	gateWithdrawn
	gateFailed
)

// pass reports whether the attempt may be handed over; from then on it can't be
// withdrawn.
func (g *gate) pass() bool { return g.state.CompareAndSwap(gateOpen, gatePassed) }

// withdraw takes the attempt back unless it was handed over.
func (g *gate) withdraw() { g.state.CompareAndSwap(gateOpen, gateWithdrawn) }

// fail notes that there was no connection to hand the attempt over.
func (g *gate) fail() { g.state.CompareAndSwap(gateOpen, gateFailed) }

func (g *gate) withdrawn() bool { return g.state.Load() == gateWithdrawn }

// shut reports whether the attempt never reaches its target.
func (g *gate) shut() bool { return g.state.Load() >= gateWithdrawn }

// arrivals returns the number of attempts that reached their targets or may yet.
func (c *call) arrivals() int {
	n := 0
	for _, g := range c.gates {
		if !g.shut() {
			n++
		}
	}
	return n
}

// mayRun returns the number of attempts that ran or may yet.
func (c *call) mayRun() int { return c.arrivals() - c.turnedAway }

// withdraw takes back the attempts that still wait for a connection.
func (c *call) withdraw() {
	for _, g := range c.gates {
		g.withdraw()
	}
}

// hedge sends the request to another target while the first is late. An attempt
// that still waits for its connection is taken back, so that the other one is the
// request's first arrival.
func (c *call) hedge(ctx context.Context, shard int, results chan<- *result, why urgency) {
	if !c.s.fleet.another(c.service, c.tried, time.Now()) {
		c.q.trail.add(decision{line: lineNoTarget, at: time.Now(), service: c.service})
		return
	}
	c.withdraw()
	extra := c.arrivals() > 0
	if extra && (c.hedged || c.q.route.Kind != route.Idempotent || c.mayRun() >= c.q.route.Attempts) {
		return
	}
	if len(c.tried) > c.q.route.Attempts+maxRejections {
		return
	}
	started := c.start(ctx, shard, results, why, true)
	c.hedged = c.hedged || extra && started
}

// start sends the request to another target. It reports false if there is none,
// or if the budget forbids another arrival.
func (c *call) start(ctx context.Context, shard int, results chan<- *result, why urgency, hedge bool) bool {
	now := time.Now()
	first := c.arrivals() == 0
	x := c.s.fleet.choose(&need{
		service: c.service, median: c.median, tried: c.tried, once: c.q.route.Kind != route.Idempotent,
	}, now)
	if x == nil {
		c.q.trail.add(decision{line: lineNoTarget, at: now, service: c.service})
		return false
	}
	if !first && !c.s.budget.take(c.service, c.s.fleet.routerCount(), why, now) {
		c.s.fleet.abandon(x)
		c.denied = true
		c.q.trail.add(decision{line: lineDenied, at: now, service: c.service})
		return false
	}
	id := string(x.b.target.ID)
	c.q.trail.add(decision{line: lineChosen, at: now, service: c.service, target: id, hedge: hedge, seen: &x.seen, cost: x.cost})
	c.tried = append(c.tried, x.b)
	c.out++
	g := &gate{}
	c.gates = append(c.gates, g)
	a := &attempt{
		dialect: &c.s.cfg.Headers, pool: x.b.pool, target: id,
		request: c.q, until: c.q.deadline, gate: g,
	}
	c.s.workers.run(func() {
		r := &result{shard: shard, backend: x.b, hedge: hedge, gate: g, outcome: a.run(ctx)}
		r.at = time.Now()
		c.ended(x, r)
		results <- r
	})
	return true
}

// ended takes in the outcome of an attempt.
func (c *call) ended(x *sending, r *result) {
	out := &r.outcome
	c.s.fleet.done(x, out, r.at)
	c.q.trail.add(decision{line: lineEnded, at: r.at, service: c.service, target: string(x.b.target.ID), hedge: r.hedge, outcome: out})
	c.s.cfg.Metrics.Attempt(string(c.service), out.Verdict.String(), out.ServiceTime)
	if out.Success() {
		c.s.typical.add(c.q.route.Name, out.ServiceTime)
	}
}

// abandon gives up an attempt that was chosen but not sent.
func (f *fleet) abandon(x *sending) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(x.b.out, x)
}

// took counts a result and reports whether the request may go to another target.
func (c *call) took(r *result) bool {
	c.out--
	if r.outcome.Verdict == NotRun {
		c.rejections++
		if !r.gate.shut() {
			c.turnedAway++
		}
	}
	if r.gate.withdrawn() && c.out > 0 {
		return false
	}
	again := r.outcome.Verdict == NotRun || c.q.route.Kind == route.Idempotent
	return again && c.mayRun() < c.q.route.Attempts && c.rejections <= maxRejections
}

// hedgeAfter returns how long the first attempt may be out before a hedge.
func (c *call) hedgeAfter(late time.Duration) time.Duration {
	most := time.Duration(hedgeShare * float64(c.q.route.Objective))
	return max(min(late, most), leastHedge)
}
