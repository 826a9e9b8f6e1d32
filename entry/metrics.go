package entry

import (
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/telemetry"
)

// recordMetrics records the metrics of a query that ran.
func (s *Server) recordMetrics(req *request, sc *scatter, a *api.Answer, answered bool) {
	m := &s.cfg.Metrics
	kind := req.kind.Name
	m.Sent(kind, a.Asked)
	for range sc.gather.Counts.Hedges {
		m.SentExtra(kind, telemetry.ExtraHedge)
	}
	for range sc.gather.Counts.Retries {
		m.SentExtra(kind, telemetry.ExtraRetry)
	}
	if !answered {
		return
	}
	m.Answered(kind, time.Since(req.start), a.Covered, a.Asked)
	for _, missing := range a.Missing {
		m.Missing(kind, missing.Reason)
	}
}
