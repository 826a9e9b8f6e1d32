package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/peridotmux/peridotmux/internal/faketarget"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// After a pause of this process, all answers look slow (here 8 s). The average
// service time must decay, or jobs with a shorter deadline (400 ms) never start
// again and no new answer corrects the average.
func TestWorkResumesAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, twoOwners, faketarget.Steady(service, 3))
		for vm, r := range f.routers {
			for id, s := range *r.owner.shards.Load() {
				s.service.add(8*time.Second, time.Now())
				f.awaitStart(vm, id, 2*time.Second)
			}
		}
	})
}

// awaitStart sends sub-requests until one succeeds, and fails the test after
// the timeout.
func (f *fixture) awaitStart(vm topology.VMName, id topology.ShardID, timeout time.Duration) {
	f.t.Helper()
	end := time.Now().Add(timeout)
	for {
		r := f.send(vm, id, 400*time.Millisecond)
		if r.GetStatus() == pb.SubStatus_SUB_STATUS_OK {
			return
		}
		if time.Now().After(end) {
			f.t.Errorf("%s started no search at %s within %v: last reply %v", vm, id, timeout, r)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// The average service time must not decay while answers arrive, or too many
// jobs start late.
func TestServiceTimeDoesNotDecayWhileAnswersArrive(t *testing.T) {
	u := serviceTime{}
	now := time.Unix(0, 0)
	if u.at(now) != 0 {
		t.Fatal("service time isn't zero before the first answer")
	}
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		u.add(service, now)
	}
	if got := u.at(now.Add(serviceTimeHalfLife)); got != service {
		t.Errorf("got %v, want %v", got, service)
	}
}

// After a pause without queries, the time since a target's last answer is long.
// The first search after the pause must not make the target count as stalled,
// or the second one is refused.
func TestIdleShardHasNoStalledTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, twoOwners, faketarget.Steady(service, 3))
		f.assign("r1", 20)
		time.Sleep(lease.Duration)
		f.runLoad(30, []topology.VMName{"r1"}, time.Now().Add(2*time.Second))
		time.Sleep(10 * time.Second)
		go f.send("r1", "g/000", 400*time.Millisecond)
		time.Sleep(service / 2)
		if r := f.send("r1", "g/000", 400*time.Millisecond); r.GetStatus() != pb.SubStatus_SUB_STATUS_OK {
			t.Errorf("second search: got %v, want status OK", r)
		}
	})
}
