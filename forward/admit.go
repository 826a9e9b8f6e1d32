package forward

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/admission"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/workspace"
)

// reportsCapacity reports whether a load report is of a target whose capacity is followed:
// one that also says how long work takes on its machine at the moment. Other services are
// served as if nothing were known.
func reportsCapacity(l *Load) bool { return !l.At.IsZero() && l.Figure > 0 }

// admit decides whether the parts of a query are asked for. It returns the shards that
// the query leaves out, or a refusal.
func (s *Server) admit(req *request, now time.Time) (leaveOut []int, f *refusal) {
	if s.cfg.Admission == nil {
		return nil, nil
	}
	d := s.cfg.Admission.Decide(&admission.Query{
		ID: req.id, Gather: req.route.Gather, Objective: req.route.Objective, Priority: req.priority(),
		Workspace: workspace.Name(req.workspaceName()),
	}, now)
	if d.Admitted {
		s.cfg.Metrics.LeftOut(string(req.route.Name), len(d.LeaveOut))
		return d.LeaveOut, nil
	}
	return nil, &refusal{
		status: http.StatusServiceUnavailable, reason: reasonScarce,
		retryAfter: admission.RetryAfter(req.id, req.deadline.Sub(now), minRetryAfter, maxRetryAfter),
	}
}

// hasCapacity reports whether a service has spare capacity, as far as is known.
func (s *Server) hasCapacity(name route.ServiceName, now time.Time) bool {
	return s.cfg.Admission == nil || s.cfg.Admission.HasCapacity(name, now)
}

// tooLate reports whether a request to a scarce service isn't started any more, since
// its objective has passed.
func (c *call) tooLate(now time.Time) bool {
	return !c.objective.IsZero() && now.After(c.objective) && !c.server.hasCapacity(c.service, now)
}

// observe reports the end of an attempt of a gather at a target that reports its load.
func (s *Server) observe(c *call, sel *selection, o *Outcome) {
	if s.cfg.Admission == nil || c.req.route.Gather == nil {
		return
	}
	if n, known := observation(sel, o, c.req.route.Objective); known {
		s.cfg.Admission.Observe(sel.backend.id, n)
	}
}

// observation returns what the end of an attempt tells of its target's capacity. It
// returns false if that is nothing.
func observation(sel *selection, o *Outcome, objective time.Duration) (admission.Observation, bool) {
	before := &sel.candidate.load
	switch {
	case o.Success() && reportsCapacity(&o.Load):
		return admission.Answer(o.ServiceTime, objective, o.Load.Waiting, o.Load.Slots), true
	case o.Success() || !reportsCapacity(before) || o.Withdrawn || o.PoolFull || o.OverConnectionLimit || o.WrongTarget:
		return admission.Observation{}, false
	case o.Cancelled || o.TimedOut:
		// The answer would have taken longer still. Attempts that were given up earlier
		// tell nothing.
		return admission.Answer(o.ServiceTime, objective, before.Waiting, before.Slots), o.ServiceTime > objective
	case o.ConnectFailed || o.ConnectionLost:
		return admission.Failure(before.Slots), true
	default:
		return admission.Observation{}, false
	}
}

// without returns the shards that the query doesn't leave out and that weren't answered yet.
func (g *gathering) without(shards []int) []int {
	if len(g.leaveOut) == 0 && g.received == 0 {
		return shards
	}
	return slices.DeleteFunc(slices.Clone(shards), func(shard int) bool {
		return g.signatures[shard] != "" || slices.Contains(g.leaveOut, shard)
	})
}

// scarceLines returns a line for each service without spare capacity.
func (s *Server) scarceLines() []string {
	if s.cfg.Admission == nil {
		return nil
	}
	var out []string
	for _, x := range s.cfg.Admission.Scarce(time.Now()) {
		out = append(out, fmt.Sprintf("scarce: %s, admitted %s", x.Service, x.Admitted))
	}
	return out
}
