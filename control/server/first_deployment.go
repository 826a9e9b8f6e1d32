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
	// firstDeploymentInterval is the time between two checks whether this
	// member leads a group without a deployment.
	firstDeploymentInterval = 100 * time.Millisecond
	// firstDeploymentTimeout limits one attempt to propose the first
	// deployment.
	firstDeploymentTimeout = 3 * time.Second
	// firstSubmitNumber and firstConfirmNumber are the command numbers of the
	// first deployment. They are the same on every member, so that it is
	// accepted only once.
	firstSubmitNumber  = "first-deployment"
	firstConfirmNumber = "first-deployment-confirm"
)

// proposeFirstDeployment submits and confirms d while this member leads a group
// without a deployment. It returns once there is one, or when ctx ends.
func proposeFirstDeployment(ctx context.Context, log control.Log, st *state.State, d *topology.Deployment, l *slog.Logger) {
	tick := time.NewTicker(firstDeploymentInterval)
	defer tick.Stop()
	for st.View().ConfigVersion == 0 {
		if log.Leadership().Leads {
			tryProposeFirst(ctx, log, d, l)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// tryProposeFirst makes one attempt to submit and confirm d.
func tryProposeFirst(ctx context.Context, log control.Log, d *topology.Deployment, l *slog.Logger) {
	ctx, cancel := context.WithTimeout(ctx, firstDeploymentTimeout)
	defer cancel()
	submitted := proposeNumbered(ctx, log, l, &state.Command{
		Number: firstSubmitNumber,
		Submit: &state.Submit{Spec: api.IntentSpec{Kind: api.IntentConfigure, Deployment: d, Operator: "settings"}},
	})
	if submitted == nil || submitted.Plan == nil {
		return
	}
	proposeNumbered(ctx, log, l, &state.Command{
		Number:  firstConfirmNumber,
		Confirm: &state.Confirm{Plan: submitted.Plan.ID, Base: submitted.Plan.Base},
	})
}

// proposeNumbered proposes an operator command and returns its intent. It logs
// a failure and returns nil.
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
