package e2e

import (
	"encoding/json"
	"net/http"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/adminclient"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/standin"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// quietBound is the time after acceptance from which a target that was taken
	// out gets no new work.
	quietBound = 5 * time.Second
	// intentBound is the time within which an intent is accepted after the
	// leading control process was lost.
	intentBound = 5 * time.Second
	// freeze is how long a router is stopped.
	freeze = 10 * time.Second
)

// checkLeft fails if a target began work later than quietBound after accepted.
func (c *cluster) checkLeft(t *testing.T, id topology.TargetID, accepted time.Time) {
	t.Helper()
	for _, e := range c.ledgers(t)[id] {
		if late := e.StartedAt.Sub(accepted); late > quietBound {
			t.Errorf("%s got new work %v after it left", id, late)
			return
		}
	}
}

// accept submits and confirms an intent and returns when it was accepted.
func (c *cluster) accept(t *testing.T, spec api.IntentSpec) time.Time {
	t.Helper()
	in, err := c.client.Submit(t.Context(), &api.Submission{Command: adminclient.NewCommandNumber(), Intent: spec})
	if err != nil {
		t.Fatal(err)
	}
	if in.State != api.IntentPlanned {
		t.Fatalf("not planned: %+v", in)
	}
	_, err = c.client.Confirm(t.Context(), in.Plan.ID, &api.Confirmation{
		Command: adminclient.NewCommandNumber(), Base: in.Plan.Base,
	})
	if err != nil {
		t.Fatal(err)
	}
	return time.Now()
}

func (c *cluster) ledgers(t *testing.T) map[topology.TargetID][]standin.Entry {
	t.Helper()
	resp, err := http.Get("http://" + c.ledger + standin.PathLedger)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var views []standin.TargetLedger
	if err := json.NewDecoder(resp.Body).Decode(&views); err != nil {
		t.Fatal(err)
	}
	out := make(map[topology.TargetID][]standin.Entry)
	for _, v := range views {
		out[v.Target] = v.Entries
	}
	return out
}

// checkQuiet fails if a target of dc began work later than quietBound after
// accepted.
func (c *cluster) checkQuiet(t *testing.T, targets []topology.Target, dc topology.DataCentre, accepted time.Time) {
	t.Helper()
	ledgers := c.ledgers(t)
	latest := time.Duration(0)
	for _, target := range targets {
		if target.DataCentre != dc {
			continue
		}
		for _, e := range ledgers[target.ID] {
			latest = max(latest, e.StartedAt.Sub(accepted))
		}
	}
	t.Logf("latest new work in %s: %v after acceptance", dc, latest.Round(time.Millisecond))
	if latest > quietBound {
		t.Errorf("%s got new work %v after it was taken out", dc, latest)
	}
}

func (l *load) check(t *testing.T) {
	t.Helper()
	l.stop()
	t.Logf("answered %d (partial %d), refused %d, cut %d",
		l.answered.Load(), l.partial.Load(), l.refused.Load(), l.cut.Load())
	if l.cut.Load() > 0 || l.answered.Load() == 0 {
		t.Errorf("requests were cut: %v", l.firsts)
	}
}

func TestTakeOutAndShutdownUnderLoadCutNoRequest(t *testing.T) {
	c := startCluster(t)
	targets := c.targets(t)
	l := startLoad(t, c)
	leaves := targets[len(targets)-1]
	left := c.accept(t, api.IntentSpec{Kind: api.IntentLeave, Targets: []topology.TargetID{leaves.ID}})
	accepted := c.accept(t, api.IntentSpec{
		Kind: api.IntentTakeOut, DataCentre: "dc-a", Overrides: []api.PlanReason{api.PlanInsufficientCapacity},
	})
	time.Sleep(quietBound + time.Second)
	c.checkQuiet(t, targets, "dc-a", accepted)
	c.accept(t, api.IntentSpec{Kind: api.IntentBringBack, DataCentre: "dc-a"})
	time.Sleep(time.Second)
	c.checkLeft(t, leaves.ID, left)

	c.routers[2].signal(t, syscall.SIGTERM)
	if err := c.routers[2].wait(t, 20*time.Second); err != nil {
		t.Errorf("the router ended with %v", err)
	}
	time.Sleep(time.Second)
	l.check(t)
	if l.refused.Load() > 0 {
		t.Errorf("requests were refused: %v", l.firsts)
	}
}

