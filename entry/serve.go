package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/query"
)

// serveQuery answers one query.
func (s *Server) serveQuery(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	id := s.newRequestID()
	s.counters.Queries.Add(1)
	answer, refusal := s.handleRecovered(w, r, id, start)
	if refusal != nil {
		s.counters.Refusals.Add(1)
		refusal.RequestID = id
		s.logRefusal(id, refusal, time.Since(start))
		s.cfg.Metrics.Refused("", refusal.Code, refusal.Execution)
		writeRefusal(w, refusal)
		return
	}
	s.counters.Answers.Add(1)
	writeAnswer(w, answer)
}

// handleRecovered calls handle. A panic fails only this request, with an
// unknown outcome.
func (s *Server) handleRecovered(
	w http.ResponseWriter, r *http.Request, id string, start time.Time,
) (answer *api.Answer, refusal *api.Refusal) {
	defer func() {
		if cause := recover(); cause != nil {
			s.counters.Panics.Add(1)
			s.cfg.Log.Error("panic while serving a query", "request", id, "cause", cause)
			answer = nil
			refusal = refuse(api.CodeInternal, "the router failed on this request")
			refusal.Execution = api.OutcomeUnknown
		}
	}()
	return s.handle(w, r, id, start)
}

// handle checks one request, admits it and runs it.
func (s *Server) handle(
	w http.ResponseWriter, r *http.Request, id string, start time.Time,
) (*api.Answer, *api.Refusal) {
	if !s.beginQuery() {
		return nil, s.refuseDraining(r, refuse(api.CodeDraining, "this router shuts down"), w)
	}
	defer s.running.Done()
	raw, refusal := readQuery(w, r)
	if refusal != nil {
		return nil, refusal
	}
	q, refusal := decode(raw)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := s.CheckReady(start); refusal != nil && refusal.Code != api.CodeDraining {
		return nil, markKeyed(q.RequestKey != "", refusal)
	}
	routes := s.currentRoutes()
	req, refusal := validate(q, routes.View)
	if refusal != nil {
		return nil, refusal
	}
	req.id, req.start = id, start
	if !s.admissions.forRequest(req).Admit(req.kind.Name, req.kind.Weight, float64(len(req.shards)), draw(), start) {
		return nil, markKeyed(req.atMostOnce, refuse(api.CodeOverloaded, "the targets carry no more queries of this kind now"))
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline())
	defer cancel()
	if req.atMostOnce {
		return s.runAtMostOnce(ctx, req, routes)
	}
	return s.run(ctx, req, routes)
}

// refuseDraining completes the refusal of a request at a router that shuts
// down. It reads the query for its request key, because an earlier send with
// the key may have run.
func (s *Server) refuseDraining(r *http.Request, refusal *api.Refusal, w http.ResponseWriter) *api.Refusal {
	w.Header().Set("Connection", "close")
	raw, bad := readQuery(w, r)
	if bad != nil {
		return refusal
	}
	q, bad := decode(raw)
	return markKeyed(bad == nil && q.RequestKey != "", refusal)
}

// markKeyed changes the refusal of a request with a key to an unknown outcome,
// and says so in its message: this send wasn't run, but whether an earlier send
// with the key ran hasn't been looked up. Without a key, the refusal is
// unchanged.
func markKeyed(hasKey bool, refusal *api.Refusal) *api.Refusal {
	if hasKey {
		refusal.Execution = api.OutcomeUnknown
		refusal.Message += "; this send wasn't run, an earlier one with its key may have been"
	}
	return refusal
}

// run plans and runs an idempotent query.
func (s *Server) run(ctx context.Context, req *request, routes *query.Routes) (*api.Answer, *api.Refusal) {
	plan, refusal := s.plan(ctx, req, routes)
	if refusal != nil {
		return nil, refusal
	}
	return s.finish(req, s.scatter(ctx, req, plan))
}

// finish returns the answer of a query that has been gathered, or a refusal if
// its coverage is too low.
func (s *Server) finish(req *request, sc *scatter) (*api.Answer, *api.Refusal) {
	answer, cancel := sc.gather.Finish()
	sc.cancelAll(cancel)
	s.recordStats(sc)
	answer.RequestID = req.id
	enough := answer.Covered > 0 && float64(answer.Covered) >= req.minCoverage*float64(answer.Asked)
	s.logQuery(req, sc, answer, enough)
	s.recordMetrics(req, sc, answer, enough)
	if enough {
		return answer, nil
	}
	refusal := refuse(api.CodeCoverage, "fewer shards answered than the query asks for")
	if overloaded(answer) {
		refusal = refuse(api.CodeOverloaded, "the targets carry no more queries now")
	}
	if sc.gather.Counts.MaybeStarted || sc.gather.Counts.Started > 0 {
		refusal.Execution = api.OutcomeUnknown
	}
	return nil, refusal
}

// overloaded reports whether all missing shards are missing because of
// overload.
func overloaded(a *api.Answer) bool {
	for _, m := range a.Missing {
		if m.Reason != api.MissingOverloaded {
			return false
		}
	}
	return len(a.Missing) > 0
}

// recordStats records the pressure, the latencies and the counts of a query.
func (s *Server) recordStats(sc *scatter) {
	now := time.Now()
	s.admissions.forRequest(sc.req).Observe(sc.gather.Pressure(), now)
	for group, ds := range sc.latencies {
		s.history.Add(group, ds, now)
	}
	c := &sc.gather.Counts
	s.counters.SubRequests.Add(uint64(c.Sent))
	s.counters.Hedges.Add(uint64(c.Hedges))
	s.counters.Retries.Add(uint64(c.Retries))
	s.counters.Replans.Add(uint64(c.Replans))
	s.counters.Dropped.Add(uint64(c.Dropped))
}
