package service

import (
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/control/placement"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// gatherTime is how long the first placement waits after a router came, so
	// that the first router doesn't get everything.
	gatherTime = time.Second
	// minBudget is the least number of moves a tick that can wait.
	minBudget = 4
	// budgetShare is the share of all targets that may move in one tick.
	budgetShare = 50
)

// placer assigns targets to routers.
type placer struct {
	routers int
	since   time.Time
	// settledAt is the index of the records that needed no moves.
	settledAt uint64
}

func (p *placer) decide(f *facts) []state.Command {
	if f.view.Topology == nil || len(f.view.Routers) == 0 {
		return nil
	}
	if len(f.view.Routers) != p.routers {
		p.routers = len(f.view.Routers)
		p.since = f.now
	}
	if len(f.view.Assignments) == 0 && f.now.Sub(p.since) < gatherTime {
		return nil
	}
	if p.settledAt == f.recordsIndex {
		return nil
	}
	moves := placement.NextMoves(placementInput(f.view))
	if len(moves) == 0 {
		p.settledAt = f.recordsIndex
		return nil
	}
	c := state.Command{Assign: make([]state.Assign, len(moves))}
	for i, m := range moves {
		c.Assign[i] = state.Assign{Target: m.Target, Owner: m.To}
		f.logger.Info("placement", "target", m.Target, "shard", m.Shard,
			"from", m.From, "to", m.To, "reason", m.Reason)
		f.metrics.Moved(string(m.Reason))
	}
	return []state.Command{c}
}

func placementInput(v *board.View) placement.Input {
	in := placement.Input{
		Current: make(map[topology.TargetID]topology.VMName, len(v.Assignments)),
		Budget:  max(minBudget, len(v.Topology.Deployment.Targets)/budgetShare),
	}
	for name, r := range v.Routers {
		_, quiet := v.QuietDCs[r.VM.DataCentre]
		in.Routers = append(in.Routers, placement.Router{
			Name: name, DataCentre: r.VM.DataCentre, Draining: quiet || r.Leaving,
		})
	}
	for _, s := range v.Topology.Shards() {
		shard := placement.Shard{ID: s}
		for _, t := range v.Topology.Replicas(s) {
			shard.Targets = append(shard.Targets, t.ID)
		}
		in.Shards = append(in.Shards, shard)
	}
	for t, a := range v.Assignments {
		in.Current[t] = a.Owner
	}
	return in
}
