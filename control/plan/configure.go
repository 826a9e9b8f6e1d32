package plan

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/topology"
)

func (m *maker) configure() {
	d := m.Spec.Deployment
	if d == nil {
		m.refuse(api.PlanBadSpec, "", "state a deployment")
		return
	}
	if !m.checkDeployment(d) {
		return
	}
	m.compare(d)
	x := topology.NewIndex(d)
	m.checkRest(x, m.View.IsQuiet)
}

// checkDeployment reports whether d is sound in itself.
func (m *maker) checkDeployment(d *topology.Deployment) bool {
	before := len(m.plan.Refusals)
	bad := func(subject, message string) { m.refuse(api.PlanBadConfig, subject, message) }
	if d.Name == "" || len(d.DataCentres) == 0 || len(d.Groups) == 0 || len(d.Targets) == 0 {
		bad(d.Name, "a deployment has a name, data centres, groups and targets")
	}
	if m.View.Topology != nil && m.View.Topology.Deployment.Region != d.Region {
		bad(string(d.Region), "a deployment can't change its region")
	}
	shards := make(map[topology.ShardID]topology.GroupName)
	groups := make(map[topology.GroupName]bool)
	for i := range d.Groups {
		g := &d.Groups[i]
		if groups[g.Name] || g.Slots <= 0 || g.Connections <= 0 {
			bad(string(g.Name), "a group is there once, with slots and connections")
		}
		groups[g.Name] = true
		for _, s := range g.Shards {
			if _, twice := shards[s]; twice {
				bad(string(s), "the shard is listed twice")
			}
			shards[s] = g.Name
		}
	}
	m.checkTargets(d, shards)
	m.checkKinds(d)
	return len(m.plan.Refusals) == before
}

func (m *maker) checkTargets(d *topology.Deployment, shards map[topology.ShardID]topology.GroupName) {
	seen := make(map[topology.TargetID]bool)
	for i := range d.Targets {
		t := &d.Targets[i]
		switch {
		case seen[t.ID] || t.ID == "":
			m.refuse(api.PlanBadConfig, string(t.ID), "a target has a name of its own")
		case shards[t.Shard] != t.Group || t.Group == "":
			m.refuse(api.PlanBadConfig, string(t.ID), "the target's shard isn't one of its group")
		case !slices.Contains(d.DataCentres, t.DataCentre):
			m.refuse(api.PlanBadConfig, string(t.ID), "the target's data centre isn't listed")
		case !t.Addr.IsValid():
			m.refuse(api.PlanBadConfig, string(t.ID), "the target has no address")
		}
		seen[t.ID] = true
	}
}

func (m *maker) checkKinds(d *topology.Deployment) {
	seen := make(map[topology.KindName]bool)
	for i := range d.Kinds {
		k := &d.Kinds[i]
		if k.Name == "" || seen[k.Name] || k.Deadline <= 0 || k.MinCoverage < 0 || k.MinCoverage > 1 {
			m.refuse(api.PlanBadConfig, string(k.Name),
				"a kind is there once, with a deadline and a minimum coverage of 0 to 1")
		}
		seen[k.Name] = true
	}
}

// compare lists what d changes.
func (m *maker) compare(d *topology.Deployment) {
	if m.View.Topology == nil {
		m.change("first deployment: " + count(len(d.Targets), "targets"))
		return
	}
	old := m.View.Topology.Deployment
	if reflect.DeepEqual(old, d) {
		m.refuse(api.PlanNoEffect, d.Name, "the deployment is in force already")
		return
	}
	if old.HedgeBudget != d.HedgeBudget {
		m.change(fmt.Sprintf("hedge budget %g -> %g", old.HedgeBudget, d.HedgeBudget))
	}
	if old.RetryBudget != d.RetryBudget {
		m.change(fmt.Sprintf("retry budget %g -> %g", old.RetryBudget, d.RetryBudget))
	}
	differ(m, "data centre", old.DataCentres, d.DataCentres, func(dc topology.DataCentre) string { return string(dc) })
	differ(m, "group", old.Groups, d.Groups, func(g topology.Group) string { return string(g.Name) })
	differ(m, "kind", old.Kinds, d.Kinds, func(k topology.Kind) string { return string(k.Name) })
	differ(m, "target", old.Targets, d.Targets, func(t topology.Target) string { return string(t.ID) })
}

func (m *maker) change(text string) {
	switch {
	case len(m.plan.Changes) < MaxListedChanges:
		m.plan.Changes = append(m.plan.Changes, text)
	case len(m.plan.Changes) == MaxListedChanges:
		m.plan.Changes = append(m.plan.Changes, "and more")
	}
}

func differ[T any](m *maker, what string, before, after []T, name func(T) string) {
	old := make(map[string]T, len(before))
	for _, v := range before {
		old[name(v)] = v
	}
	for _, v := range after {
		was, ok := old[name(v)]
		delete(old, name(v))
		switch {
		case !ok:
			m.change(what + " " + name(v) + " added")
		case !reflect.DeepEqual(was, v):
			m.change(what + " " + name(v) + " changed")
		}
	}
	for _, v := range before {
		if _, gone := old[name(v)]; gone {
			m.change(what + " " + name(v) + " removed")
		}
	}
}
