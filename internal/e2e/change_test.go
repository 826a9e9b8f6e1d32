package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// missedChanges is the number of intents accepted while processes are down.
	missedChanges = 300
	// catchUpBound is the time within which a restarted process that missed them
	// must have caught up and serve.
	catchUpBound = 2 * time.Second
)

// TestRepartitionUnderLoad guards against requests refused or aborted while a new
// deployment that adds a shard and a replica comes into force.
func TestRepartitionUnderLoad(t *testing.T) {
	c := startCluster(t)
	l := startLoad(t, c)
	c.accept(t, api.IntentSpec{Kind: api.IntentConfigure, Deployment: c.loadDeployment(t, "repartitioned.ini")})
	eventually(t, startTimeout, "every router queries the new shard", func() bool {
		for _, r := range c.routers {
			a, _, err := sendQuery(r.httpAddr, &api.Query{Kind: "search"})
			if err != nil || a == nil || !a.Complete || a.Asked != shards+1 {
				return false
			}
		}
		return true
	})
	status, err := c.client.Status(t.Context())
	if err != nil || status.ConfigVersion != 2 {
		t.Errorf("status: %+v, %v", status, err)
	}
	l.stopAndCheck(t)
	if l.refused.Load() > 0 {
		t.Errorf("requests were refused: %v", l.firstErrors)
	}
}

// TestRestartAfterHundredsOfChanges guards against slow catch-up: a control member
// and a router are killed, hundreds of changes are accepted, and both are started
// again.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	c := startCluster(t)
	member := c.members[(c.leaderIndex(t)+1)%members]
	router := c.routers[routers-1]
	for _, p := range []*process{member, router} {
		p.signal(t, syscall.SIGKILL)
		_ = p.wait(t, time.Second)
	}
	for i := range missedChanges {
		spec := api.IntentSpec{
			Kind: api.IntentNonIdempotent, Kinds: []topology.KindName{"search"}, Lift: i%2 == 1,
		}
		c.accept(t, spec)
	}
	begun := time.Now()
	c.restart(t, member)
	eventually(t, startTimeout, "the member has caught up with the leader", func() bool {
		list, err := c.client.Members(t.Context())
		if err != nil {
			return false
		}
		least, most := ^uint64(0), uint64(0)
		for _, m := range list.Members {
			least, most = min(least, m.Applied), max(most, m.Applied)
		}
		return len(list.Members) == members && most-least < missedChanges/10
	})
	t.Logf("the member caught up after %v", time.Since(begun).Round(time.Millisecond))
	if took := time.Since(begun); took > catchUpBound {
		t.Errorf("the member caught up after %v", took)
	}
	begun = time.Now()
	c.restart(t, router)
	eventually(t, startTimeout, "the router serves", func() bool {
		a, _, err := sendQuery(router.httpAddr, &api.Query{Kind: "search"})
		return err == nil && a != nil && a.Complete
	})
	t.Logf("the router served after %v", time.Since(begun).Round(time.Millisecond))
	if took := time.Since(begun); took > catchUpBound {
		t.Errorf("the router served after %v", took)
	}
}
