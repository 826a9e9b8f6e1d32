package plan

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/topology"
)

// checkRest weighs what remains of each group when the targets that quiet
// names receive no work.
func (m *maker) checkRest(x *topology.Index, quiet func(*topology.Target) bool) {
	var losses []api.ShardLoss
	for i := range x.Deployment.Groups {
		g := &x.Deployment.Groups[i]
		losses = append(losses, m.checkGroup(x, g, quiet)...)
	}
	if len(losses) == 0 && m.Spec.Kind != api.IntentConfigure {
		m.refuse(api.PlanNoEffect, "", "all of it is quiet already")
	}
	slices.SortFunc(losses, func(a, b api.ShardLoss) int {
		return cmp.Or(cmp.Compare(a.Left, b.Left), cmp.Compare(a.Shard, b.Shard))
	})
	m.plan.ShardsTouched = len(losses)
	m.plan.Shards = losses[:min(len(losses), MaxListedShards)]
}

func (m *maker) checkGroup(
	x *topology.Index, g *topology.Group, quiet func(*topology.Target) bool,
) []api.ShardLoss {
	var losses []api.ShardLoss
	worst := api.GroupCapacity{Group: g.Name}
	for _, shard := range g.Shards {
		replicas := x.Replicas(shard)
		left, loses := m.remaining(replicas, quiet)
		if loses == 0 && m.Spec.Kind != api.IntentConfigure {
			continue
		}
		if loses > 0 {
			losses = append(losses, api.ShardLoss{Shard: shard, Group: g.Name, Loses: loses, Left: left})
		}
		if left == 0 {
			m.refuse(api.PlanNoReplica, string(shard), "the shard would have no replica")
		}
		c := m.capacity(g, shard, len(replicas), left)
		if worst.Shard == "" || headroom(c) < headroom(worst) {
			worst = c
		}
	}
	if worst.Shard == "" {
		return nil
	}
	m.plan.Groups = append(m.plan.Groups, worst)
	if headroom(worst) < 0 {
		m.refuse(api.PlanInsufficientCapacity, string(worst.Shard), fmt.Sprintf(
			"%d of %d slots would remain for a load that takes %.1f", worst.SlotsLeft, worst.Slots, worst.Needed))
	}
	return losses
}

// remaining counts the replicas that still receive work, and those that
// receive work now but wouldn't any more.
func (m *maker) remaining(replicas []*topology.Target, quiet func(*topology.Target) bool) (left, loses int) {
	for _, t := range replicas {
		switch {
		case !quiet(t):
			left++
		case !m.View.IsQuiet(t):
			loses++
		}
	}
	return left, loses
}

func (m *maker) capacity(g *topology.Group, shard topology.ShardID, replicas, left int) api.GroupCapacity {
	c := api.GroupCapacity{
		Group: g.Name, Shard: shard, Slots: replicas * g.Slots, SlotsLeft: left * g.Slots,
	}
	if load, ok := m.Loads[g.Name]; ok && m.complete(g, load) {
		// Reported slots are those of all of the group's shards together.
		c.LoadReported = true
		c.Needed = load.Busy / float64(len(g.Shards))
		return c
	}
	c.Needed = AssumedLoad * float64(c.Slots)
	return c
}

// complete reports whether a reported load covers nearly all targets of the
// group that receive work now. Less would make the load look smaller than it is.
func (m *maker) complete(g *topology.Group, load api.ReportedLoads) bool {
	if m.View.Topology == nil {
		return false
	}
	slots := 0
	for i := range m.View.Topology.Deployment.Targets {
		t := &m.View.Topology.Deployment.Targets[i]
		if t.Group == g.Name && !m.View.IsQuiet(t) {
			slots += g.Slots
		}
	}
	return load.Open > 0 && load.Open >= coveredLoad*float64(slots)
}

func headroom(c api.GroupCapacity) float64 { return float64(c.SlotsLeft) - c.Needed }
