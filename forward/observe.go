package forward

import (
	"time"
)

// logAnswered writes the lines of a request that got a target's answer, or one
// gathered from several.
func (s *Server) logAnswered(q *request, got *result, g *gathering) {
	after := time.Since(q.received)
	missing := 0
	if g != nil {
		missing = g.missing()
	}
	s.cfg.Metrics.Answered(string(q.route.Name), after, missing)
	late := after > q.route.Objective
	troubled := late || missing > 0 || (got != nil && !got.outcome.Success())
	decisions := q.trail.close()
	if !s.lines.wanted(q.id, troubled) {
		return
	}
	s.lines.write(q, decisions)
	attrs := append(s.basis(q), "after", after, "late", late, "missing", missing)
	if missing > 0 {
		attrs = append(attrs, "lacking", g.lacking())
	}
	if got != nil && got.backend != nil {
		attrs = append(attrs, "status", got.outcome.Status, "target", string(got.backend.target.ID), "hedge", got.hedge)
	}
	s.cfg.Log.Info(lineAnswered, attrs...)
}

// basis lists what a request was decided on, with versions and ages.
func (s *Server) basis(q *request) []any {
	attrs := []any{"request", q.id, "list_age", time.Since(s.cfg.Inventory.List().RequestedAt)}
	if q.table != nil {
		attrs = append(attrs, "table", q.table.Version)
	}
	if q.route != nil {
		attrs = append(attrs, "route", string(q.route.Name), "kind", q.route.Kind.String(),
			"objective", q.route.Objective, "allowance", q.allowance, "time_left", q.deadline.Sub(q.received))
	}
	return attrs
}

func (s *Server) logCallerLeft(q *request) {
	s.cfg.Metrics.Refused(string(reasonCallerLeft))
	decisions := q.trail.close()
	if !s.lines.wanted(q.id, true) {
		return
	}
	s.lines.write(q, decisions)
	s.cfg.Log.Info(lineGivenUp, append(s.basis(q), "reason", string(reasonCallerLeft), "after", time.Since(q.received))...)
}
