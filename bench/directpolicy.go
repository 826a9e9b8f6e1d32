package bench

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

// changeDelay is the time until operators' changes take effect in the baseline
// policies, whose routers poll for them once a second.
const changeDelay = time.Second

// directPolicy sends each shard's search from the entry directly to one random
// replica, without retries or hedges, and waits for all until the deadline. Each
// router has a fixed share of each target's concurrency, given by share; searches
// beyond it wait.
type directPolicy struct {
	name    string
	seed    uint64
	share   func(slots, conns, router, replica int) int
	cluster *Cluster
	clients []*target.Client
	next    atomic.Uint64 // number of queries so far
	// rngs holds the only generator; receiving it locks it.
	rngs chan *rand.Rand
	// limits holds a semaphore for each router per target.
	limits map[topology.TargetID][]chan struct{}
	// quiet is the set of targets that receive no new searches. It is replaced,
	// never modified.
	quiet atomic.Pointer[map[topology.TargetID]bool]
	// quietMu serializes replacements of quiet.
	quietMu sync.Mutex
}

// NewNaive returns the naive policy. It limits the concurrent searches of each
// router to a target only to the router's share of the target's connections.
func NewNaive(seed uint64) Policy {
	return &directPolicy{name: "naive", seed: seed, share: func(_, conns, _, _ int) int {
		return max(conns/routers, 1)
	}}
}

// NewStatic returns the policy that partitions each target's slots among the
// routers: router r gets each slot s for which
// (replica*slots + s) % routers == r.
func NewStatic(seed uint64) Policy {
	return &directPolicy{name: "static", seed: seed, share: func(slots, _, router, replica int) int {
		n := 0
		for s := range slots {
			if (replica*slots+s)%routers == router {
				n++
			}
		}
		return n
	}}
}

// Name implements Policy.
func (p *directPolicy) Name() string { return p.name }

// Start implements Policy.
func (p *directPolicy) Start(_ context.Context, cluster *Cluster) error {
	p.cluster = cluster
	p.limits = make(map[topology.TargetID][]chan struct{})
	for r := range cluster.Site.Routers {
		p.clients = append(p.clients, target.NewClient(target.Options{
			LocalAddr:      cluster.Site.Routers[r].RPC.Addr(),
			MaxConnections: 64,
		}))
	}
	for _, shard := range cluster.Index.Shards() {
		p.splitLimits(cluster.Index.GroupOf(shard), cluster.Index.Replicas(shard))
	}
	p.quiet.Store(&map[topology.TargetID]bool{})
	p.rngs = make(chan *rand.Rand, 1)
	p.rngs <- rand.New(rand.NewPCG(p.seed, 3)) //nolint:gosec // Repeatable by design.
	return nil
}

// splitLimits gives each router its share of each replica of a shard. If the shard
// has fewer slots than there are routers, the routers beyond share the limits of
// the first ones.
func (p *directPolicy) splitLimits(g *topology.Group, replicas []*topology.Target) {
	slots := g.Slots * len(replicas)
	for n, t := range replicas {
		for r := range routers {
			if r >= slots {
				p.limits[t.ID] = append(p.limits[t.ID], p.limits[t.ID][r%slots])
				continue
			}
			share := p.share(g.Slots, g.Connections, r, n)
			p.limits[t.ID] = append(p.limits[t.ID], make(chan struct{}, share))
		}
	}
}

// Stop implements Policy.
func (p *directPolicy) Stop() {
	for _, c := range p.clients {
		c.Close()
	}
}

// Query implements Policy.
func (p *directPolicy) Query(ctx context.Context, a *Arrival, wait time.Duration) Reply {
	n := p.next.Add(1)
	router := int(n % routers) //nolint:gosec // Small.
	id := "n" + strconv.FormatUint(n, 10)
	deadline := time.Now().Add(wait)
	results := make([]*api.ShardResult, len(a.Group.Shards))
	var all sync.WaitGroup
	for i, shard := range a.Group.Shards {
		all.Go(func() { results[i] = p.search(ctx, router, id, shard, a.Body, deadline) })
	}
	all.Wait()
	answer := &api.Answer{RequestID: id, Asked: len(results)}
	for i, r := range results {
		if r == nil {
			answer.Missing = append(answer.Missing, api.MissingShard{Shard: a.Group.Shards[i], Reason: api.MissingLate})
			continue
		}
		answer.Results = append(answer.Results, *r)
	}
	answer.Covered = len(answer.Results)
	if answer.Covered > 0 {
		result, _ := decodeResult(answer.Results[0].Body)
		answer.Snapshot = result.Version
	}
	answer.Complete = answer.Covered == answer.Asked
	return Reply{Answer: answer}
}

// search runs one shard's search on a random replica. It returns nil unless the
// target answers before the deadline.
func (p *directPolicy) search(
	ctx context.Context, router int, id string, shard topology.ShardID, body []byte, deadline time.Time,
) *api.ShardResult {
	t := p.choose(router, shard)
	if t == nil {
		return nil
	}
	limit := p.limits[t.ID][router]
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case limit <- struct{}{}:
	case <-timer.C:
		return nil
	}
	defer func() { <-limit }()
	out := p.clients[router].Search(ctx, target.Search{
		Target: t, RequestID: id, IndexVersion: p.version(t.ID), Deadline: deadline, Body: body,
	})
	if out.Status != target.OK {
		return nil
	}
	return &api.ShardResult{Shard: shard, Body: out.Body}
}

// choose returns a random replica among those that the router may use, or nil.
func (p *directPolicy) choose(router int, shard topology.ShardID) *topology.Target {
	quiet := *p.quiet.Load()
	var usable []*topology.Target
	for _, t := range p.cluster.Index.Replicas(shard) {
		if !quiet[t.ID] && cap(p.limits[t.ID][router]) > 0 {
			usable = append(usable, t)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	rng := <-p.rngs
	n := rng.IntN(len(usable))
	p.rngs <- rng
	return usable[n]
}

// version returns the newest index version that the target serves. It models a
// router that uses each target's newest version without coordination.
func (p *directPolicy) version(id topology.TargetID) uint64 {
	return p.cluster.Targets[id].NewestVersion()
}

// TakeOut implements OperatorActions.
func (p *directPolicy) TakeOut(_ context.Context, dc topology.DataCentre) (time.Time, error) {
	return p.setQuiet(p.cluster.TargetsInDC(dc), true), nil
}

// BringBack implements OperatorActions.
func (p *directPolicy) BringBack(_ context.Context, dc topology.DataCentre) (time.Time, error) {
	return p.setQuiet(p.cluster.TargetsInDC(dc), false), nil
}

// RemoveTarget implements OperatorActions.
func (p *directPolicy) RemoveTarget(_ context.Context, id topology.TargetID) (time.Time, error) {
	return p.setQuiet([]topology.TargetID{id}, true), nil
}

// setQuiet adds targets to the quiet set or removes them after changeDelay, and
// returns the current time as the time of acceptance.
func (p *directPolicy) setQuiet(ids []topology.TargetID, quiet bool) time.Time {
	time.AfterFunc(changeDelay, func() {
		p.quietMu.Lock()
		defer p.quietMu.Unlock()
		next := make(map[topology.TargetID]bool)
		for id := range *p.quiet.Load() {
			next[id] = true
		}
		for _, id := range ids {
			if quiet {
				next[id] = true
			} else {
				delete(next, id)
			}
		}
		p.quiet.Store(&next)
	})
	return time.Now()
}
