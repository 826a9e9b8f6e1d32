package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/query"
)

// serveQuery answers one query. A panic costs only this request.
func (s *Server) serveQuery(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	id := s.newRequestID()
	s.counters.Queries.Add(1)
	answer, refusal := s.guarded(w, r, id, start)
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

// guarded runs handle and turns a panic into a refusal.
func (s *Server) guarded(
	w http.ResponseWriter, r *http.Request, id string, start time.Time,
) (answer *api.Answer, refusal *api.Refusal) {
	defer func() {
		if cause := recover(); cause != nil {
			s.counters.Panics.Add(1)
			s.cfg.Log.Error("query failed by a panic", "request", id, "cause", cause)
			answer = nil
			refusal = refuse(api.CodeInternal, "the router failed on this request")
			refusal.Execution = api.OutcomeUnknown
		}
	}()
	return s.handle(w, r, id, start)
}

func (s *Server) handle(
	w http.ResponseWriter, r *http.Request, id string, start time.Time,
) (*api.Answer, *api.Refusal) {
	if !s.begin() {
		return nil, s.unreadyFor(r, refuse(api.CodeDraining, "this router shuts down"), w)
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
		return nil, keyed(q.RequestKey != "", refusal)
	}
	routes := s.currentRoutes()
	req, refusal := check(q, routes.View)
	if refusal != nil {
		return nil, refusal
	}
	req.id, req.start = id, start
	if !s.admission.of(req).Admit(req.kind.Name, req.kind.Weight, float64(len(req.shards)), draw(), start) {
		return nil, keyed(req.once, refuse(api.CodeOverloaded, "the targets carry no more queries of this kind now"))
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline())
	defer cancel()
	if req.once {
		return s.runOnce(ctx, req, routes)
	}
	return s.run(ctx, req, routes)
}

// unreadyFor refuses at a router that shuts down; whether the request has a
// key is worth a look, since its earlier send may have run.
func (s *Server) unreadyFor(r *http.Request, refusal *api.Refusal, w http.ResponseWriter) *api.Refusal {
	w.Header().Set("Connection", "close")
	raw, bad := readQuery(w, r)
	if bad != nil {
		return refusal
	}
	q, bad := decode(raw)
	return keyed(bad == nil && q.RequestKey != "", refusal)
}

// keyed makes the refusal of a request with a key truthful: this send wasn't
// run, but whether an earlier send with the key ran wasn't looked up.
func keyed(hasKey bool, refusal *api.Refusal) *api.Refusal {
	if hasKey {
		refusal.Execution = api.OutcomeUnknown
		refusal.Message += "; this send wasn't run, an earlier one with its key may have been"
	}
	return refusal
}

// run plans, scatters and gathers an idempotent query.
func (s *Server) run(ctx context.Context, req *request, routes *query.Routes) (*api.Answer, *api.Refusal) {
	plan, refusal := s.plan(ctx, req, routes)
	if refusal != nil {
		return nil, refusal
	}
	return s.finish(req, s.scatter(ctx, req, plan))
}

// finish turns the end of a gather into an answer or a refusal.
func (s *Server) finish(req *request, sc *scatter) (*api.Answer, *api.Refusal) {
	answer, cancel := sc.gather.Finish()
	sc.cancelAll(cancel)
	s.account(sc)
	answer.RequestID = req.id
	enough := answer.Covered > 0 && float64(answer.Covered) >= req.minCoverage*float64(answer.Asked)
	s.logQuery(req, sc, answer, enough)
	s.measure(req, sc, answer, enough)
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

func overloaded(a *api.Answer) bool {
	for _, m := range a.Missing {
		if m.Reason != api.MissingOverloaded {
			return false
		}
	}
	return len(a.Missing) > 0
}

// account books what the query showed and did.
func (s *Server) account(sc *scatter) {
	now := time.Now()
	s.admission.of(sc.req).Observe(sc.gather.Pressure(), now)
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
