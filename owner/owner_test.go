package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/internal/faketarget"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

// service is the service time of the fake targets.
const service = 20 * time.Millisecond

// fixture holds routers, each with its own board and lease, over the same fake
// targets.
type fixture struct {
	t       *testing.T
	ctx     context.Context
	targets *faketarget.Searcher
	routers map[topology.VMName]*router
	top     *topology.Index
}

type router struct {
	board *board.Board
	lease *lease.Lease
	owner *Owner
	// cut is true while the router is unreachable and its lease isn't renewed.
	cut atomic.Bool
}

func newFixture(t *testing.T, shape faketarget.Shape, maker func(*topology.Target) *faketarget.Target) *fixture {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &fixture{t: t, ctx: ctx, targets: faketarget.New(maker), routers: make(map[topology.VMName]*router)}
	f.top = topology.NewIndex(faketarget.Deployment(shape))
	for _, name := range shape.Owners {
		r := &router{board: board.New(), lease: lease.New(time.Now())}
		r.lease.Extend(time.Now(), 0)
		r.owner = New(Config{
			VM: name, Board: r.board, Lease: r.lease, Searcher: f.targets,
			FetchReleased: func(ctx context.Context, previous topology.VMName, q *pb.ReleasedRequest) (*pb.ReleasedResponse, error) {
				if f.routers[previous].cut.Load() {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return f.routers[previous].owner.Released(ctx, q)
			},
		})
		r.board.Update(faketarget.View(shape))
		f.routers[name] = r
		go r.owner.Run(ctx)
	}
	go f.renew()
	synctest.Wait()
	return f
}

// renew extends the leases of all routers that aren't cut off.
func (f *fixture) renew() {
	for f.ctx.Err() == nil {
		for _, r := range f.routers {
			if !r.cut.Load() {
				r.lease.Extend(time.Now(), 0)
			}
		}
		select {
		case <-f.ctx.Done():
		case <-time.After(lease.RenewInterval):
		}
	}
}

// assign assigns every target to the named router on all boards whose router
// isn't cut off.
func (f *fixture) assign(to topology.VMName, epoch uint64) {
	for _, r := range f.routers {
		if r.cut.Load() {
			continue
		}
		r.board.Update(func(v *board.View) {
			next := make(map[topology.TargetID]board.Assignment, len(v.Assignments))
			for id, a := range v.Assignments {
				next[id] = board.Assignment{Owner: to, Previous: a.Owner, Epoch: epoch}
			}
			v.Assignments, v.Index = next, epoch
		})
	}
}

// send runs one sub-request at a router.
func (f *fixture) send(vm topology.VMName, shard topology.ShardID, budget time.Duration) *pb.SubReply {
	return f.routers[vm].owner.Do(f.ctx, &pb.SubRequest{
		Shard: string(shard), Kind: "wide", RequestId: "q", IndexVersion: 1, BudgetUs: uint64(budget.Microseconds()),
	})
}

// runLoad sends sub-requests for random shards to random routers until stop.
func (f *fixture) runLoad(workers int, names []topology.VMName, stop time.Time) {
	var wg sync.WaitGroup
	for w := range workers {
		rng := rand.New(rand.NewPCG(uint64(w), 3))
		wg.Go(func() {
			for time.Now().Before(stop) {
				shards := f.top.Shards()
				f.send(names[rng.IntN(len(names))], shards[rng.IntN(len(shards))], 400*time.Millisecond)
				time.Sleep(time.Duration(rng.IntN(4)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// each calls look for every target.
func (f *fixture) each(look func(*topology.Target, *faketarget.Target)) {
	for i := range f.top.Deployment.Targets {
		t := &f.top.Deployment.Targets[i]
		f.targets.Edit(t, func(ft *faketarget.Target) { look(t, ft) })
	}
}

// checkNoOverload fails the test if a target ever had more searches in flight
// than it carries.
func (f *fixture) checkNoOverload() {
	f.t.Helper()
	f.each(func(t *topology.Target, ft *faketarget.Target) {
		if ft.Overloads > 0 {
			f.t.Errorf("%s carries %d searches but had %d in flight (%d overloads)", t.ID, ft.Capacity, ft.MaxInFlight, ft.Overloads)
		}
	})
}

var twoOwners = faketarget.Shape{
	Shards: 4, Replicas: 1, Slots: 3, ColdLimit: 1, WarmAfter: 200 * time.Millisecond,
	Owners: []topology.VMName{"r1", "r2"},
}

// While targets move between two loaded routers, a new owner must not start
// before the old one has finished, or a target gets more searches than it
// carries.
func TestLimitsHoldWhileOwnersChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, twoOwners, faketarget.Steady(service, 3))
		names := []topology.VMName{"r1", "r2"}
		go func() {
			for i := range 40 {
				time.Sleep(237 * time.Millisecond)
				f.assign(names[i%2], uint64(20+i))
			}
		}()
		f.runLoad(60, names, time.Now().Add(10*time.Second))
		f.checkNoOverload()
		f.each(func(tg *topology.Target, ft *faketarget.Target) {
			if len(ft.Started) < 100 {
				t.Errorf("%s ran only %d searches, want at least 100", tg.ID, len(ft.Started))
			}
		})
	})
}

// The targets of a router that is cut off and can't learn of the change are
// assigned to another router. The new owner must wait for the lease to expire,
// and not much longer.
func TestCutOffOwnerStopsBeforeTheNextOneStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, twoOwners, faketarget.Steady(service, 3))
		f.assign("r1", 20)
		go f.runLoad(30, []topology.VMName{"r1"}, time.Now().Add(12*time.Second))
		time.Sleep(5 * time.Second)
		f.routers["r1"].cut.Store(true)
		f.assign("r2", 30)
		learned := time.Now()
		var first time.Time
		for first.IsZero() {
			if r := f.send("r2", "g/000", 400*time.Millisecond); r.GetStatus() == pb.SubStatus_SUB_STATUS_OK {
				first = time.Now()
			}
			time.Sleep(10 * time.Millisecond)
		}
		if wait := first.Sub(learned); wait < lease.Duration || wait > lease.Duration+time.Second {
			t.Errorf("new owner started %v after the assignment, want one lease", wait)
		}
		time.Sleep(4 * time.Second)
		f.checkNoOverload()
	})
}

