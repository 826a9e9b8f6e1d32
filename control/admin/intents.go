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
	loads := h.c.Reports.Loads(time.Now())
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

// propose appends an operator's command and gives its outcome.
func (h *Handler) propose(r *http.Request, c *state.Command) (any, *api.Refusal) {
	if c.Number == "" || len(c.Number) > api.MaxCommandBytes {
		f := refusal(api.CodeBadField, "a command number of 1 to 128 bytes is needed")
		f.Field = "command"
		return nil, f
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	out, err := h.c.Log.Propose(ctx, c.Encode(time.Now()))
	if err != nil {
		return nil, h.failed(err)
	}
	result, ok := out.(*state.Result)
	if !ok {
		return nil, refusal(api.CodeInternal, "the log entry was refused")
	}
	h.c.Logger.Info("command", "number", c.Number, "first", result.FirstUse,
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

// failed turns a failure of the log into a refusal.
func (h *Handler) failed(err error) *api.Refusal {
	var notLeader *control.NotLeaderError
	if errors.As(err, &notLeader) {
		f := refusal(api.CodeNotLeader, err.Error())
		f.Leader = h.httpAddr(notLeader.LeaderAddr)
		return f
	}
	var notAppended *control.NotAppendedError
	if errors.As(err, &notAppended) {
		return refusal(api.CodeControlUnreachable, err.Error())
	}
	return unknownOutcome(err)
}

func (h *Handler) list(*http.Request, []byte) (any, *api.Refusal) {
	intents := h.c.State.Intents()
	for i := range intents {
		h.current(&intents[i])
	}
	return &api.IntentList{Intents: intents, Stale: h.stale()}, nil
}

func (h *Handler) show(r *http.Request, _ []byte) (any, *api.Refusal) {
	in, ok := h.c.State.Intent(mux.Vars(r)["id"])
	if !ok {
		return nil, refusal(api.CodeNotFound, "there is no such intent")
	}
	h.current(&in)
	return &in, nil
}

func (h *Handler) stale() bool { return !h.c.Log.Leadership().Leads }

// current tells where an unsettled intent is in force right now.
func (h *Handler) current(in *api.Intent) {
	running := in.State == api.IntentConfirmed || in.State == api.IntentInForce
	if !running || h.stale() {
		return
	}
	in.Outcome.InForce, in.Outcome.Pending = service.RolloutStatus(
		in.Outcome.AcceptedIndex, h.c.Reports.Routers(), time.Now())
}
