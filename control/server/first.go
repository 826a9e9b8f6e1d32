package server

import (
	"context"
	"log/slog"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// firstRetry is the time between two looks whether this member leads a
	// group without a deployment.
	firstRetry = 100 * time.Millisecond
	// firstTimeout bounds one proposal of the first deployment.
	firstTimeout = 3 * time.Second
	// firstSubmit and firstConfirm are the command numbers of the first
	// deployment, so that it is accepted once whoever leads.
	firstSubmit  = "first-deployment"
	firstConfirm = "first-deployment-confirm"
)

// proposeFirst accepts d as the first deployment of a group that has none. It
// ends once there is a deployment.
func proposeFirst(ctx context.Context, log control.Log, st *state.State, d *topology.Deployment, l *slog.Logger) {
	tick := time.NewTicker(firstRetry)
	defer tick.Stop()
	for st.View().ConfigVersion == 0 {
		if log.Leadership().Leads {
			tryFirst(ctx, log, d, l)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func tryFirst(ctx context.Context, log control.Log, d *topology.Deployment, l *slog.Logger) {
	ctx, cancel := context.WithTimeout(ctx, firstTimeout)
	defer cancel()
	submitted := proposeNumbered(ctx, log, l, &state.Command{
		Number: firstSubmit,
		Submit: &state.Submit{Spec: api.IntentSpec{Kind: api.IntentConfigure, Deployment: d, Operator: "settings"}},
	})
	if submitted == nil || submitted.Plan == nil {
		return
	}
	proposeNumbered(ctx, log, l, &state.Command{
		Number:  firstConfirm,
		Confirm: &state.Confirm{Plan: submitted.Plan.ID, Base: submitted.Plan.Base},
	})
}

// proposeNumbered returns the intent as it stands, or nil after a failure,
// which is logged.
func proposeNumbered(ctx context.Context, log control.Log, l *slog.Logger, c *state.Command) *api.Intent {
	answer, err := log.Propose(ctx, c.Encode(time.Now()))
	if err != nil {
		l.Warn("first deployment not proposed", "error", err)
		return nil
	}
	result, ok := answer.(*state.Result)
	if !ok || result.Refusal != nil {
		l.Error("first deployment refused", "answer", answer)
		return nil
	}
	return result.Intent
}