// When the previous owner is reachable, the new one must not wait for the lease
// and must keep the limit that the previous owner has proved.
func TestReleasedTargetIsTakenOverAtOnceAndWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, twoOwners, faketarget.Steady(service, 3))
		f.assign("r1", 20)
		time.Sleep(lease.Duration)
		f.runLoad(30, []topology.VMName{"r1"}, time.Now().Add(2*time.Second))
		f.assign("r2", 30)
		start := time.Now()
		for f.send("r2", "g/000", 400*time.Millisecond).GetStatus() != pb.SubStatus_SUB_STATUS_OK {
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(start); took > 500*time.Millisecond {
			t.Errorf("hand-over took %v, want at most 500ms", took)
		}
		if got := f.send("r2", "g/000", 400*time.Millisecond).GetSlots(); got != 3 {
			t.Errorf("new owner allows %d slots, want the 3 proved by the previous owner", got)
		}
		f.checkNoOverload()
	})
}

// A router frozen for longer than its lease must not start a search when it
// resumes.
func TestFrozenRouterStartsNothingWhenItWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, twoOwners, faketarget.Steady(service, 3))
		f.routers["r1"].cut.Store(true)
		f.routers["r2"].cut.Store(true)
		time.Sleep(10 * time.Second)
		for _, vm := range []topology.VMName{"r1", "r2"} {
			for _, s := range f.top.Shards() {
				r := f.send(vm, s, 400*time.Millisecond)
				if r.GetStatus() != pb.SubStatus_SUB_STATUS_NOT_STARTED {
					t.Errorf("%s at %s: got %v, want NOT_STARTED", s, vm, r)
				}
			}
		}
		f.each(func(tg *topology.Target, ft *faketarget.Target) {
			if len(ft.Started) > 0 {
				t.Errorf("%s ran %v, want no searches", tg.ID, ft.Started)
			}
		})
	})
}

