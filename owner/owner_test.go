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

const service = 20 * time.Millisecond

// fixture holds routers with boards and leases of their own over the same fake
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
	// cut is true while the router can't be asked and renews no lease.
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

// assign gives every target to the named router, at each board that isn't cut.
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

func (f *fixture) ask(vm topology.VMName, shard topology.ShardID, budget time.Duration) *pb.SubReply {
	return f.routers[vm].owner.Do(f.ctx, &pb.SubRequest{
		Shard: string(shard), Kind: "wide", RequestId: "q", IndexVersion: 1, BudgetUs: uint64(budget.Microseconds()),
	})
}

// load asks all shards again and again at random routers until stop.
func (f *fixture) load(workers int, names []topology.VMName, stop time.Time) {
	var wg sync.WaitGroup
	for w := range workers {
		rng := rand.New(rand.NewPCG(uint64(w), 3))
		wg.Go(func() {
			for time.Now().Before(stop) {
				shards := f.top.Shards()
				f.ask(names[rng.IntN(len(names))], shards[rng.IntN(len(shards))], 400*time.Millisecond)
				time.Sleep(time.Duration(rng.IntN(4)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

func (f *fixture) each(look func(*topology.Target, *faketarget.Target)) {
	for i := range f.top.Deployment.Targets {
		t := &f.top.Deployment.Targets[i]
		f.targets.Edit(t, func(ft *faketarget.Target) { look(t, ft) })
	}
}

func (f *fixture) noOverload() {
	f.t.Helper()
	f.each(func(t *topology.Target, ft *faketarget.Target) {
		if ft.Overloads > 0 {
			f.t.Errorf("%s carries %d but held %d (%d times)", t.ID, ft.Capacity, ft.MaxInFlight, ft.Overloads)
		}
	})
}

var two = faketarget.Shape{
	Shards: 4, Replicas: 1, Slots: 3, ColdLimit: 1, WarmAfter: 200 * time.Millisecond,
	Owners: []topology.VMName{"r1", "r2"},
}

func TestLimitsHoldWhileOwnersChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, two, faketarget.Steady(service, 3))
		names := []topology.VMName{"r1", "r2"}
		go func() {
			for i := range 40 {
				time.Sleep(237 * time.Millisecond)
				f.assign(names[i%2], uint64(20+i))
			}
		}()
		f.load(60, names, time.Now().Add(10*time.Second))
		f.noOverload()
		f.each(func(tg *topology.Target, ft *faketarget.Target) {
			if len(ft.Started) < 100 {
				t.Errorf("%s ran only %d searches", tg.ID, len(ft.Started))
			}
		})
	})
}

// TestCutOffOwnerStopsBeforeTheNextOneStarts gives the targets of a router that
// hears nothing any more to another one.
func TestCutOffOwnerStopsBeforeTheNextOneStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, two, faketarget.Steady(service, 3))
		f.assign("r1", 20)
		go f.load(30, []topology.VMName{"r1"}, time.Now().Add(12*time.Second))
		time.Sleep(5 * time.Second)
		f.routers["r1"].cut.Store(true)
		f.assign("r2", 30)
		learned := time.Now()
		var first time.Time
		for first.IsZero() {
			if r := f.ask("r2", "g/000", 400*time.Millisecond); r.GetStatus() == pb.SubStatus_SUB_STATUS_OK {
				first = time.Now()
			}
			time.Sleep(10 * time.Millisecond)
		}
		if wait := first.Sub(learned); wait < lease.Duration || wait > lease.Duration+time.Second {
			t.Errorf("the new owner started %v after it learned of the assignment", wait)
		}
		time.Sleep(4 * time.Second)
		f.noOverload()
	})
}

func TestReleasedTargetIsTakenOverAtOnceAndWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, two, faketarget.Steady(service, 3))
		f.assign("r1", 20)
		time.Sleep(lease.Duration)
		f.load(30, []topology.VMName{"r1"}, time.Now().Add(2*time.Second))
		f.assign("r2", 30)
		start := time.Now()
		for f.ask("r2", "g/000", 400*time.Millisecond).GetStatus() != pb.SubStatus_SUB_STATUS_OK {
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(start); took > 500*time.Millisecond {
			t.Errorf("the hand-over took %v", took)
		}
		if got := f.ask("r2", "g/000", 400*time.Millisecond).GetSlots(); got != 3 {
			t.Errorf("the new owner allows %d slots, want the 3 that were proved", got)
		}
		f.noOverload()
	})
}

func TestFrozenRouterStartsNothingWhenItWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, two, faketarget.Steady(service, 3))
		f.routers["r1"].cut.Store(true)
		f.routers["r2"].cut.Store(true)
		time.Sleep(10 * time.Second)
		for _, vm := range []topology.VMName{"r1", "r2"} {
			for _, s := range f.top.Shards() {
				r := f.ask(vm, s, 400*time.Millisecond)
				if r.GetStatus() != pb.SubStatus_SUB_STATUS_NOT_STARTED {
					t.Errorf("%s at %s: %v", s, vm, r)
				}
			}
		}
		f.each(func(tg *topology.Target, ft *faketarget.Target) {
			if len(ft.Started) > 0 {
				t.Errorf("%s ran %v", tg.ID, ft.Started)
			}
		})
	})
}

// TestQueuedJobIsNotSentAfterTheLease freezes the router between the queue and
// the send.
func TestQueuedJobIsNotSentAfterTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := two
		one.Shards, one.Slots = 1, 1
		f := newFixture(t, one, faketarget.Steady(10*time.Second, 1))
		f.routers["r1"].cut.Store(true)
		go f.ask("r1", "g/000", 20*time.Second)
		time.Sleep(time.Millisecond)
		r := f.ask("r1", "g/000", 20*time.Second)
		if r.GetReason() != pb.SubReason_SUB_REASON_NO_LEASE || r.GetStarted() != 0 {
			t.Errorf("got %v", r)
		}
		f.noOverload()
	})
}

func TestQuietTargetsGetNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wide := two
		wide.Replicas = 3
		f := newFixture(t, wide, faketarget.Steady(service, 3))
		go f.load(40, wide.Owners, time.Now().Add(3*time.Second))
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
				t.Errorf("%s got work %v after the change", tg.ID, ft.LastStart.Sub(quiet))
			}
			if tg.DataCentre != "a" && ft.LastStart.Before(quiet) {
				t.Errorf("%s got no more work", tg.ID)
			}
		})
	})
}

func TestAllTargetsColdAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := faketarget.Shape{
			Shards: 30, Replicas: 3, Slots: 3, ColdLimit: 1, WarmAfter: 5 * time.Second,
			Owners: []topology.VMName{"r1", "r2", "r3"},
		}
		f := newFixture(t, all, faketarget.Steady(service, 1))
		f.load(300, all.Owners, time.Now().Add(2*time.Second))
		f.noOverload()
	})
}

// TestStartedSearchKeepsItsSlotUntilTheDeadline loses the connections, so that
// it isn't known when the target ends.
func TestStartedSearchKeepsItsSlotUntilTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := two
		one.Shards, one.Slots = 1, 1
		f := newFixture(t, one, func(*topology.Target) *faketarget.Target {
			return &faketarget.Target{Process: 1, Versions: []uint64{1}, Capacity: 1, OverrideOutcome: func(target.Search) (target.Outcome, bool) {
				return target.Outcome{Status: target.Unknown, Reason: target.ReasonConnectionLost}, true
			}}
		})
		start := time.Now()
		f.ask("r1", "g/000", 300*time.Millisecond)
		f.ask("r1", "g/000", time.Second)
		if took := time.Since(start); took < 300*time.Millisecond {
			t.Errorf("the second search started after %v", took)
		}
	})
}

// A router that shuts down stays until the next owners were told, since they
// would wait for a lease otherwise.
func TestOwnerKnowsWhenNextOwnersWereTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, two, faketarget.Steady(service, 3))
		f.assign("r1", 20)
		time.Sleep(2 * lease.Duration)
		f.routers["r2"].cut.Store(true)
		f.assign("r2", 30)
		time.Sleep(time.Second)
		if f.routers["r1"].owner.AllHandedOver() {
			t.Error("the next owner hasn't learned of the assignment, but counts as told")
		}
		f.routers["r2"].cut.Store(false)
		f.assign("r2", 31)
		time.Sleep(time.Second)
		if !f.routers["r1"].owner.AllHandedOver() {
			t.Error("the next owner asked, but doesn't count as told")
		}
	})
}
