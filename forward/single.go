package forward

import (
	"context"
	"net/http"
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
}

// call is one request to one service: its attempts and what is left of them.
type call struct {
	s       *Server
	q       *request
	service route.ServiceName
	median  time.Duration
	tried   []*backend
	// out is the number of attempts that are out, runs the number that may have run.
	out, runs, rejections int
	hedged                bool
	// denied says that the budget had no room for another attempt.
	denied bool
	begun  time.Time
}

// start sends the request to another target. It reports false if there is none,
// or if the budget forbids another arrival.
func (c *call) start(ctx context.Context, shard int, results chan<- result, why urgency, hedge bool) bool {
	now := time.Now()
	first := len(c.tried) == 0
	x := c.s.fleet.choose(c.service, c.median, c.tried, now)
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
	if first {
		c.begun = now
	}
	id := string(x.b.target.ID)
	c.q.trail.add(decision{line: lineChosen, at: now, service: c.service, target: id, hedge: hedge, seen: x.seen, cost: x.cost})
	c.tried = append(c.tried, x.b)
	c.out++
	a := &attempt{
		dialect: &c.s.cfg.Dialect, pool: x.b.pool, target: id,
		request: c.q, until: c.q.deadline,
	}
	go func() {
		out := a.run(ctx)
		now := time.Now()
		c.s.fleet.done(x, &out, c.median, now)
		kept := out
		kept.Header, kept.Body = nil, nil
		c.q.trail.add(decision{line: lineEnded, at: now, service: c.service, target: id, hedge: hedge, outcome: kept})
		c.s.cfg.Metrics.Attempt(string(c.service), out.Verdict.String(), out.Service)
		if out.Success() {
			c.s.typical.add(c.q.route.Name, out.Service)
		}
		results <- result{shard: shard, backend: x.b, outcome: out, hedge: hedge, at: now}
	}()
	return true
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
	} else {
		c.runs++
	}
	again := r.outcome.Verdict == NotRun || c.q.route.Kind == route.Idempotent
	return again && c.runs+c.out < c.q.route.Attempts && c.rejections <= maxRejections
}

// single answers a request that goes to one target.
func (s *Server) single(w http.ResponseWriter, r *http.Request, q *request) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	defer cancel()
	stop := context.AfterFunc(r.Context(), cancel)
	defer stop()
	median, late := s.typical.get(q.route)
	service := route.Pick(q.route.Split, s.turn(q.route.Name))
	if len(q.route.Split) > 1 {
		s.budget.request(service, q.received)
	}
	c := &call{s: s, q: q, service: service, median: median}
	results := make(chan result, q.route.Attempts+maxRejections+1)
	if !c.start(ctx, 0, results, needed, false) {
		s.refuse(w, r, q, &refusal{
			status: http.StatusServiceUnavailable, reason: reasonNoTarget,
			retryAfter: s.fleet.usableIn([]route.ServiceName{service}, 1, time.Now()),
		})
		return
	}
	s.finishSingle(w, r, q, c.await(ctx, results, late))
}

// await waits for the first answer of use, hedging and retrying meanwhile.
func (c *call) await(ctx context.Context, results chan result, late time.Duration) *result {
	deadline := time.NewTimer(time.Until(c.q.deadline))
	defer deadline.Stop()
	hedge := time.NewTimer(c.hedgeAfter(late))
	defer hedge.Stop()
	var last *result
	for c.out > 0 {
		select {
		case got := <-results:
			again := c.took(&got)
			if got.outcome.Success() || (got.outcome.Verdict == Answered && got.outcome.Status < http.StatusInternalServerError) {
				return &got
			}
			last = worse(last, &got)
			if again {
				c.start(ctx, 0, results, c.retryUrgency(), false)
			}
		case <-hedge.C:
			if c.q.route.Kind == route.Idempotent && c.runs+c.out < c.q.route.Attempts {
				c.hedged = c.start(ctx, 0, results, useful, true)
			}
		case <-deadline.C:
			return worse(last, &result{outcome: Outcome{Verdict: Unknown, Cause: context.DeadlineExceeded}})
		case <-ctx.Done():
			return worse(last, &result{outcome: Outcome{Verdict: Unknown, Cause: ctx.Err()}})
		}
	}
	return last
}

// retryUrgency tells what another attempt is worth after one failed.
func (c *call) retryUrgency() urgency {
	if c.out == 0 {
		return needed
	}
	return useful
}

// hedgeAfter returns how long the first attempt may be out before a hedge.
func (c *call) hedgeAfter(late time.Duration) time.Duration {
	most := time.Duration(hedgeShare * float64(c.q.route.Objective))
	return max(min(late, most), leastHedge)
}

// worse returns the result that says more of what may have run: one that may
// have run goes before one that didn't, and an answer before none.
func worse(a, b *result) *result {
	if a == nil || a.outcome.Verdict == NotRun {
		return b
	}
	if a.outcome.Verdict == Unknown && b.outcome.Verdict == Answered {
		return b
	}
	return a
}

// finishSingle writes the final answer.
func (s *Server) finishSingle(w http.ResponseWriter, r *http.Request, q *request, got *result) {
	o := &got.outcome
	switch {
	case r.Context().Err() != nil:
		s.logCallerLeft(q)
	case o.Verdict == Answered:
		s.pass(w, o)
		s.logAnswered(q, got, nil)
	case o.Verdict == NotRun:
		s.refuse(w, r, q, &refusal{
			status: http.StatusServiceUnavailable, reason: reasonNotRun, retryAfter: notRunRetry, cause: o.Cause,
		})
	case !time.Now().Before(q.deadline):
		s.refuse(w, r, q, &refusal{status: http.StatusGatewayTimeout, reason: reasonDeadline, cause: o.Cause})
	default:
		s.refuse(w, r, q, &refusal{status: http.StatusBadGateway, reason: reasonLost, cause: o.Cause})
	}
}

// pass writes a target's answer as it came.
func (s *Server) pass(w http.ResponseWriter, o *Outcome) {
	h := w.Header()
	dropped := connectionNames(o.Header)
	for name, values := range o.Header {
		if hopHeaders[name] || dropped[name] || name == s.cfg.Dialect.Load {
			continue
		}
		h[name] = values
	}
	w.WriteHeader(o.Status)
	_, _ = w.Write(o.Body)
}
