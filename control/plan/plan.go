// Package plan computes what an intent would change, and whether the remaining
// targets can carry the load. Plans depend only on a view and an intent.
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
	// AssumedLoad is the share of a shard's slots assumed to be in use if no
	// load is reported.
	AssumedLoad = 0.5
	// minLoadCoverage is the share of a group's slots that reports must cover
	// for the reported load to be used.
	minLoadCoverage = 0.9
	// MaxListedShards is the maximum number of shards listed in a plan.
	MaxListedShards = 64
	// MaxListedChanges is the maximum number of deployment changes listed in a
	// plan.
	MaxListedChanges = 64
)

// Input is what a plan is made from.
type Input struct {
	ID   string
	View *board.View
	// Base is the version of View that the plan depends on.
	Base uint64
	Now  time.Time
	// Loads is the reported load by group. For groups without a reported load,
	// AssumedLoad is used.
	Loads map[topology.GroupName]api.ReportedLoads
	Spec  *api.IntentSpec
}

// Make plans an intent. Reasons against it are listed in the plan's refusals.
func Make(in Input) *api.Plan {
	p := &planner{Input: in, plan: &api.Plan{ID: in.ID, Base: in.Base}}
	switch in.Spec.Kind {
	case api.IntentConfigure:
		p.configure()
	case api.IntentTakeOut, api.IntentBringBack, api.IntentLeave, api.IntentNonIdempotent:
		p.planOnDeployment()
	default:
		p.refuse(api.PlanBadSpec, string(in.Spec.Kind), "there is no such kind of intent")
	}
	p.markOverrides()
	return p.plan
}

// planner holds the working state of one call of Make.
type planner struct {
	Input
	plan *api.Plan
}

// refuse adds a reason against the plan.
func (p *planner) refuse(reason api.PlanReason, subject, message string) {
	p.plan.Refusals = append(p.plan.Refusals, api.PlanRefusal{
		Reason: reason, Subject: subject, Message: message,
	})
}

// markOverrides marks the refusals that the operator overrides. Only risks can
// be overridden, not invalid or impossible intents.
func (p *planner) markOverrides() {
	for i := range p.plan.Refusals {
		r := &p.plan.Refusals[i]
		risk := r.Reason == api.PlanNoReplica || r.Reason == api.PlanInsufficientCapacity || r.Reason == api.PlanNoRouter
		r.Overridden = risk && slices.Contains(p.Spec.Overrides, r.Reason)
	}
}

// planOnDeployment plans the kinds of intents that need a deployment.
func (p *planner) planOnDeployment() {
	if p.View.Topology == nil {
		p.refuse(api.PlanBadSpec, "", "there is no deployment yet; state one first")
		return
	}
	switch p.Spec.Kind {
	case api.IntentTakeOut:
		p.takeOut()
	case api.IntentBringBack:
		p.bringBack()
	case api.IntentLeave:
		p.leave()
	default:
		p.nonIdempotent()
	}
}

// takeOut plans to make a data centre or targets quiet, until the return time
// if there is one.
func (p *planner) takeOut() {
	if !p.checkNames() {
		return
	}
	p.checkReturnTime()
	if dc := p.Spec.DataCentre; dc != "" {
		p.plan.QuietDCs = append(p.plan.QuietDCs, dc)
		p.checkRouters(dc)
	}
	p.plan.QuietTargets = sorted(p.Spec.Targets)
	p.plan.ReturnAt = p.Spec.ReturnAt.UTC()
	if p.Spec.ReturnAt.IsZero() {
		p.plan.Notes = append(p.plan.Notes, "stays quiet until an intent brings it back")
	} else {
		p.plan.Notes = append(p.plan.Notes, "returns by itself and starts cold")
	}
	p.checkRemaining(p.View.Topology, p.quietAfter())
}

// leave plans to mark targets as leaving.
func (p *planner) leave() {
	if p.Spec.DataCentre != "" || len(p.Spec.Targets) == 0 {
		p.refuse(api.PlanBadSpec, "", "name the targets that leave")
		return
	}
	if !p.checkNames() {
		return
	}
	p.plan.LeavingTargets = sorted(p.Spec.Targets)
	p.checkRemaining(p.View.Topology, p.quietAfter())
}