func TestIntentIsAcceptedAfterTheLeaderIsKilled(t *testing.T) {
	c := startCluster(t)
	l := startLoad(t, c)
	leader := c.leader(t)
	leader.signal(t, syscall.SIGKILL)
	_ = leader.wait(t, time.Second)
	killed := time.Now()
	c.accept(t, api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: "dc-b"})
	took := time.Since(killed)
	t.Logf("accepted %v after the leader was killed", took.Round(time.Millisecond))
	if took > intentBound {
		t.Errorf("accepted only after %v", took)
	}
	l.check(t)
}

func TestFrozenRouterStartsNothingAtAQuietDataCentre(t *testing.T) {
	c := startCluster(t)
	targets := c.targets(t)
	l := startLoad(t, c)
	c.routers[0].signal(t, syscall.SIGSTOP)
	accepted := c.accept(t, api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: "dc-b"})
	time.Sleep(freeze)
	c.routers[0].signal(t, syscall.SIGCONT)
	time.Sleep(time.Second)
	l.stop()
	c.checkQuiet(t, targets, "dc-b", accepted)
	eventually(t, startPatience, "the woken router answers whole", func() bool {
		a, _, err := ask(c.routers[0].http, &api.Query{Kind: "search"})
		return err == nil && a != nil && a.Complete
	})
}

func TestNonIdempotentRequestRunsOnceOverKills(t *testing.T) {
	c := startCluster(t)
	q := &api.Query{Kind: "order", RequestKey: "order-1", Body: json.RawMessage(`{"n":1}`)}
	first, refusal, err := ask(c.routers[0].http, q)
	if err != nil || refusal != nil {
		t.Fatal(refusal, err)
	}
	c.routers[0].signal(t, syscall.SIGKILL)
	c.leader(t).signal(t, syscall.SIGKILL)
	var again *api.Answer
	eventually(t, startPatience, "the recorded outcome", func() bool {
		again, _, err = ask(c.routers[1].http, q)
		return err == nil && again != nil
	})
	if !again.Recorded || again.RequestID != first.RequestID {
		t.Errorf("got %+v, want the recorded answer %s", again, first.RequestID)
	}
	runs := make(map[topology.ShardID]int)
	for _, entries := range c.ledgers(t) {
		for _, e := range entries {
			if e.BodyHash == standin.HashBody(q.Body) {
				runs[e.Shard]++
			}
		}
	}
	for shard, n := range runs {
		if n != 1 {
			t.Errorf("shard %s ran it %d times", shard, n)
		}
	}
	if len(runs) != shards {
		t.Errorf("ran on %d shards", len(runs))
	}
}

// leader returns the leading control process.
func (c *cluster) leader(t *testing.T) *process {
	t.Helper()
	list, err := c.client.Members(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range list.Members {
		number, err := strconv.Atoi(m.ID)
		if err != nil {
			t.Fatal(err)
		}
		if m.Leader {
			return c.members[number-1]
		}
	}
	t.Fatalf("no leader among %+v", list)
	return nil
}

// targets reads the deployment that the processes were started with.
func (c *cluster) targets(t *testing.T) []topology.Target {
	t.Helper()
	return c.deployment(t, "deployment.ini").Targets
}

func (c *cluster) deployment(t *testing.T, file string) *topology.Deployment {
	t.Helper()
	d, err := settings.LoadDeployment(filepath.Join(c.dir, file))
	if err != nil {
		t.Fatal(err)
	}
	return d
}
