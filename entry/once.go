package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/query"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

const (
	// settleTimeout bounds the tries to record the outcome of a claim.
	settleTimeout = 10 * time.Second
	// settleRetry is the time between two tries.
	settleRetry = 200 * time.Millisecond
)

// recorded is the outcome that a settled claim holds.
type recorded struct {
	Answer  *api.Answer  `json:"answer,omitempty"`
	Refusal *api.Refusal `json:"refusal,omitempty"`
	Status  int          `json:"status,omitempty"`
}

// runOnce runs a non-idempotent query: it claims the request key before the
// first hand-over and settles the claim with the outcome.
func (s *Server) runOnce(ctx context.Context, req *request, routes *query.Routes) (*api.Answer, *api.Refusal) {
	plan, refusal := s.plan(ctx, req, routes)
	if refusal != nil {
		return nil, keyed(true, refusal)
	}
	claim, err := s.cfg.Claimer.Claim(ctx, req.key, req.hash)
	if err != nil {
		claim = Claim{Status: pb.ClaimStatus_CLAIM_STATUS_UNKNOWN}
	}
	s.cfg.Log.Info("request key claimed", "request", req.id, "status", claim.Status.String())
	if claim.Status != pb.ClaimStatus_CLAIM_STATUS_GRANTED {
		return notGranted(claim)
	}
	answer, refusal := s.runClaimed(ctx, req, plan)
	s.settle(ctx, req, recorded{Answer: answer, Refusal: refusal})
	return answer, refusal
}

// runClaimed runs a query whose key is claimed. Should it fail by a panic, the
// claim stays unsettled, so that resends get "outcome unknown".
func (s *Server) runClaimed(ctx context.Context, req *request, plan query.Plan) (*api.Answer, *api.Refusal) {
	if ctx.Err() != nil {
		return nil, refuse(api.CodeCoverage, "the deadline passed before the request could be run")
	}
	return s.finish(req, s.scatter(ctx, req, plan))
}

// notGranted answers a request whose key this send may not run.
func notGranted(claim Claim) (*api.Answer, *api.Refusal) {
	switch claim.Status {
	case pb.ClaimStatus_CLAIM_STATUS_SETTLED:
		return replay(claim.Outcome)
	case pb.ClaimStatus_CLAIM_STATUS_HELD:
		return nil, unknown(refuse(api.CodeKeyHeld, "another send with this key runs or was lost"))
	case pb.ClaimStatus_CLAIM_STATUS_CONFLICT:
		return nil, refuseField(api.CodeKeyConflict, "request_key", "the key was used for another request")
	default:
		return nil, keyed(true, refuse(api.CodeControlUnreachable, "the request key can't be claimed now"))
	}
}

// replay returns the recorded outcome of an earlier send.
func replay(outcome []byte) (*api.Answer, *api.Refusal) {
	var r recorded
	if err := json.Unmarshal(outcome, &r); err != nil || (r.Answer == nil && r.Refusal == nil) {
		return nil, unknown(refuse(api.CodeKeyHeld, "the recorded outcome can't be read"))
	}
	if r.Answer != nil {
		r.Answer.Recorded = true
		return r.Answer, nil
	}
	r.Refusal.Status = r.Status
	if r.Refusal.Status == 0 {
		r.Refusal.Status = http.StatusServiceUnavailable
	}
	r.Refusal.RetryAfterMS = 0
	return nil, r.Refusal
}

func unknown(r *api.Refusal) *api.Refusal {
	r.Execution = api.OutcomeUnknown
	return r
}

// settle records the outcome of a claim. It waits for the record no longer
// than the query's deadline; the tries go on after that.
func (s *Server) settle(ctx context.Context, req *request, r recorded) {
	if r.Refusal != nil {
		r.Status = r.Refusal.Status
	}
	outcome, err := json.Marshal(r)
	if err != nil {
		s.cfg.Log.Error("outcome can't be recorded", "request", req.id, "error", err)
		return
	}
	done := make(chan struct{})
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer close(done)
		s.settleUntil(req, outcome)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (s *Server) settleUntil(req *request, outcome []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		got, err := s.cfg.Claimer.Settle(ctx, req.key, req.hash, outcome)
		if err == nil && got.Status == pb.ClaimStatus_CLAIM_STATUS_SETTLED {
			s.cfg.Log.Info("request key settled", "request", req.id)
			return
		}
		s.cfg.Log.Warn("request key not settled", "request", req.id, "status", got.Status.String(), "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(settleRetry):
		}
	}
}
