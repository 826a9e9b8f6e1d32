package owner

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peridotmux/peridotmux/internal/faketarget"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

// Health pages may be wrong. Pages that report random drains, processes and
// versions must neither fail searches nor change the index versions in replies.
func TestWrongHealthPagesTakeNoTargetOutOfService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(8, 8))
		f := newFixture(t, pairShape, func(tg *topology.Target) *faketarget.Target {
			ft := faketarget.Steady(service, 2)(tg)
			ft.OverrideHealth = func(h target.Health) target.Health {
				if h.Process = uint64(1 + rng.IntN(3)); ft.Started != nil {
					h.Versions = []uint64{uint64(rng.IntN(9))}
				}
				h.Draining, h.Cold, h.InFlight = true, rng.IntN(2) == 0, 99
				return h
			}
			return ft
		})
		for range 100 {
			r := f.send("r1", "g/000", 400*time.Millisecond)
			if r.GetStatus() != pb.SubStatus_SUB_STATUS_OK || len(r.GetVersions()) != 1 || r.GetVersions()[0] != 1 {
				t.Fatalf("got %v, want status OK and version 1 only", r)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// The index versions of targets that were assigned after the owner's start must be
// known within a few milliseconds, not only after the next health interval: until
// then every query is refused for want of a common version.
func TestVersionsOfNewTargetsAreKnownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shape := pairShape
		shape.Owners = []topology.VMName{"r1", "r2"}
		f := newFixture(t, shape, faketarget.Steady(service, 2))
		time.Sleep(healthInterval / 5)
		f.assign("r2", 50)
		time.Sleep(healthInterval / 5)
		r := f.routers["r2"].owner.Do(t.Context(), &pb.SubRequest{Shard: "g/000"})
		if len(r.GetVersions()) == 0 {
			t.Fatalf("no index versions known: %v", r)
		}
	})
}
