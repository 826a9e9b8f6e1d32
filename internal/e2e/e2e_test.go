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
	// quietBound is the time after an intent is accepted from which a target that
	// it takes out must get no new work.
	quietBound = 5 * time.Second
	// intentBound is the time within which an intent must be accepted after the
	// loss of the leading control process.
	intentBound = 5 * time.Second
	// freezeDuration is how long a router is suspended by SIGSTOP.
	freezeDuration = 10 * time.Second
)

// checkTargetLeft fails the test if a target began work later than quietBound
// after accepted.
func (c *cluster) checkTargetLeft(t *testing.T, id topology.TargetID, accepted time.Time) {
	t.Helper()
	for _, e := range c.ledgers(t)[id] {
		if late := e.StartedAt.Sub(accepted); late > quietBound {
			t.Errorf("%s got new work %v after it left", id, late)
			return
		}
	}
}

// accept submits and confirms an intent and returns the time at which the
// confirmation was acknowledged.
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

// ledgers returns the requests that each stand-in target ran.
func (c *cluster) ledgers(t *testing.T) map[topology.TargetID][]standin.Entry {
	t.Helper()
	resp, err := http.Get("http://" + c.ledgerAddr + standin.PathLedger)
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

// checkQuiet fails the test if a target of dc began work later than quietBound
// after accepted.
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

// stopAndCheck stops the load and fails the test if a request was aborted or none
// was answered.
func (l *load) stopAndCheck(t *testing.T) {
	t.Helper()
	l.stop()
	t.Logf("answered %d (partial %d), refused %d, aborted %d",
		l.answered.Load(), l.partial.Load(), l.refused.Load(), l.aborted.Load())
	if l.aborted.Load() > 0 || l.answered.Load() == 0 {
		t.Errorf("requests were aborted, or none was answered: %v", l.firstErrors)
	}
}

// Guards against requests refused or aborted while a target leaves, a data centre
// is taken out and brought back, and a router shuts down, and against new work at
// the targets taken out.
func TestTakeOutAndShutdownUnderLoadCutNoRequest(t *testing.T) {
	c := startCluster(t)
	targets := c.targets(t)
	l := startLoad(t, c)
	leaving := targets[len(targets)-1]
	leaveAccepted := c.accept(t, api.IntentSpec{Kind: api.IntentLeave, Targets: []topology.TargetID{leaving.ID}})
	accepted := c.accept(t, api.IntentSpec{
		Kind: api.IntentTakeOut, DataCentre: "dc-a", Overrides: []api.PlanReason{api.PlanInsufficientCapacity},
	})
	time.Sleep(quietBound + time.Second)
	c.checkQuiet(t, targets, "dc-a", accepted)
	c.accept(t, api.IntentSpec{Kind: api.IntentBringBack, DataCentre: "dc-a"})
	time.Sleep(time.Second)
	c.checkTargetLeft(t, leaving.ID, leaveAccepted)

	c.routers[2].signal(t, syscall.SIGTERM)
	if err := c.routers[2].wait(t, 20*time.Second); err != nil {
		t.Errorf("the router exited with %v", err)
	}
	time.Sleep(time.Second)
	l.stopAndCheck(t)
	if l.refused.Load() > 0 {
		t.Errorf("requests were refused: %v", l.firstErrors)
	}
}

// Guards against a slow failover: an intent must be accepted within intentBound
// after the leading control process is killed.
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
	l.stopAndCheck(t)
}

// Guards against a router that, after a long pause, acts on its old view: it is
// suspended while a data centre is taken out and must send that data centre no
// request once it resumes.
func TestFrozenRouterStartsNothingAtAQuietDataCentre(t *testing.T) {
	c := startCluster(t)
	targets := c.targets(t)
	l := startLoad(t, c)
	c.routers[0].signal(t, syscall.SIGSTOP)
	accepted := c.accept(t, api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: "dc-b"})
	time.Sleep(freezeDuration)
	c.routers[0].signal(t, syscall.SIGCONT)
	time.Sleep(time.Second)
	l.stop()
	c.checkQuiet(t, targets, "dc-b", accepted)
	eventually(t, startTimeout, "the resumed router returns complete answers", func() bool {
		a, _, err := sendQuery(c.routers[0].httpAddr, &api.Query{Kind: "search"})
		return err == nil && a != nil && a.Complete
	})
}

// Guards against a second run of a non-idempotent request that is sent again with
// the same key: the router that ran it and the control leader are killed, and
// another router must return the recorded outcome.
func TestNonIdempotentRequestRunsOnceOverKills(t *testing.T) {
	c := startCluster(t)
	q := &api.Query{Kind: "order", RequestKey: "order-1", Body: json.RawMessage(`{"n":1}`)}
	first, refusal, err := sendQuery(c.routers[0].httpAddr, q)
	if err != nil || refusal != nil {
		t.Fatal(refusal, err)
	}
	c.routers[0].signal(t, syscall.SIGKILL)
	c.leader(t).signal(t, syscall.SIGKILL)
	var again *api.Answer
	eventually(t, startTimeout, "another router returns the recorded outcome", func() bool {
		again, _, err = sendQuery(c.routers[1].httpAddr, q)
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
			t.Errorf("shard %s ran the request %d times", shard, n)
		}
	}
	if len(runs) != shards {
		t.Errorf("the request ran on %d shards", len(runs))
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

// targets returns the targets of the first deployment.
func (c *cluster) targets(t *testing.T) []topology.Target {
	t.Helper()
	return c.loadDeployment(t, "deployment.ini").Targets
}

func (c *cluster) loadDeployment(t *testing.T, file string) *topology.Deployment {
	t.Helper()
	d, err := settings.LoadDeployment(filepath.Join(c.dir, file))
	if err != nil {
		t.Fatal(err)
	}
	return d
}
