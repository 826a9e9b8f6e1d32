package plan

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/topology"
)

// checkRemaining checks for each group what remains if the targets for which
// quiet returns true receive no work, and lists the affected shards, those with
// the fewest remaining replicas first.
func (p *planner) checkRemaining(x *topology.Index, quiet func(*topology.Target) bool) {
	var losses []api.ShardLoss
	for i := range x.Deployment.Groups {
		g := &x.Deployment.Groups[i]
		losses = append(losses, p.checkGroup(x, g, quiet)...)
	}
	if len(losses) == 0 && p.Spec.Kind != api.IntentConfigure {
		p.refuse(api.PlanNoEffect, "", "all of it is quiet already")
	}
	slices.SortFunc(losses, func(a, b api.ShardLoss) int {
		return cmp.Or(cmp.Compare(a.Left, b.Left), cmp.Compare(a.Shard, b.Shard))
	})
	p.plan.ShardsTouched = len(losses)
	p.plan.Shards = losses[:min(len(losses), MaxListedShards)]
}

// checkGroup adds the capacity of the group's most constrained shard to the
// plan, and returns the shards that lose replicas.
func (p *planner) checkGroup(
	x *topology.Index, g *topology.Group, quiet func(*topology.Target) bool,
) []api.ShardLoss {
	var losses []api.ShardLoss
	worst := api.GroupCapacity{Group: g.Name}
	for _, shard := range g.Shards {
		replicas := x.Replicas(shard)
		left, loses := p.remaining(replicas, quiet)
		if loses == 0 && p.Spec.Kind != api.IntentConfigure {
			continue
		}
		if loses > 0 {
			losses = append(losses, api.ShardLoss{Shard: shard, Group: g.Name, Loses: loses, Left: left})
		}
		if left == 0 {
			p.refuse(api.PlanNoReplica, string(shard), "the shard would have no replica")
		}
		c := p.capacity(g, shard, len(replicas), left)
		if worst.Shard == "" || headroom(c) < headroom(worst) {
			worst = c
		}
	}
	if worst.Shard == "" {
		return nil
	}
	p.plan.Groups = append(p.plan.Groups, worst)
	if headroom(worst) < 0 {
		p.refuse(api.PlanInsufficientCapacity, string(worst.Shard), fmt.Sprintf(
			"%d of %d slots would remain for a load that takes %.1f", worst.SlotsLeft, worst.Slots, worst.Needed))
	}
	return losses
}

// remaining counts the replicas that would receive work, and those that receive
// work now but would no longer.
func (p *planner) remaining(replicas []*topology.Target, quiet func(*topology.Target) bool) (left, loses int) {
	for _, t := range replicas {
		switch {
		case !quiet(t):
			left++
		case !p.View.IsQuiet(t):
			loses++
		}
	}
	return left, loses
}

// capacity compares the remaining slots of a shard with its load.
func (p *planner) capacity(g *topology.Group, shard topology.ShardID, replicas, left int) api.GroupCapacity {
	c := api.GroupCapacity{
		Group: g.Name, Shard: shard, Slots: replicas * g.Slots, SlotsLeft: left * g.Slots,
	}
	if load, ok := p.Loads[g.Name]; ok && p.loadComplete(g, load) {
		// The reported load is the sum over all shards of the group.
		c.LoadReported = true
		c.Needed = load.Busy / float64(len(g.Shards))
		return c
	}
	c.Needed = AssumedLoad * float64(c.Slots)
	return c
}

// loadComplete reports whether a reported load covers nearly all targets of the
// group that receive work now. A partial report would make the load look
// smaller than it is.
func (p *planner) loadComplete(g *topology.Group, load api.ReportedLoads) bool {
	if p.View.Topology == nil {
		return false
	}
	slots := 0
	for i := range p.View.Topology.Deployment.Targets {
		t := &p.View.Topology.Deployment.Targets[i]
		if t.Group == g.Name && !p.View.IsQuiet(t) {
			slots += g.Slots
		}
	}
	return load.Open > 0 && load.Open >= minLoadCoverage*float64(slots)
}

// headroom returns the slots left over, negative if the load exceeds them.
func headroom(c api.GroupCapacity) float64 { return float64(c.SlotsLeft) - c.Needed }
