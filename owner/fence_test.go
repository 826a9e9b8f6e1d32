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

var three = faketarget.Shape{
	Shards: 2, Replicas: 1, Slots: 2, ColdLimit: 2, Owners: []topology.VMName{"r1", "r2", "r3"},
}

// firstStart asks a router until it serves and returns how long that took.
func (f *fixture) firstStart(vm topology.VMName) time.Duration {
	begun := time.Now()
	for f.ask(vm, "g/000", 400*time.Millisecond).GetStatus() != pb.SubStatus_SUB_STATUS_OK {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begun)
}

// TestOwnerThatNeverHeldSaysNothing hands targets on over a router that still
// waited for the one before, which is cut off and works.
func TestOwnerThatNeverHeldSaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, three, faketarget.Steady(service, 2))
		f.assign("r1", 20)
		time.Sleep(lease.Duration + time.Second)
		go f.load(10, []topology.VMName{"r1"}, time.Now().Add(8*time.Second))
		time.Sleep(time.Second)
		f.routers["r1"].cut.Store(true)
		f.assign("r2", 30)
		time.Sleep(500 * time.Millisecond)
		f.assign("r3", 40)
		if took := f.firstStart("r3"); took < lease.Duration-600*time.Millisecond {
			t.Errorf("r3 started after %v on the word of a router that never held the targets", took)
		}
		time.Sleep(6 * time.Second)
		f.noOverload()
	})
}

// TestTargetsThatComeBackAreFenced takes targets back from a router that is cut
// off and works.
func TestTargetsThatComeBackAreFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, three, faketarget.Steady(service, 2))
		f.assign("r1", 20)
		time.Sleep(lease.Duration + time.Second)
		f.assign("r2", 30)
		time.Sleep(time.Second)
		go f.load(10, []topology.VMName{"r2"}, time.Now().Add(8*time.Second))
		f.firstStart("r2")
		f.routers["r2"].cut.Store(true)
		f.assign("r1", 40)
		if took := f.firstStart("r1"); took < lease.Duration-100*time.Millisecond {
			t.Errorf("r1 started again after %v", took)
		}
		time.Sleep(6 * time.Second)
		f.noOverload()
	})
}

// TestRestartedRouterIsFenced assigns targets, without a previous owner, before
// the present start of the router's process.
func TestRestartedRouterIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, three, faketarget.Steady(service, 2))
		r := f.routers["r1"]
		restarted := New(Config{VM: "r1", Board: r.board, Lease: r.lease, Searcher: f.targets})
		r.board.Update(func(v *board.View) {
			v.Routers = map[topology.VMName]board.Router{"r1": {Incarnation: 2, Version: 99}}
		})
		go restarted.Run(f.ctx)
		synctest.Wait()
		r.owner = restarted
		if got := f.ask("r1", "g/000", 400*time.Millisecond); got.GetReason() != pb.SubReason_SUB_REASON_NO_TARGET {
			t.Errorf("got %v", got)
		}
		if took := f.firstStart("r1"); took < lease.Duration-100*time.Millisecond {
			t.Errorf("started after %v", took)
		}
	})
}

// TestChangeCountsBeforeItIsApplied changes the board while the loop that
// applies changes doesn't run.
func TestChangeCountsBeforeItIsApplied(t *testing.T) {
	changes := map[string]func(*board.View){
		"quiet": func(v *board.View) { v.QuietDCs = map[topology.DataCentre]board.Quiet{"a": {}} },
		"taken away": func(v *board.View) {
			v.Assignments = map[topology.TargetID]board.Assignment{"g/000-0": {Owner: "r2", Previous: "r1", Epoch: 9}}
		},
	}
	for name, change := range changes {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, three, faketarget.Steady(service, 2))
			r := f.routers["r1"]
			ctx, cancel := context.WithCancel(f.ctx)
			stopped := New(Config{VM: "r1", Board: r.board, Lease: r.lease, Searcher: f.targets})
			go stopped.Run(ctx)
			synctest.Wait()
			cancel()
			synctest.Wait()
			r.board.Update(change)
			r.owner = stopped
			if got := f.ask("r1", "g/000", 400*time.Millisecond); got.GetStatus() != pb.SubStatus_SUB_STATUS_NOT_STARTED {
				t.Errorf("%s: got %v", name, got)
			}
		})
	}
}
