package main

import (
	"math"
	"strings"
	"testing"

	"github.com/peridotmux/peridotmux/control/state"
)

// Guards against a wrong line: the points lie on 3 + 2x exactly.
func TestFit(t *testing.T) {
	s := Slope{Points: []Point{{1, 5}, {2, 7}, {4, 11}}}
	s.fit()
	if math.Abs(s.Base-3) > 1e-9 || math.Abs(s.PerX-2) > 1e-9 || math.Abs(s.R2-1) > 1e-9 {
		t.Fatalf("%+v", s)
	}
	if s.At(10) != 23 || s.Stretch(8) != 2 {
		t.Fatalf("at %v, stretch %v", s.At(10), s.Stretch(8))
	}
}

func TestNum(t *testing.T) {
	for v, want := range map[float64]string{
		0: "0", 1: "1", 0.01234: "0.0123", 28518.6: "28,519", 1234567: "1,234,567", 135.8: "136", -2.5: "-2.5", 1000: "1,000",
	} {
		if got := num(v); got != want {
			t.Errorf("%v: %s, expected %s", v, got, want)
		}
	}
}

func TestVerdict(t *testing.T) {
	if got := verdict(3, 15); got != "holds, 20 % of the bar" {
		t.Error(got)
	}
	if got := verdict(54, 27); !strings.Contains(got, "2 times the bar") {
		t.Error(got)
	}
}

// Guards against a page computed for other limits than those of control's
// state, after these have changed.
func TestProjectionUsesStateLimits(t *testing.T) {
	l := state.DefaultLimits()
	if l.Keys != maxClaims || l.Intents != maxIntents {
		t.Fatalf("%+v", l)
	}
}

// Guards against a field that the template uses but the projection lacks, and
// against divisions by zero that reach the page.
func TestPageHasNoInvalidNumbers(t *testing.T) {
	m := &measurements{Placed: []PlacementResult{{Replicas: threeReplicas}, {Replicas: manyReplicas}}}
	line := Slope{Key: "key", Points: []Point{{1, 1}, {2, 2}}, PerX: 1}
	m.Today = CurrentSystem{Shards: 27, Targets: 89, QueryMS: 1}
	for _, s := range []*Slope{
		&m.FanOutProcessor, &m.FanOutBytes, &m.OwnersProcessor, &m.OwnersMessages, &m.SearchProcessor, &m.WholePath,
		&m.StreamMemory, &m.TargetMemory, &m.RenewalProcessor, &m.RenewalBytes, &m.DeltaBytes, &m.WholeBytes,
		&m.DeploymentBytes, &m.PushTime, &m.PushProcessor, &m.PlacementTime, &m.LeaderIdle, &m.StateMemory,
		&m.ClaimMemory, &m.LogBytes, &m.IntentMemory, &m.GroupIdle, &m.GroupIdleBytes, &m.ConfirmProcessor, &m.ConfirmBytes,
		&m.ProposeTime, &m.DiskBytes, &m.LoadTime, &m.SnapshotBytes, &m.ReplayTime,
	} {
		*s = line
	}
	var out strings.Builder
	if err := writePage(&out, project(m)); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"NaN", "Inf", "<no value>"} {
		if strings.Contains(out.String(), bad) {
			t.Errorf("the page has %s", bad)
		}
	}
}

// Guards against measurements that have stopped working after a change of the
// packages that they run. The sizes are minimal, since a whole run is long.
func TestSmallMeasurementsRun(t *testing.T) {
	if c, err := measureExchange(2, 8, 4); err != nil || c.batches == 0 || c.bytes == 0 {
		t.Errorf("%+v, %v", c, err)
	}
	if ms, bytes, err := measureRenewals(2); err != nil || bytes == 0 || ms < 0 {
		t.Errorf("%v, %v, %v", ms, bytes, err)
	}
	w, err := newWholePath(4, 2)
	if err != nil {
		t.Fatal(err)
	}
	defer w.close()
	if err := w.query(); err != nil {
		t.Error(err)
	}
}