// bringBack plans to end the quiet state of a data centre or of targets.
func (p *planner) bringBack() {
	if !p.checkNames() {
		return
	}
	if dc := p.Spec.DataCentre; dc != "" {
		if _, quiet := p.View.QuietDCs[dc]; !quiet {
			p.refuse(api.PlanNoEffect, string(dc), "the data centre isn't quiet")
		}
		p.plan.ReturningDCs = append(p.plan.ReturningDCs, dc)
	}
	for _, t := range p.Spec.Targets {
		if _, quiet := p.View.QuietTargets[t]; !quiet {
			p.refuse(api.PlanNoEffect, string(t), "the target isn't quiet by itself")
		}
	}
	p.plan.ReturningTargets = sorted(p.Spec.Targets)
	p.plan.Notes = append(p.plan.Notes, "what returns starts cold")
}

// nonIdempotent plans to declare kinds of queries as non-idempotent, or to lift
// the declaration.
func (p *planner) nonIdempotent() {
	if len(p.Spec.Kinds) == 0 {
		p.refuse(api.PlanBadSpec, "", "name the kinds of queries")
	}
	for _, k := range p.Spec.Kinds {
		kind := p.View.Topology.Kind(k)
		switch {
		case kind == nil:
			p.refuse(api.PlanUnknownName, string(k), "there is no such kind")
		case p.Spec.Lift != p.View.NonIdempotent[k]:
			p.refuse(api.PlanNoEffect, string(k), "the kind is declared so already")
		}
	}
	if p.Spec.Lift {
		p.plan.Idempotent = sorted(p.Spec.Kinds)
	} else {
		p.plan.NonIdempotent = sorted(p.Spec.Kinds)
	}
}

// checkNames reports whether the intent names at least one data centre or
// target, and only existing ones.
func (p *planner) checkNames() bool {
	s := p.Spec
	if s.DataCentre == "" && len(s.Targets) == 0 {
		p.refuse(api.PlanBadSpec, "", "name a data centre or targets")
		return false
	}
	before := len(p.plan.Refusals)
	if s.DataCentre != "" && !slices.Contains(p.View.Topology.Deployment.DataCentres, s.DataCentre) {
		p.refuse(api.PlanUnknownName, string(s.DataCentre), "there is no such data centre")
	}
	for _, t := range s.Targets {
		if p.View.Topology.Target(t) == nil {
			p.refuse(api.PlanUnknownName, string(t), "there is no such target")
		}
	}
	return len(p.plan.Refusals) == before
}

func (p *planner) checkReturnTime() {
	if at := p.Spec.ReturnAt; !at.IsZero() && !at.After(p.Now) {
		p.refuse(api.PlanReturnTimePassed, at.UTC().Format(time.RFC3339), "the return time has passed")
	}
}

// checkRouters refuses the plan if no router outside of dc could own targets. A
// deployment without routers passes.
func (p *planner) checkRouters(dc topology.DataCentre) {
	if len(p.View.Routers) == 0 {
		return
	}
	for _, r := range p.View.Routers {
		_, quiet := p.View.QuietDCs[r.VM.DataCentre]
		if r.VM.DataCentre != dc && !quiet && !r.Leaving {
			return
		}
	}
	p.refuse(api.PlanNoRouter, string(dc), "no router would remain outside of quiet data centres")
}

// quietAfter returns a function that reports whether a target would be quiet
// with the plan in force.
func (p *planner) quietAfter() func(*topology.Target) bool {
	targets := make(map[topology.TargetID]bool)
	for _, t := range p.Spec.Targets {
		targets[t] = true
	}
	return func(t *topology.Target) bool {
		return targets[t.ID] || t.DataCentre == p.Spec.DataCentre || p.View.IsQuiet(t)
	}
}

// sorted returns the distinct elements of in, sorted.
func sorted[T cmp.Ordered](in []T) []T {
	return slices.Compact(slices.Sorted(slices.Values(in)))
}

func countText(n int, what string) string { return fmt.Sprintf("%d %s", n, what) }
