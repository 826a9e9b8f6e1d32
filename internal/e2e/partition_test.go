package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/adminclient"
)

// leaseBound is the time after which a router that is partitioned from the control
// members must refuse new work.
const leaseBound = 4 * time.Second

// leaderIndex returns the index of the leading control process in c.members.
func (c *cluster) leaderIndex(t *testing.T) int {
	t.Helper()
	leader := c.leader(t)
	for i, m := range c.members {
		if m == leader {
			return i
		}
	}
	t.Fatal("the leader isn't among the members")
	return 0
}

// TestTakeOutIsInForceWithTheLeaderCutOff guards against a take-out that is delayed
// or ignored because the control leader is partitioned by dropped packets just
// before the intent. The operator reaches only the other members.
func TestTakeOutIsInForceWithTheLeaderCutOff(t *testing.T) {
	c := startCluster(t)
	targets := c.targets(t)
	l := startLoad(t, c)
	leader := c.leaderIndex(t)
	others := append(append([]string(nil), c.httpAddrs[:leader]...), c.httpAddrs[leader+1:]...)
	c.network.isolate(controlName(leader), true)
	allMembers := c.client
	c.client = adminclient.New(others)
	begun := time.Now()
	accepted := c.accept(t, api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: "dc-a"})
	t.Logf("accepted %v after the partition", accepted.Sub(begun).Round(time.Millisecond))
	if accepted.Sub(begun) > intentBound {
		t.Errorf("accepted only after %v", accepted.Sub(begun))
	}
	time.Sleep(quietBound + time.Second)
	c.checkQuiet(t, targets, "dc-a", accepted)

	c.network.isolate(controlName(leader), false)
	c.client = allMembers
	c.accept(t, api.IntentSpec{Kind: api.IntentBringBack, DataCentre: "dc-a"})
	eventually(t, startTimeout, "the member that was partitioned follows again", func() bool {
		status, err := adminclient.New(c.httpAddrs[leader : leader+1]).Status(t.Context())
		return err == nil && len(status.Routers) == routers && !status.Stale && len(status.QuietDCs) == 0
	})
	l.stopAndCheck(t)
}

// TestRouterWithoutControlRefusesAndIsNotReady guards against a router that serves
// without a lease: it is partitioned from the control members by dropped packets
// while a data centre is taken out.
func TestRouterWithoutControlRefusesAndIsNotReady(t *testing.T) {
	c := startCluster(t)
	targets := c.targets(t)
	l := startLoad(t, c)
	c.network.isolate(routerName(0), true)
	accepted := c.accept(t, api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: "dc-c"})
	time.Sleep(time.Until(accepted.Add(leaseBound)))
	_, refusal, err := sendQuery(c.routers[0].httpAddr, &api.Query{Kind: "search"})
	if err != nil || refusal == nil || refusal.Code != api.CodeNoLease || refusal.Execution != api.NotRun {
		t.Errorf("query without a lease: got refusal %+v, error %v", refusal, err)
	}
	resp, err := http.Get("http://" + c.routers[0].httpAddr + api.PathReady)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("readiness without a lease: got status %d", resp.StatusCode)
	}
	time.Sleep(time.Until(accepted.Add(quietBound + time.Second)))
	c.checkQuiet(t, targets, "dc-c", accepted)
	c.network.isolate(routerName(0), false)
	eventually(t, startTimeout, "the router returns complete answers again", func() bool {
		a, _, err := sendQuery(c.routers[0].httpAddr, &api.Query{Kind: "search"})
		return err == nil && a != nil && a.Complete
	})
	l.stopAndCheck(t)
}
