package plan

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/topology"
)

// configure plans a new deployment.
func (p *planner) configure() {
	d := p.Spec.Deployment
	if d == nil {
		p.refuse(api.PlanBadSpec, "", "state a deployment")
		return
	}
	if !p.checkDeployment(d) {
		return
	}
	p.addChanges(d)
	x := topology.NewIndex(d)
	p.checkRemaining(x, p.View.IsQuiet)
}

// checkDeployment reports whether d is valid, and refuses the plan if not.
func (p *planner) checkDeployment(d *topology.Deployment) bool {
	before := len(p.plan.Refusals)
	refuse := func(subject, message string) { p.refuse(api.PlanBadConfig, subject, message) }
	if d.Name == "" || len(d.DataCentres) == 0 || len(d.Groups) == 0 || len(d.Targets) == 0 {
		refuse(d.Name, "a deployment has a name, data centres, groups and targets")
	}
	if p.View.Topology != nil && p.View.Topology.Deployment.Region != d.Region {
		refuse(string(d.Region), "a deployment can't change its region")
	}
	shards := make(map[topology.ShardID]topology.GroupName)
	groups := make(map[topology.GroupName]bool)
	for i := range d.Groups {
		g := &d.Groups[i]
		if groups[g.Name] || g.Slots <= 0 || g.Connections <= 0 {
			refuse(string(g.Name), "a group is there once, with slots and connections")
		}
		groups[g.Name] = true
		for _, s := range g.Shards {
			if _, twice := shards[s]; twice {
				refuse(string(s), "the shard is listed twice")
			}
			shards[s] = g.Name
		}
	}
	p.checkTargets(d, shards)
	p.checkKinds(d)
	return len(p.plan.Refusals) == before
}

// checkTargets refuses targets with a duplicate name, an unlisted shard or data
// centre, or no address. shards maps each shard to its group.
func (p *planner) checkTargets(d *topology.Deployment, shards map[topology.ShardID]topology.GroupName) {
	seen := make(map[topology.TargetID]bool)
	for i := range d.Targets {
		t := &d.Targets[i]
		switch {
		case seen[t.ID] || t.ID == "":
			p.refuse(api.PlanBadConfig, string(t.ID), "a target has a name of its own")
		case shards[t.Shard] != t.Group || t.Group == "":
			p.refuse(api.PlanBadConfig, string(t.ID), "the target's shard isn't one of its group")
		case !slices.Contains(d.DataCentres, t.DataCentre):
			p.refuse(api.PlanBadConfig, string(t.ID), "the target's data centre isn't listed")
		case !t.Addr.IsValid():
			p.refuse(api.PlanBadConfig, string(t.ID), "the target has no address")
		}
		seen[t.ID] = true
	}
}

// checkKinds refuses kinds with a duplicate name, no deadline, or a minimum
// coverage outside of 0 to 1.
func (p *planner) checkKinds(d *topology.Deployment) {
	seen := make(map[topology.KindName]bool)
	for i := range d.Kinds {
		k := &d.Kinds[i]
		if k.Name == "" || seen[k.Name] || k.Deadline <= 0 || k.MinCoverage < 0 || k.MinCoverage > 1 {
			p.refuse(api.PlanBadConfig, string(k.Name),
				"a kind is there once, with a deadline and a minimum coverage of 0 to 1")
		}
		seen[k.Name] = true
	}
}

// addChanges lists the differences between the current deployment and d. A
// deployment without differences is refused.
func (p *planner) addChanges(d *topology.Deployment) {
	if p.View.Topology == nil {
		p.addChange("first deployment: " + countText(len(d.Targets), "targets"))
		return
	}
	old := p.View.Topology.Deployment
	if reflect.DeepEqual(old, d) {
		p.refuse(api.PlanNoEffect, d.Name, "the deployment is in force already")
		return
	}
	if old.HedgeBudget != d.HedgeBudget {
		p.addChange(fmt.Sprintf("hedge budget %g -> %g", old.HedgeBudget, d.HedgeBudget))
	}
	if old.RetryBudget != d.RetryBudget {
		p.addChange(fmt.Sprintf("retry budget %g -> %g", old.RetryBudget, d.RetryBudget))
	}
	addDifferences(p, "data centre", old.DataCentres, d.DataCentres, func(dc topology.DataCentre) string { return string(dc) })
	addDifferences(p, "group", old.Groups, d.Groups, func(g topology.Group) string { return string(g.Name) })
	addDifferences(p, "kind", old.Kinds, d.Kinds, func(k topology.Kind) string { return string(k.Name) })
	addDifferences(p, "target", old.Targets, d.Targets, func(t topology.Target) string { return string(t.ID) })
}

// addChange adds one line to the plan's changes, up to MaxListedChanges.
func (p *planner) addChange(text string) {
	switch {
	case len(p.plan.Changes) < MaxListedChanges:
		p.plan.Changes = append(p.plan.Changes, text)
	case len(p.plan.Changes) == MaxListedChanges:
		p.plan.Changes = append(p.plan.Changes, "and more")
	}
}

// addDifferences lists the elements that were added, changed or removed,
// identified by name.
func addDifferences[T any](p *planner, what string, before, after []T, name func(T) string) {
	old := make(map[string]T, len(before))
	for _, v := range before {
		old[name(v)] = v
	}
	for _, v := range after {
		was, ok := old[name(v)]
		delete(old, name(v))
		switch {
		case !ok:
			p.addChange(what + " " + name(v) + " added")
		case !reflect.DeepEqual(was, v):
			p.addChange(what + " " + name(v) + " changed")
		}
	}
	for _, v := range before {
		if _, gone := old[name(v)]; gone {
			p.addChange(what + " " + name(v) + " removed")
		}
	}
}
