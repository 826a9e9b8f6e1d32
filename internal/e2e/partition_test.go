package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/adminclient"
)

// leaseBound is the time after which a router that is cut off from control
// must refuse new work.
const leaseBound = 4 * time.Second

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

// TestTakeOutIsInForceWithTheLeaderCutOff cuts the leading control process off
// silently at the moment of the intent. The operator reaches the others only.
func TestTakeOutIsInForceWithTheLeaderCutOff(t *testing.T) {
	c := startCluster(t)
	targets := c.targets(t)
	l := startLoad(t, c)
	cut := c.leaderIndex(t)
	others := append(append([]string(nil), c.web[:cut]...), c.web[cut+1:]...)
	c.network.isolate(controlName(cut), true)
	all := c.client
	c.client = adminclient.New(others)
	begun := time.Now()
	accepted := c.accept(t, api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: "dc-a"})
	t.Logf("accepted %v after the cut", accepted.Sub(begun).Round(time.Millisecond))
	if accepted.Sub(begun) > intentBound {
		t.Errorf("accepted only after %v", accepted.Sub(begun))
	}
	time.Sleep(quietBound + time.Second)
	c.checkQuiet(t, targets, "dc-a", accepted)

	c.network.isolate(controlName(cut), false)
	c.client = all
	c.accept(t, api.IntentSpec{Kind: api.IntentBringBack, DataCentre: "dc-a"})
	eventually(t, startPatience, "the member that was cut off follows again", func() bool {
		status, err := adminclient.New(c.web[cut : cut+1]).Status(t.Context())
		return err == nil && len(status.Routers) == routers && !status.Stale && len(status.QuietDCs) == 0
	})
	l.check(t)
}

// TestRouterWithoutControlRefusesAndIsNotReady cuts one router off from control
// silently, while a data centre is taken out.
func TestRouterWithoutControlRefusesAndIsNotReady(t *testing.T) {
	c := startCluster(t)
	targets := c.targets(t)
	l := startLoad(t, c)
	c.network.isolate(routerName(0), true)
	accepted := c.accept(t, api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: "dc-c"})
	time.Sleep(time.Until(accepted.Add(leaseBound)))
	_, refusal, err := ask(c.routers[0].http, &api.Query{Kind: "search"})
	if err != nil || refusal == nil || refusal.Code != api.CodeNoLease || refusal.Execution != api.NotRun {
		t.Errorf("a query without a lease: %+v, %v", refusal, err)
	}
	resp, err := http.Get("http://" + c.routers[0].http + api.PathReady)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("readiness: %d", resp.StatusCode)
	}
	time.Sleep(time.Until(accepted.Add(quietBound + time.Second)))
	c.checkQuiet(t, targets, "dc-c", accepted)
	c.network.isolate(routerName(0), false)
	eventually(t, startPatience, "the router answers whole again", func() bool {
		a, _, err := ask(c.routers[0].http, &api.Query{Kind: "search"})
		return err == nil && a != nil && a.Complete
	})
	l.check(t)
}
