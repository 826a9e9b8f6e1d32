package daemon

import (
	"context"

	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/control/rollouts"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/rollout"
)

// runRollouts runs the rollouts of services until ctx ends.
func (m *member) runRollouts(ctx context.Context, st *state.State, log control.Log) {
	s := m.settings.Rollouts
	rollouts.New(rollouts.Config{
		State: st, Log: log, Hub: m.rollouts, Inventory: m.inventory,
		Bounds:  rollout.Bounds{Share: s.ExposureShare, Slack: s.ExposureSlack, Rollback: s.RollbackTime},
		Logger:  m.log,
		Metrics: m.metrics.Rollout,
	}).Run(ctx)
}
