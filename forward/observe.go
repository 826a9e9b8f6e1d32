package forward

import (
	"time"
)

// logAnswered writes the line of a request that got a target's answer, or one
// gathered from several.
func (s *Server) logAnswered(q *request, got *result, g *gathering) {
	after := time.Since(q.received)
	missing := 0
	if g != nil {
		missing = g.missing()
	}
	s.cfg.Metrics.Answered(string(q.route.Name), after, missing)
	late := after > q.route.Objective
	if !late && missing == 0 && (got == nil || got.outcome.Success()) {
		return
	}
	attrs := []any{
		"request", q.id, "route", string(q.route.Name), "table", q.table.Version, "after", after,
		"late", late, "allowance", q.allowance, "missing", missing,
	}
	if missing > 0 {
		attrs = append(attrs, "lacking", g.lacking())
	}
	if got != nil && got.backend != nil {
		attrs = append(attrs, "status", got.outcome.Status, "target", string(got.backend.target.ID), "hedge", got.hedge)
	}
	s.cfg.Log.Info("request answered", attrs...)
}

func (s *Server) logCallerLeft(q *request) {
	s.cfg.Log.Info("request given up", "request", q.id, "route", string(q.route.Name),
		"reason", string(reasonCallerLeft), "after", time.Since(q.received))
}
