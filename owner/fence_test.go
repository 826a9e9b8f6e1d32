package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/internal/faketarget"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

var threeOwners = faketarget.Shape{
	Shards: 2, Replicas: 1, Slots: 2, ColdLimit: 2, Owners: []topology.VMName{"r1", "r2", "r3"},
}

// timeToFirstStart sends sub-requests to a router until one succeeds and
// returns how long that took.
func (f *fixture) timeToFirstStart(vm topology.VMName) time.Duration {
	begun := time.Now()
	for f.send(vm, "g/000", 400*time.Millisecond).GetStatus() != pb.SubStatus_SUB_STATUS_OK {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begun)
}

// Targets are reassigned from r1, which is cut off but still working, to r2 and
// then to r3. r2 was still fenced, so it must not report them as released: r3
// would start while r1 has searches in flight.
func TestFencedOwnerReportsNoRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, threeOwners, faketarget.Steady(service, 2))
		f.assign("r1", 20)
		time.Sleep(lease.Duration + time.Second)
		go f.runLoad(10, []topology.VMName{"r1"}, time.Now().Add(8*time.Second))
		time.Sleep(time.Second)
		f.routers["r1"].cut.Store(true)
		f.assign("r2", 30)
		time.Sleep(500 * time.Millisecond)
		f.assign("r3", 40)
		if took := f.timeToFirstStart("r3"); took < lease.Duration-600*time.Millisecond {
			t.Errorf("r3 started after %v, although r2 was never active on the targets", took)
		}
		time.Sleep(6 * time.Second)
		f.checkNoOverload()
	})
}

// A router that gets targets back from an owner that is cut off but still
// working must wait until that owner's lease has expired, although it has held
// the targets before.
func TestReturnedTargetsAreFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, threeOwners, faketarget.Steady(service, 2))
		f.assign("r1", 20)
		time.Sleep(lease.Duration + time.Second)
		f.assign("r2", 30)
		time.Sleep(time.Second)
		go f.runLoad(10, []topology.VMName{"r2"}, time.Now().Add(8*time.Second))
		f.timeToFirstStart("r2")
		f.routers["r2"].cut.Store(true)
		f.assign("r1", 40)
		if took := f.timeToFirstStart("r1"); took < lease.Duration-100*time.Millisecond {
			t.Errorf("r1 started again after %v, before the lease of r2 expired", took)
		}
		time.Sleep(6 * time.Second)
		f.checkNoOverload()
	})
}

// Targets assigned without a previous owner, but before the current start of
// the router's process, must be fenced: the previous process may still have
// searches in flight.
func TestRestartedRouterIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, threeOwners, faketarget.Steady(service, 2))
		r := f.routers["r1"]
		restarted := New(Config{VM: "r1", Board: r.board, Lease: r.lease, Searcher: f.targets})
		r.board.Update(func(v *board.View) {
			v.Routers = map[topology.VMName]board.Router{"r1": {Incarnation: 2, Version: 99}}
		})
		go restarted.Run(f.ctx)
		synctest.Wait()
		r.owner = restarted
		if got := f.send("r1", "g/000", 400*time.Millisecond); got.GetReason() != pb.SubReason_SUB_REASON_NO_TARGET {
			t.Errorf("restarted router: got %v, want NO_TARGET", got)
		}
		if took := f.timeToFirstStart("r1"); took < lease.Duration-100*time.Millisecond {
			t.Errorf("restarted router started after %v, before a full lease", took)
		}
	})
}

// A board change must stop searches at once, even while the loop that applies
// changes isn't running.
func TestBoardChangeBlocksSearchesBeforeItIsApplied(t *testing.T) {
	changes := map[string]func(*board.View){
		"quiet": func(v *board.View) { v.QuietDCs = map[topology.DataCentre]board.Quiet{"a": {}} },
		"taken away": func(v *board.View) {
			v.Assignments = map[topology.TargetID]board.Assignment{"g/000-0": {Owner: "r2", Previous: "r1", Epoch: 9}}
		},
	}
	for name, change := range changes {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, threeOwners, faketarget.Steady(service, 2))
			r := f.routers["r1"]
			ctx, cancel := context.WithCancel(f.ctx)
			stopped := New(Config{VM: "r1", Board: r.board, Lease: r.lease, Searcher: f.targets})
			go stopped.Run(ctx)
			synctest.Wait()
			cancel()
			synctest.Wait()
			r.board.Update(change)
			r.owner = stopped
			if got := f.send("r1", "g/000", 400*time.Millisecond); got.GetStatus() != pb.SubStatus_SUB_STATUS_NOT_STARTED {
				t.Errorf("%s: got %v, want NOT_STARTED", name, got)
			}
		})
	}
}
