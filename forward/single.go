package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/peridotmux/peridotmux/route"
)

// single answers a request that goes to one target.
func (s *Server) single(w http.ResponseWriter, r *http.Request, q *request) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), q.deadline)
	defer cancel()
	stop := context.AfterFunc(r.Context(), cancel)
	defer stop()
	median, late := s.typical.get(q.route)
	service := route.Pick(q.route.Split, s.turn(q.route.Name))
	if len(q.route.Split) > 1 {
		s.budget.request(service, q.received)
	}
	c := &call{s: s, q: q, service: service, median: median}
	results := make(chan *result, q.route.Attempts+maxRejections+1)
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
func (c *call) await(ctx context.Context, results chan *result, late time.Duration) *result {
	deadline := time.NewTimer(time.Until(c.q.deadline))
	defer deadline.Stop()
	hedge := time.NewTimer(c.hedgeAfter(late))
	defer hedge.Stop()
	var last *result
	for c.out > 0 {
		select {
		case got := <-results:
			again := c.took(got)
			if got.outcome.Success() || (got.outcome.Verdict == Answered && got.outcome.Status < http.StatusInternalServerError) {
				return got
			}
			last = worse(last, got)
			if again {
				c.start(ctx, 0, results, c.retryUrgency(), false)
			}
		case <-hedge.C:
			c.hedge(ctx, 0, results, useful)
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
		if hopHeaders[name] || dropped[name] || name == s.cfg.Headers.Load {
			continue
		}
		h[name] = values
	}
	w.WriteHeader(o.Status)
	_, _ = w.Write(o.Body)
}
