package entry

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/query"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// logQuery logs one line with a query's routing decisions.
func (s *Server) logQuery(req *request, sc *scatter, a *api.Answer, answered bool) {
	if !s.cfg.Log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	c := sc.gather.Counts
	s.cfg.Log.Info("query",
		"request", req.id, "kind", req.kind.Name, "policy", req.policy, "once", req.atMostOnce,
		"version", a.Snapshot, "asked", a.Asked, "covered", a.Covered, "answered", answered,
		"took", time.Since(req.start), "sent", c.Sent, "hedges", c.Hedges, "retries", c.Retries,
		"replans", c.Replans, "dropped", c.Dropped, "pressure", sc.gather.Pressure(),
		"missing", missingText(a.Missing), "routes", routesText(sc.plan, sc.replies))
}

func (s *Server) logRefusal(id string, r *api.Refusal, took time.Duration) {
	s.cfg.Log.Info("query refused", "request", id, "code", r.Code, "execution", r.Execution,
		"field", r.Field, "took", took)
}

// missingText returns the missing shards with their reasons, as "shard:reason"
// separated by spaces.
func missingText(ms []api.MissingShard) string {
	var b strings.Builder
	for _, m := range ms {
		b.WriteString(string(m.Shard) + ":" + string(m.Reason) + " ")
	}
	return strings.TrimSuffix(b.String(), " ")
}

// routesText returns the shard, owner and target of each attempt that ended, as
// "shard@owner>target" separated by spaces. A plus sign after the shard marks a
// hedge, an exclamation mark an attempt without a result.
func routesText(plan query.Plan, replies []query.Result) string {
	var b strings.Builder
	for _, r := range replies {
		if r.Attempt.Shard < len(plan.Shards) {
			b.WriteString(string(plan.Shards[r.Attempt.Shard].Route.Shard))
		}
		if r.Attempt.Hedge {
			b.WriteByte('+')
		}
		if r.Reply.GetStatus() != pb.SubStatus_SUB_STATUS_OK {
			b.WriteByte('!')
		}
		b.WriteString("@" + string(r.Attempt.Owner) + ">" + r.Reply.GetTarget() + " ")
	}
	return strings.TrimSuffix(b.String(), " ")
}
