package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peridotmux/peridotmux/internal/faketarget"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

var pair = faketarget.Shape{
	Shards: 1, Replicas: 2, Slots: 2, ColdLimit: 2, Owners: []topology.VMName{"r1"},
}

// slowOne makes the first replica of the shard much slower.
func slowOne(tg *topology.Target) *faketarget.Target {
	f := faketarget.Steady(service, 2)(tg)
	if tg.ID == "g/000-0" {
		f.ServiceTime = func() time.Duration { return 30 * service }
	}
	return f
}

func (f *fixture) startedAt(id topology.TargetID) int {
	n := 0
	f.targets.Edit(f.top.Target(id), func(ft *faketarget.Target) { n = len(ft.Started) })
	return n
}

// TestSlowTargetIsEjectedProbedAndReadmitted gives up late searches, as the
// entry does when a hedge has won.
func TestSlowTargetIsEjectedProbedAndReadmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, pair, slowOne)
		impatient := func() {
			ctx, cancel := context.WithTimeout(f.ctx, 3*service)
			defer cancel()
			f.routers["r1"].owner.Do(ctx, &pb.SubRequest{
				Shard: "g/000", RequestId: "q", IndexVersion: 1, BudgetUs: 400_000,
			})
		}
		for range 100 {
			impatient()
		}
		if slow := f.startedAt("g/000-0"); slow > 12 {
			t.Errorf("the slow target got %d of 100 searches", slow)
		}
		f.targets.Edit(f.top.Target("g/000-0"), func(ft *faketarget.Target) {
			ft.ServiceTime = func() time.Duration { return service }
		})
		time.Sleep(probeMax)
		before := f.startedAt("g/000-0")
		for range 200 {
			impatient()
		}
		if back := f.startedAt("g/000-0") - before; back < 50 {
			t.Errorf("after its recovery the target got %d of 200 searches", back)
		}
	})
}

func TestOwnerWithStalledTargetsGivesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := pair
		one.Replicas = 1
		f := newFixture(t, one, faketarget.Steady(service, 2))
		for range 5 {
			f.ask("r1", "g/000", 400*time.Millisecond)
		}
		f.targets.Edit(f.top.Target("g/000-0"), func(ft *faketarget.Target) {
			ft.ServiceTime = func() time.Duration { return 20 * service }
		})
		go f.ask("r1", "g/000", time.Second)
		time.Sleep(4 * service)
		begun := time.Now()
		r := f.ask("r1", "g/000", time.Second)
		if r.GetReason() != pb.SubReason_SUB_REASON_NO_TARGET || r.GetSlots() != 0 || time.Since(begun) > 0 {
			t.Errorf("got %v after %v", r, time.Since(begun))
		}
		r = f.routers["r1"].owner.Do(f.ctx, &pb.SubRequest{
			Shard: "g/000", RequestId: "q", IndexVersion: 1, BudgetUs: 900_000, Insist: true,
		})
		if r.GetStatus() != pb.SubStatus_SUB_STATUS_OK {
			t.Errorf("with insist: %v", r)
		}
	})
}

// TestHedgeGoesToAnotherTarget asks one owner twice for the same request.
func TestHedgeGoesToAnotherTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, pair, faketarget.Steady(service, 2))
		for range 3 {
			q := &pb.SubRequest{Shard: "g/000", RequestId: "q", IndexVersion: 1, BudgetUs: 400_000}
			first := make(chan *pb.SubReply, 1)
			go func() { first <- f.routers["r1"].owner.Do(f.ctx, q) }()
			time.Sleep(service / 4)
			h := f.routers["r1"].owner.Do(f.ctx, &pb.SubRequest{
				Shard: "g/000", RequestId: "q", IndexVersion: 1, BudgetUs: 400_000, Hedge: true,
			})
			if a, b := (<-first).GetTarget(), h.GetTarget(); a == b || b == "" {
				t.Errorf("the first went to %q, the hedge to %q", a, b)
			}
		}
	})
}

func TestHedgeNeverSharesATarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := pair
		one.Replicas = 1
		f := newFixture(t, one, faketarget.Steady(service, 2))
		go f.ask("r1", "g/000", 400*time.Millisecond)
		time.Sleep(service / 4)
		h := f.routers["r1"].owner.Do(f.ctx, &pb.SubRequest{
			Shard: "g/000", RequestId: "q", IndexVersion: 1, BudgetUs: 400_000, Hedge: true,
		})
		if h.GetStatus() != pb.SubStatus_SUB_STATUS_NOT_STARTED || f.startedAt("g/000-0") != 1 {
			t.Errorf("got %v", h)
		}
	})
}

// TestUnseenRestartLetsOnlyTheColdLimitPass asks about three searches that a
// warm target was to get at once when its idle connections turn out closed.
func TestUnseenRestartLetsOnlyTheColdLimitPass(t *testing.T) {
	r := &replica{ramp: serveFor(NewRamp(limits), 1, service, 400)}
	s := &shard{replicas: []*replica{r}}
	var runs []*running
	for range 3 {
		runs = append(runs, r.begin("q", time.Now()))
	}
	for i, run := range runs {
		if got := s.closedIdle(r, run); got != (i == 0) {
			t.Errorf("search %d: %v", i, got)
		}
	}
	if r.ramp.Limit() != limits.ColdLimit {
		t.Errorf("limit %d", r.ramp.Limit())
	}
}

// TestEqualTargetsAreTriedInTurn has no load at all, so that only ties decide.
// Whatever the order in which the owner holds its targets, each gets a part.
func TestEqualTargetsAreTriedInTurn(t *testing.T) {
	for range 10 {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, pair, faketarget.Steady(service, 2))
			for range 40 {
				f.ask("r1", "g/000", 400*time.Millisecond)
			}
			for _, id := range []topology.TargetID{"g/000-0", "g/000-1"} {
				if n := f.startedAt(id); n < 10 {
					t.Fatalf("%s got %d of 40 searches", id, n)
				}
			}
		})
	}
}
