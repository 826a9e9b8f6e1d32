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

// TestWorkStartsAgainAfterAPause lets every answer look 8 s long, as after this
// process was frozen, while queries have 400 ms.
func TestWorkStartsAgainAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, two, faketarget.Steady(service, 3))
		for vm, r := range f.routers {
			for id, s := range *r.owner.shards.Load() {
				s.service.add(8*time.Second, time.Now())
				f.awaitStart(vm, id, 2*time.Second)
			}
		}
	})
}

// awaitStart asks until the owner starts work on a shard again.
func (f *fixture) awaitStart(vm topology.VMName, id topology.ShardID, patience time.Duration) {
	f.t.Helper()
	end := time.Now().Add(patience)
	for {
		r := f.ask(vm, id, 400*time.Millisecond)
		if r.GetStatus() == pb.SubStatus_SUB_STATUS_OK {
			return
		}
		if time.Now().After(end) {
			f.t.Errorf("%s starts nothing at %s after %v: %v", vm, id, patience, r)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestUsualServiceTimeWhileAnswersCome(t *testing.T) {
	u := usual{}
	now := time.Unix(0, 0)
	if u.at(now) != 0 {
		t.Fatal("something is known before the first answer")
	}
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		u.add(service, now)
	}
	if got := u.at(now.Add(usualHalfLife)); got != service {
		t.Errorf("got %v, want %v", got, service)
	}
}

// TestIdleShardHasNoStalledTarget asks one replica twice at once after a pause
// without any query.
func TestIdleShardHasNoStalledTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, two, faketarget.Steady(service, 3))
		f.assign("r1", 20)
		time.Sleep(lease.Duration)
		f.load(30, []topology.VMName{"r1"}, time.Now().Add(2*time.Second))
		time.Sleep(10 * time.Second)
		go f.ask("r1", "g/000", 400*time.Millisecond)
		time.Sleep(service / 2)
		if r := f.ask("r1", "g/000", 400*time.Millisecond); r.GetStatus() != pb.SubStatus_SUB_STATUS_OK {
			t.Errorf("the second search got %v", r)
		}
	})
}