// A job that waited in the queue while the router was frozen must not be sent
// after the lease has expired.
func TestQueuedJobIsNotSentAfterLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := twoOwners
		one.Shards, one.Slots = 1, 1
		f := newFixture(t, one, faketarget.Steady(10*time.Second, 1))
		f.routers["r1"].cut.Store(true)
		go f.send("r1", "g/000", 20*time.Second)
		time.Sleep(time.Millisecond)
		r := f.send("r1", "g/000", 20*time.Second)
		if r.GetReason() != pb.SubReason_SUB_REASON_NO_LEASE || r.GetStarted() != 0 {
			t.Errorf("got %v, want NO_LEASE and no start", r)
		}
		f.checkNoOverload()
	})
}

// Once a data centre is quiet, its targets must get no more searches, and the
// targets elsewhere must keep getting them.
func TestQuietTargetsGetNoSearches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wide := twoOwners
		wide.Replicas = 3
		f := newFixture(t, wide, faketarget.Steady(service, 3))
		go f.runLoad(40, wide.Owners, time.Now().Add(3*time.Second))
		time.Sleep(time.Second)
		quiet := time.Now()
		for _, r := range f.routers {
			r.board.Update(func(v *board.View) {
				v.QuietDCs = map[topology.DataCentre]board.Quiet{"a": {Intent: "i"}}
			})
		}
		time.Sleep(3 * time.Second)
		f.each(func(tg *topology.Target, ft *faketarget.Target) {
			if tg.DataCentre == "a" && ft.LastStart.After(quiet) {
				t.Errorf("quiet target %s got a search %v after the change", tg.ID, ft.LastStart.Sub(quiet))
			}
			if tg.DataCentre != "a" && ft.LastStart.Before(quiet) {
				t.Errorf("%s got no search after the change", tg.ID)
			}
		})
	})
}

// When all targets are cold at once, as after a restart of the whole
// deployment, the load must not push any of them over the cold limit.
func TestAllTargetsColdAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := faketarget.Shape{
			Shards: 30, Replicas: 3, Slots: 3, ColdLimit: 1, WarmAfter: 5 * time.Second,
			Owners: []topology.VMName{"r1", "r2", "r3"},
		}
		f := newFixture(t, all, faketarget.Steady(service, 1))
		f.runLoad(300, all.Owners, time.Now().Add(2*time.Second))
		f.checkNoOverload()
	})
}

// After a lost connection the target may still be running the search, so its
// slot must stay taken until the search's deadline.
func TestStartedSearchKeepsItsSlotUntilTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := twoOwners
		one.Shards, one.Slots = 1, 1
		f := newFixture(t, one, func(*topology.Target) *faketarget.Target {
			return &faketarget.Target{Process: 1, Versions: []uint64{1}, Capacity: 1, OverrideOutcome: func(target.Search) (target.Outcome, bool) {
				return target.Outcome{Status: target.Unknown, Reason: target.ReasonConnectionLost}, true
			}}
		})
		start := time.Now()
		f.send("r1", "g/000", 300*time.Millisecond)
		f.send("r1", "g/000", time.Second)
		if took := time.Since(start); took < 300*time.Millisecond {
			t.Errorf("second search started after %v, before the first one's deadline", took)
		}
	})
}

// A router that shuts down waits for AllHandedOver, because a next owner that
// has not received the release would wait for a full lease.
func TestAllHandedOverWaitsForNextOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, twoOwners, faketarget.Steady(service, 3))
		f.assign("r1", 20)
		time.Sleep(2 * lease.Duration)
		f.routers["r2"].cut.Store(true)
		f.assign("r2", 30)
		time.Sleep(time.Second)
		if f.routers["r1"].owner.AllHandedOver() {
			t.Error("AllHandedOver is true before the next owner has polled")
		}
		f.routers["r2"].cut.Store(false)
		f.assign("r2", 31)
		time.Sleep(time.Second)
		if !f.routers["r1"].owner.AllHandedOver() {
			t.Error("AllHandedOver is false after the next owner has polled")
		}
	})
}
