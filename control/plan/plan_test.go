package plan_test

import (
	"slices"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/control/controltest"
	"github.com/peridotmux/peridotmux/control/plan"
	"github.com/peridotmux/peridotmux/topology"
)

var now = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func newView() *board.View {
	return &board.View{
		Topology: topology.NewIndex(controltest.Deployment(4, 3, "bern-a", "olten-b", "aarau-c")),
		Routers: map[topology.VMName]board.Router{
			"vm-1": {VM: topology.VM{Name: "vm-1", DataCentre: "bern-a"}},
			"vm-2": {VM: topology.VM{Name: "vm-2", DataCentre: "olten-b"}},
		},
		QuietDCs: map[topology.DataCentre]board.Quiet{}, QuietTargets: map[topology.TargetID]board.Quiet{},
		NonIdempotent: map[topology.KindName]bool{},
	}
}

// targetsOf returns the replicas of one shard of newView.
func targetsOf(shard int) []topology.TargetID {
	x := newView().Topology
	var out []topology.TargetID
	for _, t := range x.Replicas(x.Shards()[shard]) {
		out = append(out, t.ID)
	}
	return out
}

// An unsafe or invalid intent must be refused with its reason, so that it can't
// take a shard's last replicas, overload the remaining ones, or leave no
// router. A load report that covers only a part of the targets must not be
// used.
func TestPlanRefusalReasons(t *testing.T) {
	quietOlten := func(v *board.View) { v.QuietDCs["olten-b"] = board.Quiet{Intent: "i-1"} }
	cases := []struct {
		name  string
		spec  api.IntentSpec
		view  func(*board.View)
		loads map[topology.GroupName]api.ReportedLoads
		want  []api.PlanReason
	}{
		{name: "one data centre", spec: api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: "bern-a"}},
		{
			name: "two thirds of the slots", spec: api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: "aarau-c"},
			view: quietOlten, want: []api.PlanReason{api.PlanInsufficientCapacity},
		},
		{
			name: "two thirds at a low load", spec: api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: "aarau-c"},
			view: quietOlten, loads: map[topology.GroupName]api.ReportedLoads{"desk": {Busy: 4, Open: 36}},
		},
		{
			name: "a partial load report", spec: api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: "aarau-c"},
			view: quietOlten, loads: map[topology.GroupName]api.ReportedLoads{"desk": {Busy: 1, Open: 20}},
			want: []api.PlanReason{api.PlanInsufficientCapacity},
		},
		{
			name: "one third at a high load", spec: api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: "bern-a"},
			loads: map[topology.GroupName]api.ReportedLoads{"desk": {Busy: 30, Open: 36}},
			want:  []api.PlanReason{api.PlanInsufficientCapacity},
		},
		{
			name: "all replicas", spec: api.IntentSpec{Kind: api.IntentTakeOut, Targets: targetsOf(0)},
			want: []api.PlanReason{api.PlanNoReplica, api.PlanInsufficientCapacity},
		},
		{
			name: "all replicas leave", spec: api.IntentSpec{Kind: api.IntentLeave, Targets: targetsOf(0)},
			want: []api.PlanReason{api.PlanNoReplica, api.PlanInsufficientCapacity},
		},
		{
			name: "the last routers", spec: api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: "bern-a"},
			view: func(v *board.View) { delete(v.Routers, "vm-2") }, want: []api.PlanReason{api.PlanNoRouter},
		},
		{
			name: "unknown data centre", spec: api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: "mars"},
			want: []api.PlanReason{api.PlanUnknownName},
		},
		{
			name: "quiet already", spec: api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: "olten-b"},
			view: quietOlten, want: []api.PlanReason{api.PlanNoEffect},
		},
		{
			name: "not quiet", spec: api.IntentSpec{Kind: api.IntentBringBack, DataCentre: "olten-b"},
			want: []api.PlanReason{api.PlanNoEffect},
		},
		{
			name: "return time passed",
			spec: api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: "bern-a", ReturnAt: now},
			want: []api.PlanReason{api.PlanReturnTimePassed},
		},
		{name: "nothing named", spec: api.IntentSpec{Kind: api.IntentTakeOut}, want: []api.PlanReason{api.PlanBadSpec}},
		{name: "no such intent", spec: api.IntentSpec{Kind: "reboot"}, want: []api.PlanReason{api.PlanBadSpec}},
		{
			name: "unknown kind", spec: api.IntentSpec{Kind: api.IntentNonIdempotent, Kinds: []topology.KindName{"none"}},
			want: []api.PlanReason{api.PlanUnknownName},
		},
		{
			name: "same deployment", spec: api.IntentSpec{Kind: api.IntentConfigure, Deployment: newView().Topology.Deployment},
			want: []api.PlanReason{api.PlanNoEffect},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			v := newView()
			if tc.view != nil {
				tc.view(v)
			}
			p := plan.Make(plan.Input{ID: "p-1", View: v, Base: 7, Now: now, Loads: tc.loads, Spec: &tc.spec})
			var got []api.PlanReason
			for _, r := range p.Refusals {
				got = append(got, r.Reason)
			}
			if !slices.Equal(got, tc.want) || p.Base != 7 || p.Refused() != (len(tc.want) > 0) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// Operators may override risks such as missing capacity, but not an invalid
// intent.
func TestOnlyRisksCanBeOverridden(t *testing.T) {
	spec := api.IntentSpec{
		Kind: api.IntentTakeOut, Targets: targetsOf(0),
		Overrides: []api.PlanReason{api.PlanNoReplica, api.PlanInsufficientCapacity, api.PlanReturnTimePassed},
	}
	p := plan.Make(plan.Input{View: newView(), Now: now, Spec: &spec})
	if p.Refused() || len(p.Refusals) != 2 {
		t.Errorf("refusals: %+v", p.Refusals)
	}
	spec.ReturnAt = now.Add(-time.Second)
	if p := plan.Make(plan.Input{View: newView(), Now: now, Spec: &spec}); !p.Refused() {
		t.Error("a passed return time was overridden")
	}
}

// A plan must show the operator which shards lose replicas and how much
// capacity remains.
func TestPlanReportsLossesAndCapacity(t *testing.T) {
	spec := api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: "bern-a", ReturnAt: now.Add(time.Hour)}
	p := plan.Make(plan.Input{View: newView(), Now: now, Spec: &spec})
	if p.ShardsTouched != 4 || p.Shards[0] != (api.ShardLoss{Shard: "desk/0000", Group: "desk", Loses: 1, Left: 2}) {
		t.Errorf("shards: %d %+v", p.ShardsTouched, p.Shards)
	}
	want := api.GroupCapacity{Group: "desk", Shard: "desk/0000", Slots: 9, SlotsLeft: 6, Needed: 4.5}
	if len(p.Groups) != 1 || p.Groups[0] != want || !p.ReturnAt.Equal(spec.ReturnAt) {
		t.Errorf("groups: %+v", p.Groups)
	}
}

