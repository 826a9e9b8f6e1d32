package service

import (
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/control/placement"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// initialPlacementDelay is how long the number of routers must be stable
	// before the first placement, so that the first router doesn't get all
	// targets.
	initialPlacementDelay = time.Second
	// minMoveBudget is the lower bound of the non-urgent moves per run.
	minMoveBudget = 4
	// targetsPerMove is the number of targets in the deployment for each
	// non-urgent move per run.
	targetsPerMove = 50
)

// placementController assigns targets to routers.
type placementController struct {
	routerCount int
	countSince  time.Time
	// balancedIndex is the index of records that needed no moves.
	balancedIndex uint64
}

func (p *placementController) decide(input *controllerInput) []state.Command {
	if input.view.Topology == nil || len(input.view.Routers) == 0 {
		return nil
	}
	if len(input.view.Routers) != p.routerCount {
		p.routerCount = len(input.view.Routers)
		p.countSince = input.now
	}
	if len(input.view.Assignments) == 0 && input.now.Sub(p.countSince) < initialPlacementDelay {
		return nil
	}
	if p.balancedIndex == input.recordsIndex {
		return nil
	}
	moves := placement.NextMoves(placementInput(input.view))
	if len(moves) == 0 {
		p.balancedIndex = input.recordsIndex
		return nil
	}
	c := state.Command{Assign: make([]state.Assign, len(moves))}
	for i, m := range moves {
		c.Assign[i] = state.Assign{Target: m.Target, Owner: m.To}
		input.logger.Info("placement", "target", m.Target, "shard", m.Shard,
			"from", m.From, "to", m.To, "reason", m.Reason)
		input.metrics.Moved(string(m.Reason))
	}
	return []state.Command{c}
}

// placementInput converts a view with a topology to the input of package
// placement.
func placementInput(v *board.View) placement.Input {
	in := placement.Input{
		Current: make(map[topology.TargetID]topology.VMName, len(v.Assignments)),
		Budget:  max(minMoveBudget, len(v.Topology.Deployment.Targets)/targetsPerMove),
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
