package forward

import (
	"context"
	"net/http"

	"github.com/peridotmux/peridotmux/quarantine"
)

// admitSuspect decides whether a request may run that is known to crash targets, or
// suspected of it. A suspect runs as a canary, and done must be called at its end.
func (s *Server) admitSuspect(ctx context.Context, req *request) (done func(), f *refusal) {
	if !s.guard.Active() {
		return nil, nil
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	a := s.guard.Admit(ctx, req.fingerprint())
	if a.Standing == quarantine.Quarantined {
		return nil, &refusal{
			status: http.StatusServiceUnavailable, reason: reasonQuarantined, retryAfter: max(a.RetryAfter, minRetryAfter),
		}
	}
	req.canary = a.Standing == quarantine.Suspect
	return a.Done, nil
}

// recordForGuard passes the end of an attempt on to what decides which requests may run.
func (s *Server) recordForGuard(req *request, sel *selection, r *result) {
	switch {
	case r.outcome.connectionEnded():
		f := req.fingerprint()
		standing, changed := s.guard.Lost(f, quarantine.Loss{Target: quarantine.Target(sel.key), Canary: r.canary, Weak: !r.outcome.targetLost()})
		if changed {
			s.cfg.Log.Warn(msgStanding, "request", req.id, "fingerprint", f.String(), "standing", standing.String())
		}
	case r.outcome.Verdict == Answered && (!req.answered.Swap(true) || s.guard.Active()):
		s.guard.Answered(req.fingerprint())
	}
}
