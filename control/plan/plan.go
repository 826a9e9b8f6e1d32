// Package plan works out what an intent would change and whether the rest can
// carry the load. It is a pure function of a view and an intent.
package plan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// AssumedLoad is the share of all slots that is taken to be in use where no
	// load is reported.
	AssumedLoad = 0.5
	// coveredLoad is the share of a group's slots that reports must cover to count.
	coveredLoad = 0.9
	// MaxListedShards bounds the shards that a plan lists.
	MaxListedShards = 64
	// MaxListedChanges bounds the changes of the deployment that a plan lists.
	MaxListedChanges = 64
)

// Input is what a plan is made from.
type Input struct {
	ID   string
	View *board.View
	// Base is the version of the view that the plan depends on.
	Base uint64
	Now  time.Time
	// Loads is the reported load by group. A group that isn't in it counts with
	// AssumedLoad.
	Loads map[topology.GroupName]api.ReportedLoads
	Spec  *api.IntentSpec
}

// Make plans an intent. Reasons against it are in the plan's refusals.
func Make(in Input) *api.Plan {
	m := &maker{Input: in, plan: &api.Plan{ID: in.ID, Base: in.Base}}
	switch in.Spec.Kind {
	case api.IntentConfigure:
		m.configure()
	case api.IntentTakeOut, api.IntentBringBack, api.IntentLeave, api.IntentNonIdempotent:
		m.onDeployment()
	default:
		m.refuse(api.PlanBadSpec, string(in.Spec.Kind), "there is no such kind of intent")
	}
	m.override()
	return m.plan
}

type maker struct {
	Input
	plan *api.Plan
}

func (m *maker) refuse(reason api.PlanReason, subject, message string) {
	m.plan.Refusals = append(m.plan.Refusals, api.PlanRefusal{
		Reason: reason, Subject: subject, Message: message,
	})
}

// override marks the reasons that the operator takes on. Only reasons that
// weigh a risk can be overridden.
func (m *maker) override() {
	for i := range m.plan.Refusals {
		r := &m.plan.Refusals[i]
		risk := r.Reason == api.PlanNoReplica || r.Reason == api.PlanInsufficientCapacity || r.Reason == api.PlanNoRouter
		r.Overridden = risk && slices.Contains(m.Spec.Overrides, r.Reason)
	}
}

func (m *maker) onDeployment() {
	if m.View.Topology == nil {
		m.refuse(api.PlanBadSpec, "", "there is no deployment yet; state one first")
		return
	}
	switch m.Spec.Kind {
	case api.IntentTakeOut:
		m.takeOut()
	case api.IntentBringBack:
		m.bringBack()
	case api.IntentLeave:
		m.leave()
	default:
		m.nonIdempotent()
	}
}

func (m *maker) takeOut() {
	if !m.checkNames() {
		return
	}
	m.checkReturn()
	if dc := m.Spec.DataCentre; dc != "" {
		m.plan.QuietDCs = append(m.plan.QuietDCs, dc)
		m.checkRouters(dc)
	}
	m.plan.QuietTargets = sorted(m.Spec.Targets)
	m.plan.ReturnAt = m.Spec.ReturnAt.UTC()
	if m.Spec.ReturnAt.IsZero() {
		m.plan.Notes = append(m.plan.Notes, "stays quiet until an intent brings it back")
	} else {
		m.plan.Notes = append(m.plan.Notes, "returns by itself and starts cold")
	}
	m.checkRest(m.View.Topology, m.quietAfter())
}

func (m *maker) leave() {
	if m.Spec.DataCentre != "" || len(m.Spec.Targets) == 0 {
		m.refuse(api.PlanBadSpec, "", "name the targets that leave")
		return
	}
	if !m.checkNames() {
		return
	}
	m.plan.LeavingTargets = sorted(m.Spec.Targets)
	m.checkRest(m.View.Topology, m.quietAfter())
}

func (m *maker) bringBack() {
	if !m.checkNames() {
		return
	}
	if dc := m.Spec.DataCentre; dc != "" {
		if _, quiet := m.View.QuietDCs[dc]; !quiet {
			m.refuse(api.PlanNoEffect, string(dc), "the data centre isn't quiet")
		}
		m.plan.ReturningDCs = append(m.plan.ReturningDCs, dc)
	}
	for _, t := range m.Spec.Targets {
		if _, quiet := m.View.QuietTargets[t]; !quiet {
			m.refuse(api.PlanNoEffect, string(t), "the target isn't quiet by itself")
		}
	}
	m.plan.ReturningTargets = sorted(m.Spec.Targets)
	m.plan.Notes = append(m.plan.Notes, "what returns starts cold")
}

func (m *maker) nonIdempotent() {
	if len(m.Spec.Kinds) == 0 {
		m.refuse(api.PlanBadSpec, "", "name the kinds of queries")
	}
	for _, k := range m.Spec.Kinds {
		kind := m.View.Topology.Kind(k)
		switch {
		case kind == nil:
			m.refuse(api.PlanUnknownName, string(k), "there is no such kind")
		case m.Spec.Lift != m.View.NonIdempotent[k]:
			m.refuse(api.PlanNoEffect, string(k), "the kind is declared so already")
		}
	}
	if m.Spec.Lift {
		m.plan.Idempotent = sorted(m.Spec.Kinds)
	} else {
		m.plan.NonIdempotent = sorted(m.Spec.Kinds)
	}
}

// checkNames reports whether the intent names something, and only what exists.
func (m *maker) checkNames() bool {
	s := m.Spec
	if s.DataCentre == "" && len(s.Targets) == 0 {
		m.refuse(api.PlanBadSpec, "", "name a data centre or targets")
		return false
	}
	before := len(m.plan.Refusals)
	if s.DataCentre != "" && !slices.Contains(m.View.Topology.Deployment.DataCentres, s.DataCentre) {
		m.refuse(api.PlanUnknownName, string(s.DataCentre), "there is no such data centre")
	}
	for _, t := range s.Targets {
		if m.View.Topology.Target(t) == nil {
			m.refuse(api.PlanUnknownName, string(t), "there is no such target")
		}
	}
	return len(m.plan.Refusals) == before
}

func (m *maker) checkReturn() {
	if at := m.Spec.ReturnAt; !at.IsZero() && !at.After(m.Now) {
		m.refuse(api.PlanReturnTimePassed, at.UTC().Format(time.RFC3339), "the return time has passed")
	}
}

// checkRouters refuses if no router outside of dc could own targets.
func (m *maker) checkRouters(dc topology.DataCentre) {
	if len(m.View.Routers) == 0 {
		return
	}
	for _, r := range m.View.Routers {
		_, quiet := m.View.QuietDCs[r.VM.DataCentre]
		if r.VM.DataCentre != dc && !quiet && !r.Leaving {
			return
		}
	}
	m.refuse(api.PlanNoRouter, string(dc), "no router would remain outside of quiet data centres")
}

// quietAfter tells which targets would be quiet with the plan in force.
func (m *maker) quietAfter() func(*topology.Target) bool {
	targets := make(map[topology.TargetID]bool)
	for _, t := range m.Spec.Targets {
		targets[t] = true
	}
	return func(t *topology.Target) bool {
		return targets[t.ID] || t.DataCentre == m.Spec.DataCentre || m.View.IsQuiet(t)
	}
}

func sorted[T cmp.Ordered](in []T) []T {
	return slices.Compact(slices.Sorted(slices.Values(in)))
}

func count(n int, what string) string { return fmt.Sprintf("%d %s", n, what) }
