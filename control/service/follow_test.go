package service_test

import (
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/service"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/topology"
)

// routerLossBound is how soon a lost router's targets must be others'.
const routerLossBound = 6 * time.Second

func TestTakenOutDataCentreIsLeftWithinALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		near := follow(t, c.services[0], "vm-1", "bern-a", 0)
		far := follow(t, c.services[2], "vm-2", "olten-b", 0)
		time.Sleep(5 * time.Second)
		if !near.mayStart("bern-a") || !far.mayStart("bern-a") {
			t.Fatal("a router has no lease")
		}
		c.group.SetIsolated(2, true)
		time.Sleep(7 * lease.RenewInterval / 3)
		c.accept(0, takeOut("bern-a", time.Time{}))
		accepted := time.Now()
		for time.Since(accepted) < 20*time.Second {
			time.Sleep(10 * time.Millisecond)
			if time.Since(accepted) < lease.Duration {
				continue
			}
			if near.mayStart("bern-a") || far.mayStart("bern-a") {
				t.Fatalf("work could start %v after the change was accepted", time.Since(accepted))
			}
		}
		if !near.lease.Valid(time.Now()) || far.lease.Valid(time.Now()) {
			t.Error("the router that isn't cut off must work on, the other one not")
		}
		c.group.SetIsolated(2, false)
		time.Sleep(2 * lease.RenewInterval)
		if !far.lease.Valid(time.Now()) || far.mayStart("bern-a") {
			t.Error("joined again, the router must work, and leave the data centre quiet")
		}
	})
}

func TestMemberBehindARouterGivesItNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		f := follow(t, c.services[0], "vm-1", "bern-a", 1_000)
		time.Sleep(5 * time.Second)
		if f.lease.Valid(time.Now()) || len(f.records) > 0 || f.applied != 1_000 || f.behind > 0 {
			t.Errorf("lease until %v, %d records, applied %d, %d answers with more than that the member is behind",
				f.lease.End(), len(f.records), f.applied, f.behind)
		}
	})
}

func TestChangesArePushedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		f := follow(t, c.services[1], "vm-1", "bern-a", 0)
		time.Sleep(lease.RenewInterval / 2)
		c.accept(0, takeOut("bern-a", time.Time{}))
		synctest.Wait()
		if f.record("quiet-dc/bern-a") == nil {
			t.Error("the change waits for the next renewal")
		}
		c.accept(0, api.IntentSpec{Kind: api.IntentBringBack, DataCentre: "bern-a"})
		synctest.Wait()
		if f.record("quiet-dc/bern-a") != nil {
			t.Error("the deletion wasn't pushed")
		}
	})
}

func TestSilentRouterIsLetGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		f := follow(t, c.services[0], "vm-1", "bern-a", 0)
		time.Sleep(time.Second)
		f.setSilent(true)
		silentSince := time.Now()
		var silent *service.SilentRouterError
		select {
		case err := <-f.ended:
			if !errors.As(err, &silent) {
				t.Fatalf("ended with %v", err)
			}
		case <-time.After(2 * lease.Duration):
			t.Fatal("not noticed")
		}
		if after := time.Since(silentSince); after > lease.Duration {
			t.Errorf("noticed after %v", after)
		}
	})
}

func owners(f *follower) map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]string)
	for key, rec := range f.records {
		if a := rec.GetAssignment(); a != nil {
			out[key] = a.GetOwner()
		}
	}
	return out
}

func TestLostRoutersTargetsGoToOthersOnceItsLeaseIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.lead()
		alive := follow(t, c.services[0], "vm-1", "bern-a", 0)
		lost := follow(t, c.services[0], "vm-2", "olten-b", 0)
		time.Sleep(10 * time.Second)
		before := owners(alive)
		if len(before) != 18 || !slices.Contains(mapValues(before), "vm-2") {
			t.Fatalf("owners: %v", before)
		}
		lost.setSilent(true)
		silentSince := time.Now()
		for slices.Contains(mapValues(owners(alive)), "vm-2") {
			if time.Since(silentSince) > routerLossBound {
				t.Fatalf("still owners after %v: %v", routerLossBound, owners(alive))
			}
			time.Sleep(10 * time.Millisecond)
		}
		if lost.lease.Valid(time.Now()) {
			t.Error("the targets moved while the lost router had a lease")
		}
	})
}

func mapValues(m map[string]string) []string {
	var out []string
	for _, v := range m {
		out = append(out, v)
	}
	return out
}

func TestIntentTellsWhereItIsInForceUntilItIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.lead()
		follow(t, c.services[0], "vm-1", "bern-a", 0)
		stuck := follow(t, c.services[0], "vm-2", "olten-b", 0)
		time.Sleep(5 * time.Second)
		stuck.setSilent(true)
		id := c.accept(0, takeOut("bern-a", time.Time{})).ID
		accepted := time.Now()
		time.Sleep(1500 * time.Millisecond)
		in := c.intent(0, id)
		applied := []topology.VMName{"vm-1"}
		if in.State != api.IntentInForce || !slices.Equal(in.Outcome.InForce, applied) || len(in.Outcome.Pending) != 1 {
			t.Fatalf("after 1.5 s: %s %+v", in.State, in.Outcome)
		}
		if p := in.Outcome.Pending[0]; p.VM != "vm-2" || p.EndsInMS > lease.Duration.Milliseconds() {
			t.Errorf("pending: %+v", p)
		}
		for in.State != api.IntentSettled {
			if time.Since(accepted) > 15*time.Second {
				t.Fatalf("not settled: %+v", in)
			}
			time.Sleep(10 * time.Millisecond)
			in = c.intent(0, id)
		}
		if stuck.lease.Valid(time.Now()) || len(in.Outcome.Pending) > 0 || !slices.Equal(in.Outcome.InForce, applied) {
			t.Errorf("settled after %v: %+v", time.Since(accepted), in.Outcome)
		}
	})
}

func TestReturnComesByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.lead()
		f := follow(t, c.services[0], "vm-1", "olten-b", 0)
		time.Sleep(2 * time.Second)
		at := time.Now().Add(10 * time.Second).Truncate(time.Millisecond)
		c.accept(0, takeOut("bern-a", at))
		time.Sleep(time.Until(at) - time.Millisecond)
		if f.mayStart("bern-a") {
			t.Error("returned too early")
		}
		time.Sleep(time.Second)
		if !f.mayStart("bern-a") {
			t.Error("not returned")
		}
	})
}

func TestPlanExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.lead()
		in := c.propose(0, &submitCommand)
		time.Sleep(11 * time.Minute)
		if got := c.intent(0, in.ID).State; got != api.IntentExpired {
			t.Errorf("state %s", got)
		}
	})
}
