package main

import (
	"math"
	"strings"
	"testing"

	"github.com/peridotmux/peridotmux/control/state"
)

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

func TestSumsUseTheStatesLimits(t *testing.T) {
	l := state.DefaultLimits()
	if l.Keys != claimsKept || l.Intents != intentsKept {
		t.Fatalf("%+v", l)
	}
}

func TestPageIsWrittenFromAnyFigures(t *testing.T) {
	f := &figures{Placed: []Placed{{Replicas: threeReplicas}, {Replicas: manyReplicas}}}
	line := Slope{Key: "key", Points: []Point{{1, 1}, {2, 2}}, PerX: 1}
	f.Today = Today{Shards: 27, Targets: 89, QueryMS: 1}
	for _, s := range []*Slope{
		&f.FanOutProcessor, &f.FanOutBytes, &f.OwnersProcessor, &f.OwnersMessages, &f.SearchProcessor, &f.WholePath,
		&f.StreamMemory, &f.TargetMemory, &f.RenewalProcessor, &f.RenewalBytes, &f.DeltaBytes, &f.WholeBytes,
		&f.DeploymentBytes, &f.PushTime, &f.PushProcessor, &f.PlacementTime, &f.LeaderIdle, &f.StateMemory,
		&f.ClaimMemory, &f.LogBytes, &f.IntentMemory, &f.GroupIdle, &f.GroupIdleBytes, &f.ConfirmProcessor, &f.ConfirmBytes,
		&f.ProposeTime, &f.DiskBytes, &f.LoadTime, &f.SnapshotBytes, &f.ReplayTime,
	} {
		*s = line
	}
	var out strings.Builder
	if err := writePage(&out, work(f)); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"NaN", "Inf", "<no value>"} {
		if strings.Contains(out.String(), bad) {
			t.Errorf("the page has %s", bad)
		}
	}
}

func TestSmallTrialsRun(t *testing.T) {
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
	if err := w.ask(); err != nil {
		t.Error(err)
	}
}
