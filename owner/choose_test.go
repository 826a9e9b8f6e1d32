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

var pairShape = faketarget.Shape{
	Shards: 1, Replicas: 2, Slots: 2, ColdLimit: 2, Owners: []topology.VMName{"r1"},
}

// slowFirstReplica makes the first replica of the shard 30 times slower.
func slowFirstReplica(tg *topology.Target) *faketarget.Target {
	f := faketarget.Steady(service, 2)(tg)
	if tg.ID == "g/000-0" {
		f.ServiceTime = func() time.Duration { return 30 * service }
	}
	return f
}

// startedAt returns the number of searches that a target has started.
func (f *fixture) startedAt(id topology.TargetID) int {
	n := 0
	f.targets.Edit(f.top.Target(id), func(ft *faketarget.Target) { n = len(ft.Started) })
	return n
}

// A slow target must not keep getting searches, and must get its share again
// after it has recovered. The test abandons late searches, as the entry does
// when a hedge has won, so the owner never sees their full duration.
func TestSlowTargetIsEjectedProbedAndReadmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, pairShape, slowFirstReplica)
		sendAbandoned := func() {
			ctx, cancel := context.WithTimeout(f.ctx, 3*service)
			defer cancel()
			f.routers["r1"].owner.Do(ctx, &pb.SubRequest{
				Shard: "g/000", RequestId: "q", IndexVersion: 1, BudgetUs: 400_000,
			})
		}
		for range 100 {
			sendAbandoned()
		}
		if slow := f.startedAt("g/000-0"); slow > 12 {
			t.Errorf("slow target got %d of 100 searches, want at most 12", slow)
		}
		f.targets.Edit(f.top.Target("g/000-0"), func(ft *faketarget.Target) {
			ft.ServiceTime = func() time.Duration { return service }
		})
		time.Sleep(maxProbeInterval)
		before := f.startedAt("g/000-0")
		for range 200 {
			sendAbandoned()
		}
		if back := f.startedAt("g/000-0") - before; back < 50 {
			t.Errorf("recovered target got %d of 200 searches, want at least 50", back)
		}
	})
}

// While the only target is stalled, further searches must be refused at once,
// so that the entry can try another owner, instead of waiting in the queue. A
// search with Insist set must still run here.
func TestOwnerWithStalledTargetsRedirects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := pairShape
		one.Replicas = 1
		f := newFixture(t, one, faketarget.Steady(service, 2))
		for range 5 {
			f.send("r1", "g/000", 400*time.Millisecond)
		}
		f.targets.Edit(f.top.Target("g/000-0"), func(ft *faketarget.Target) {
			ft.ServiceTime = func() time.Duration { return 20 * service }
		})
		go f.send("r1", "g/000", time.Second)
		time.Sleep(4 * service)
		begun := time.Now()
		r := f.send("r1", "g/000", time.Second)
		if r.GetReason() != pb.SubReason_SUB_REASON_NO_TARGET || r.GetSlots() != 0 || time.Since(begun) > 0 {
			t.Errorf("stalled target: got %v after %v, want NO_TARGET without slots at once", r, time.Since(begun))
		}
		r = f.routers["r1"].owner.Do(f.ctx, &pb.SubRequest{
			Shard: "g/000", RequestId: "q", IndexVersion: 1, BudgetUs: 900_000, Insist: true,
		})
		if r.GetStatus() != pb.SubStatus_SUB_STATUS_OK {
			t.Errorf("with Insist set: got %v, want status OK", r)
		}
	})
}

// A hedge sent to the same owner must not run at the target that already runs
// the first attempt.
func TestHedgeGoesToAnotherTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, pairShape, faketarget.Steady(service, 2))
		for range 3 {
			q := &pb.SubRequest{Shard: "g/000", RequestId: "q", IndexVersion: 1, BudgetUs: 400_000}
			first := make(chan *pb.SubReply, 1)
			go func() { first <- f.routers["r1"].owner.Do(f.ctx, q) }()
			time.Sleep(service / 4)
			h := f.routers["r1"].owner.Do(f.ctx, &pb.SubRequest{
				Shard: "g/000", RequestId: "q", IndexVersion: 1, BudgetUs: 400_000, Hedge: true,
			})
			if a, b := (<-first).GetTarget(), h.GetTarget(); a == b || b == "" {
				t.Errorf("first attempt ran at %q, hedge at %q, want two different targets", a, b)
			}
		}
	})
}

// Without a second replica, a hedge must be refused instead of running at the
// target of the first attempt.
func TestHedgeNeverSharesATarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := pairShape
		one.Replicas = 1
		f := newFixture(t, one, faketarget.Steady(service, 2))
		go f.send("r1", "g/000", 400*time.Millisecond)
		time.Sleep(service / 4)
		h := f.routers["r1"].owner.Do(f.ctx, &pb.SubRequest{
			Shard: "g/000", RequestId: "q", IndexVersion: 1, BudgetUs: 400_000, Hedge: true,
		})
		if h.GetStatus() != pb.SubStatus_SUB_STATUS_NOT_STARTED || f.startedAt("g/000-0") != 1 {
			t.Errorf("hedge: got %v, want NOT_STARTED and one search at the target", h)
		}
	})
}

// A warm target may have restarted unnoticed: its idle connections turn out
// closed when three searches are sent at once. Only the searches within the
// cold limit may still be sent.
func TestUndetectedRestartAdmitsOnlyColdLimit(t *testing.T) {
	r := &replica{ramp: serveFor(NewRamp(limits), 1, service, 400)}
	s := &shard{replicas: []*replica{r}}
	var runs []*inFlightSearch
	for range 3 {
		runs = append(runs, r.begin("q", time.Now()))
	}
	for i, run := range runs {
		if got := s.allowReconnect(r, run); got != (i == 0) {
			t.Errorf("search %d: allowReconnect returned %v", i, got)
		}
	}
	if r.ramp.Limit() != limits.ColdLimit {
		t.Errorf("limit %d, want the cold limit", r.ramp.Limit())
	}
}

// Without load, equal targets differ only in ties. Each must get a share of the
// searches, in whatever order the owner holds its targets.
func TestEqualTargetsAreTriedInTurn(t *testing.T) {
	for range 10 {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, pairShape, faketarget.Steady(service, 2))
			for range 40 {
				f.send("r1", "g/000", 400*time.Millisecond)
			}
			for _, id := range []topology.TargetID{"g/000-0", "g/000-1"} {
				if n := f.startedAt(id); n < 10 {
					t.Fatalf("%s got %d of 40 searches, want at least 10", id, n)
				}
			}
		})
	}
}
