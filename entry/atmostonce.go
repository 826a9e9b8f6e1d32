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
	// settleTimeout is the total time for attempts to record the outcome of a
	// claim.
	settleTimeout = 10 * time.Second
	// settleRetryInterval is the time between two attempts.
	settleRetryInterval = 200 * time.Millisecond
)

// recordedOutcome is the outcome stored with a settled claim. Status is the
// HTTP status of the refusal, which api.Refusal doesn't encode.
type recordedOutcome struct {
	Answer  *api.Answer  `json:"answer,omitempty"`
	Refusal *api.Refusal `json:"refusal,omitempty"`
	Status  int          `json:"status,omitempty"`
}

// runAtMostOnce runs a non-idempotent query: it claims the request key before
// it sends the first sub-request, and settles the claim with the outcome.
func (s *Server) runAtMostOnce(ctx context.Context, req *request, routes *query.Routes) (*api.Answer, *api.Refusal) {
	plan, refusal := s.plan(ctx, req, routes)
	if refusal != nil {
		return nil, markKeyed(true, refusal)
	}
	claim, err := s.cfg.Claimer.Claim(ctx, req.key, req.hash)
	if err != nil {
		claim = Claim{Status: pb.ClaimStatus_CLAIM_STATUS_UNKNOWN}
	}
	s.cfg.Log.Info("request key claim answered", "request", req.id, "status", claim.Status.String())
	if claim.Status != pb.ClaimStatus_CLAIM_STATUS_GRANTED {
		return answerUngranted(claim)
	}
	answer, refusal := s.runClaimed(ctx, req, plan)
	s.settle(ctx, req, recordedOutcome{Answer: answer, Refusal: refusal})
	return answer, refusal
}

// runClaimed runs a query whose key has been claimed. If it panics, the claim
// stays unsettled, so that resends are refused with an unknown outcome.
func (s *Server) runClaimed(ctx context.Context, req *request, plan query.Plan) (*api.Answer, *api.Refusal) {
	if ctx.Err() != nil {
		return nil, refuse(api.CodeCoverage, "the deadline passed before the request could be run")
	}
	return s.finish(req, s.scatter(ctx, req, plan))
}

// answerUngranted returns the answer or the refusal of a request whose claim
// wasn't granted.
func answerUngranted(claim Claim) (*api.Answer, *api.Refusal) {
	switch claim.Status {
	case pb.ClaimStatus_CLAIM_STATUS_SETTLED:
		return replay(claim.Outcome)
	case pb.ClaimStatus_CLAIM_STATUS_HELD:
		return nil, markOutcomeUnknown(refuse(api.CodeKeyHeld, "another send with this key runs or was lost"))
	case pb.ClaimStatus_CLAIM_STATUS_CONFLICT:
		return nil, refuseField(api.CodeKeyConflict, "request_key", "the key was used for another request")
	default:
		return nil, markKeyed(true, refuse(api.CodeControlUnreachable, "the request key can't be claimed now"))
	}
}

// replay returns the recorded outcome of an earlier send. A recorded refusal
// doesn't advise a retry, because a resend would get the same outcome.
func replay(outcome []byte) (*api.Answer, *api.Refusal) {
	var r recordedOutcome
	if err := json.Unmarshal(outcome, &r); err != nil || (r.Answer == nil && r.Refusal == nil) {
		return nil, markOutcomeUnknown(refuse(api.CodeKeyHeld, "the recorded outcome can't be read"))
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

// markOutcomeUnknown sets the execution of a refusal to unknown and returns it.
func markOutcomeUnknown(r *api.Refusal) *api.Refusal {
	r.Execution = api.OutcomeUnknown
	return r
}

// settle records the outcome of a claim. It returns at the query's deadline at
// the latest; attempts to record the outcome continue in the background.
func (s *Server) settle(ctx context.Context, req *request, r recordedOutcome) {
	if r.Refusal != nil {
		r.Status = r.Refusal.Status
	}
	outcome, err := json.Marshal(r)
	if err != nil {
		s.cfg.Log.Error("failed to encode request outcome", "request", req.id, "error", err)
		return
	}
	done := make(chan struct{})
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer close(done)
		s.settleWithRetries(req, outcome)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// settleWithRetries tries to settle the claim until it succeeds or
// settleTimeout has passed.
func (s *Server) settleWithRetries(req *request, outcome []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		got, err := s.cfg.Claimer.Settle(ctx, req.key, req.hash, outcome)
		if err == nil && got.Status == pb.ClaimStatus_CLAIM_STATUS_SETTLED {
			s.cfg.Log.Info("request key settled", "request", req.id)
			return
		}
		s.cfg.Log.Warn("failed to settle request key", "request", req.id, "status", got.Status.String(), "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(settleRetryInterval):
		}
	}
}
