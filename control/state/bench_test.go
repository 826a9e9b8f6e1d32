package state_test

import (
	"fmt"
	"testing"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/controltest"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/topology"
)

// large returns a state at the largest supported size: 470 shards of 10
// replicas, 810 routers, and as many request keys and outcomes as the limits
// allow.
func large(b *testing.B) *applier {
	b.Helper()
	a := newApplier(state.DefaultLimits())
	r := a.submit("deploy", api.IntentSpec{
		Kind: api.IntentConfigure, Deployment: controltest.Deployment(470, 10, dcs...),
	})
	a.confirm("confirm", r.Intent)
	for i := range 810 {
		a.do(state.Command{Router: &state.Router{
			VM: topology.VMName(fmt.Sprintf("vm-%04d", i)), DataCentre: dcs[i%3],
			RPCAddr: "127.0.0.1:1", HTTPAddr: "127.0.0.1:2", Incarnation: 1,
		}})
	}
	var moves []state.Assign
	for s := range 470 {
		for t := range 10 {
			moves = append(moves, state.Assign{
				Target: topology.TargetID(fmt.Sprintf("desk-%04d-%d", s, t)),
				Owner:  topology.VMName(fmt.Sprintf("vm-%04d", s)),
			})
		}
	}
	a.do(state.Command{Assign: moves})
	outcome := make([]byte, 320)
	for i := range 390 {
		claims := make([]state.Claim, 0, 512)
		for k := range 256 {
			c := state.Claim{Key: fmt.Sprintf("request-%d-%d", i, k), VM: "vm-0001", Token: 1}
			claims = append(claims, c)
			c.Settle, c.Outcome = true, outcome
			claims = append(claims, c)
		}
		a.do(state.Command{Claims: claims})
	}
	return a
}

func BenchmarkSnapshot(b *testing.B) {
	a := large(b)
	data, err := a.s.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("take", func(b *testing.B) {
		for b.Loop() {
			_, _ = a.s.Snapshot()
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			if err := state.New(state.DefaultLimits()).Restore(a.index, data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkApplyClaim(b *testing.B) {
	a := newApplier(state.DefaultLimits())
	n := 0
	for b.Loop() {
		n++
		a.claim(state.Claim{Key: fmt.Sprint(n), VM: "vm", Token: uint64(n)})
	}
}
