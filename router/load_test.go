package router

import (
	"testing"

	"github.com/peridotmux/peridotmux/control/controltest"
	"github.com/peridotmux/peridotmux/telemetry"
	"github.com/peridotmux/peridotmux/topology"
)

// TestLoadIsAveragedOverOwnedTargets checks that in-flight and queued work count
// as load, that unknown targets don't, and that the average follows a new sample
// by loadSmoothing.
func TestLoadIsAveragedOverOwnedTargets(t *testing.T) {
	x := topology.NewIndex(controltest.Deployment(2, 2, "bern-a"))
	var m loadMeter
	if loads, cold := m.report(telemetry.OwnerLoad{}, nil); loads != nil || cold != nil {
		t.Error("load reported without a deployment")
	}
	busy := telemetry.OwnerLoad{
		Targets: []telemetry.TargetLoad{
			{Target: "desk-0000-0", InFlight: 2, Limit: 3},
			{Target: "desk-0001-1", InFlight: 1, Limit: 1, Cold: true},
			{Target: "gone", InFlight: 9},
		},
		Queues: []telemetry.ShardQueue{{Shard: "desk/0000", Queued: 3}},
	}
	loads, cold := m.report(busy, x)
	if len(loads) != 1 || loads[0].GetBusy() != 6 || loads[0].GetOpen() != 6 {
		t.Errorf("loads %v", loads)
	}
	if len(cold) != 1 || cold[0] != "desk-0001-1" {
		t.Errorf("cold %v", cold)
	}
	idle := telemetry.OwnerLoad{Targets: []telemetry.TargetLoad{{Target: "desk-0000-0"}}}
	if loads, _ = m.report(idle, x); loads[0].GetBusy() != 6*(1-loadSmoothing) {
		t.Errorf("after one idle sample: %v", loads)
	}
}
