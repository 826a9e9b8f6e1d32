package admin

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/control/service"
	"github.com/peridotmux/peridotmux/control/state"
)

func (h *Handler) submit(r *http.Request, body []byte) (any, *api.Refusal) {
	var q api.Submission
	if f := decode(body, &q); f != nil {
		return nil, f
	}
	loads := h.cfg.Reports.Loads(time.Now())
	return h.propose(r, &state.Command{
		Number: q.Command,
		Submit: &state.Submit{Spec: q.Intent, Loads: loads},
	})
}

func (h *Handler) confirm(r *http.Request, body []byte) (any, *api.Refusal) {
	var q api.Confirmation
	if f := decode(body, &q); f != nil {
		return nil, f
	}
	return h.propose(r, &state.Command{
		Number:  q.Command,
		Confirm: &state.Confirm{Plan: mux.Vars(r)["plan"], Base: q.Base},
	})
}

func (h *Handler) withdraw(r *http.Request, body []byte) (any, *api.Refusal) {
	var q api.Withdrawal
	if f := decode(body, &q); f != nil {
		return nil, f
	}
	return h.propose(r, &state.Command{
		Number:   q.Command,
		Withdraw: &state.Withdraw{Intent: mux.Vars(r)["id"]},
	})
}

// propose appends an operator command and returns its intent or refusal.
func (h *Handler) propose(r *http.Request, c *state.Command) (any, *api.Refusal) {
	if c.Number == "" || len(c.Number) > api.MaxCommandBytes {
		f := newRefusal(api.CodeBadField, "a command number of 1 to 128 bytes is needed")
		f.Field = "command"
		return nil, f
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	out, err := h.cfg.Log.Propose(ctx, c.Encode(time.Now()))
	if err != nil {
		return nil, h.proposeRefusal(err)
	}
	result, ok := out.(*state.Result)
	if !ok {
		return nil, newRefusal(api.CodeInternal, "the log entry was refused")
	}
	h.cfg.Logger.Info("command", "number", c.Number, "first", result.FirstUse,
		"intent", intentID(result.Intent), "refused", result.Refusal != nil)
	if result.Refusal != nil {
		f := *result.Refusal
		f.Intent = result.Intent
		return nil, &f
	}
	return result.Intent, nil
}

func intentID(in *api.Intent) string {
	if in == nil {
		return ""
	}
	return in.ID
}

// proposeRefusal converts an error of the log into a refusal.
func (h *Handler) proposeRefusal(err error) *api.Refusal {
	var notLeader *control.NotLeaderError
	if errors.As(err, &notLeader) {
		f := newRefusal(api.CodeNotLeader, err.Error())
		f.Leader = h.httpAddr(notLeader.LeaderAddr)
		return f
	}
	var notAppended *control.NotAppendedError
	if errors.As(err, &notAppended) {
		return newRefusal(api.CodeControlUnreachable, err.Error())
	}
	return unknownOutcomeRefusal(err)
}

func (h *Handler) list(*http.Request, []byte) (any, *api.Refusal) {
	intents := h.cfg.State.Intents()
	for i := range intents {
		h.updateRollout(&intents[i])
	}
	return &api.IntentList{Intents: intents, Stale: h.stale()}, nil
}

func (h *Handler) show(r *http.Request, _ []byte) (any, *api.Refusal) {
	in, ok := h.cfg.State.Intent(mux.Vars(r)["id"])
	if !ok {
		return nil, newRefusal(api.CodeNotFound, "there is no such intent")
	}
	h.updateRollout(&in)
	return &in, nil
}

// stale reports whether this member is not the leader, so that its records may
// be outdated.
func (h *Handler) stale() bool { return !h.cfg.Log.Leadership().Leads }

// updateRollout sets where an unsettled intent is in force right now. Only the
// leader has the routers' reports.
func (h *Handler) updateRollout(in *api.Intent) {
	unsettled := in.State == api.IntentConfirmed || in.State == api.IntentInForce
	if !unsettled || h.stale() {
		return
	}
	in.Outcome.InForce, in.Outcome.Pending = service.RolloutStatus(
		in.Outcome.AcceptedIndex, h.cfg.Reports.Routers(), time.Now())
}
