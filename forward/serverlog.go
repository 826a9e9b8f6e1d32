package forward

import (
	"time"
)

// logAnswered logs a request that got a response from one target (got), or one
// gathered from several (g). The other argument is nil.
func (s *Server) logAnswered(req *request, got *result, g *gathering) {
	after := time.Since(req.received)
	missing := 0
	if g != nil {
		missing = g.missing()
	}
	s.cfg.Metrics.Answered(string(req.route.Name), after, missing)
	late := after > req.route.Objective
	problem := late || missing > 0 || (got != nil && !got.outcome.Success())
	s.logLostRuns(req)
	decisions := req.trace.close()
	if !s.requestLog.shouldLog(req.id, problem) {
		return
	}
	s.requestLog.write(req, decisions)
	attrs := append(s.commonAttrs(req), "after", after, "late", late, "missing", missing)
	if missing > 0 {
		attrs = append(attrs, "lacking", g.missingDetails())
	}
	if got != nil && got.backend != nil {
		attrs = append(attrs, "status", got.outcome.Status, "target", string(got.backend.id), "hedge", got.hedge)
	}
	s.cfg.Log.Info(msgAnswered, attrs...)
}

// commonAttrs returns the log attributes for what a request was decided on, with
// versions and ages.
func (s *Server) commonAttrs(req *request) []any {
	attrs := []any{"request", req.id, "list_age", time.Since(s.cfg.Inventory.List().RequestedAt)}
	if req.table != nil {
		attrs = append(attrs, "table", req.table.Version)
	}
	if req.route != nil {
		attrs = append(attrs, "route", string(req.route.Name), "kind", req.route.Kind.String(),
			"objective", req.route.Objective, "allowance", req.allowance, "time_left", req.deadline.Sub(req.received))
	}
	if req.workspace != nil {
		attrs = append(attrs, "workspace", string(req.workspace.Name), "priority", req.priority())
	}
	return attrs
}

// logCallerLeft logs a request whose caller closed its connection before the
// response.
func (s *Server) logCallerLeft(req *request) {
	s.cfg.Metrics.Refused(string(reasonCallerLeft))
	s.logLostRuns(req)
	decisions := req.trace.close()
	if !s.requestLog.shouldLog(req.id, true) {
		return
	}
	s.requestLog.write(req, decisions)
	s.cfg.Log.Info(msgGivenUp, append(s.commonAttrs(req), "reason", string(reasonCallerLeft), "after", time.Since(req.received))...)
}

// logPartsServed logs the shards that this router asked for another one, entry.
func (s *Server) logPartsServed(req *request, g *gathering, entry string, repeat bool) {
	after := time.Since(req.received)
	s.logLostRuns(req)
	decisions := req.trace.close()
	if !s.requestLog.shouldLog(req.id, after > req.route.Objective || g.missing() > 0) {
		return
	}
	s.requestLog.write(req, decisions)
	s.cfg.Log.Info(msgPartsServed, append(s.commonAttrs(req), "entry", entry, "repeat", repeat, "after", after,
		"shards", len(g.calls), "missing", g.missing(), "lacking", g.missingDetails())...)
}
