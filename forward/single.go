package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/peridotmux/peridotmux/route"
)

// single answers a request that goes to one target.
func (s *Server) single(w http.ResponseWriter, r *http.Request, req *request) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), req.deadline)
	defer cancel()
	stop := context.AfterFunc(r.Context(), cancel)
	defer stop()
	median, late := s.serviceTimes.get(req.route)
	service := route.Pick(req.route.Split, s.nextSequence(req.route.Name))
	if len(req.route.Split) > 1 {
		s.budget.recordRequest(service, req.received)
	}
	c := &call{server: s, req: req, service: service, median: median, attempts: req.attempts()}
	results := make(chan *result, resultsPerCall(req.route))
	if !c.start(ctx, 0, results, urgencyHigh, false) {
		s.refuse(w, r, req, s.noTargetRefusal(req, service, time.Now()))
		return
	}
	s.finishSingle(w, r, req, c.await(ctx, results, late))
}

// noTargetRefusal returns the refusal of a request for a service without a target for it.
func (s *Server) noTargetRefusal(req *request, service route.ServiceName, now time.Time) *refusal {
	if s.fleet.allLimited(service, now) {
		return s.limitedRefusal(req, now)
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: reasonNoTarget,
		retryAfter: s.fleet.timeUntilUsable([]route.ServiceName{service}, 1, now),
	}
}

// await returns the first usable result and hedges and retries meanwhile. If there
// is none, it returns the failed result that preferResult selects.
func (c *call) await(ctx context.Context, results chan *result, late time.Duration) *result {
	deadline := time.NewTimer(time.Until(c.req.deadline))
	defer deadline.Stop()
	hedge := time.NewTimer(hedgeDelay(c.req.route, late))
	defer hedge.Stop()
	var last *result
	for c.inFlight > 0 {
		select {
		case got := <-results:
			if got.silent {
				c.hedgeSilent(ctx, 0, results, urgencyMedium)
				continue
			}
			retry := c.countResult(got)
			if got.outcome.Success() || (got.outcome.Verdict == Answered && got.outcome.Status < http.StatusInternalServerError) {
				return got
			}
			last = preferResult(last, got)
			if retry {
				c.start(ctx, 0, results, c.retryUrgency(), false)
			}
		case <-hedge.C:
			c.hedge(ctx, 0, results, urgencyMedium)
		case <-deadline.C:
			return preferResult(last, &result{outcome: Outcome{Verdict: Unknown, Cause: context.DeadlineExceeded}})
		case <-c.server.drain.ended:
			return preferResult(last, &result{outcome: Outcome{Verdict: Unknown, Cause: &DrainedError{}}})
		case <-ctx.Done():
			return preferResult(last, &result{outcome: Outcome{Verdict: Unknown, Cause: ctx.Err()}})
		}
	}
	return last
}

// retryUrgency returns the urgency of another attempt after one failed.
func (c *call) retryUrgency() urgency {
	if c.inFlight == 0 {
		return urgencyHigh
	}
	return urgencyMedium
}

// preferResult returns the more informative of two failed results: one that may
// have run rather than one that didn't, and a response rather than none.
func preferResult(a, b *result) *result {
	if a == nil || a.outcome.Verdict == NotRun {
		return b
	}
	if a.outcome.Verdict == Unknown && b.outcome.Verdict == Answered {
		return b
	}
	return a
}

// finishSingle writes and logs the final response.
func (s *Server) finishSingle(w http.ResponseWriter, r *http.Request, req *request, got *result) {
	o := &got.outcome
	switch {
	case r.Context().Err() != nil:
		s.logCallerLeft(req)
	case o.Verdict == Answered:
		s.writeResponse(w, o)
		s.logAnswered(req, got, nil)
	case o.Verdict == NotRun:
		s.refuse(w, r, req, &refusal{
			status: http.StatusServiceUnavailable, reason: reasonNotRun, retryAfter: notRunRetryAfter, cause: o.Cause,
		})
	case !time.Now().Before(req.deadline):
		s.refuse(w, r, req, &refusal{status: http.StatusGatewayTimeout, reason: reasonDeadline, cause: o.Cause})
	default:
		s.refuse(w, r, req, &refusal{status: http.StatusBadGateway, reason: reasonLost, cause: o.Cause})
	}
}

// writeResponse writes a target's response without its hop-by-hop headers and its
// load report.
func (s *Server) writeResponse(w http.ResponseWriter, o *Outcome) {
	h := w.Header()
	dropped := connectionHeaders(o.Header)
	for name, values := range o.Header {
		if hopByHopHeaders[name] || dropped[name] || name == s.cfg.Headers.Load {
			continue
		}
		h[name] = values
	}
	w.WriteHeader(o.Status)
	_, _ = w.Write(o.Body)
}