// A new deployment must be validated like any other intent, and its changes
// must be listed by name.
func TestConfigureListsChangesAndRefusesBadDeployments(t *testing.T) {
	good := func() *topology.Deployment { return controltest.Deployment(4, 3, "bern-a", "olten-b", "aarau-c") }
	cases := []struct {
		name   string
		edit   func(*topology.Deployment)
		change string
		want   api.PlanReason
	}{
		{"budget", func(d *topology.Deployment) { d.HedgeBudget = 0.02 }, "hedge budget 0 -> 0.02", ""},
		{"slots", func(d *topology.Deployment) { d.Groups[0].Slots = 2 }, "group desk changed", ""},
		{"target gone", func(d *topology.Deployment) { d.Targets = d.Targets[1:] }, "target desk-0000-0 removed", ""},
		{"no replica", func(d *topology.Deployment) { d.Targets = d.Targets[3:] }, "", api.PlanNoReplica},
		{"target twice", func(d *topology.Deployment) { d.Targets[1].ID = d.Targets[0].ID }, "", api.PlanBadConfig},
		{"unknown shard", func(d *topology.Deployment) { d.Targets[1].Shard = "x" }, "", api.PlanBadConfig},
		{"unknown data centre", func(d *topology.Deployment) { d.Targets[1].DataCentre = "x" }, "", api.PlanBadConfig},
		{"other region", func(d *topology.Deployment) { d.Region = "there" }, "", api.PlanBadConfig},
		{"no deadline", func(d *topology.Deployment) { d.Kinds[0].Deadline = 0 }, "", api.PlanBadConfig},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := good()
			tc.edit(d)
			p := plan.Make(plan.Input{View: newView(), Now: now, Spec: &api.IntentSpec{Kind: api.IntentConfigure, Deployment: d}})
			if tc.want != "" {
				if len(p.Refusals) == 0 || p.Refusals[0].Reason != tc.want {
					t.Errorf("refusals: %+v", p.Refusals)
				}
				return
			}
			if p.Refused() || !slices.Contains(p.Changes, tc.change) {
				t.Errorf("changes %v, refusals %+v", p.Changes, p.Refusals)
			}
		})
	}
}
