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

// naivePoll is how often the naive policy's routers learn of operators' changes.
const naivePoll = time.Second

// direct sends each shard's search from the entry straight to a random
// replica, never twice, and waits for all until the deadline. Each router has
// its own share of what a target carries, and its searches wait for it.
type direct struct {
	name    string
	seed    uint64
	share   func(slots, conns, router, replica int) int
	world   *Cluster
	clients []*target.Client
	next    atomic.Uint64
	rngs    chan *rand.Rand
	limits  map[topology.TargetID][]chan struct{}
	quiet   atomic.Pointer[map[topology.TargetID]bool]
	// changing is held while quiet is replaced.
	changing sync.Mutex
}

// NewNaive returns the naive policy. Its only limit is the share of each
// target's connections that a router may open.
func NewNaive(seed uint64) Policy {
	return &direct{name: "naive", seed: seed, share: func(_, conns, _, _ int) int {
		return max(conns/routers, 1)
	}}
}

// NewStatic returns the policy that deals each target's slots out whole to the
// routers: router r gets the slots s with (replica + s) % routers == r.
func NewStatic(seed uint64) Policy {
	return &direct{name: "static", seed: seed, share: func(slots, _, router, replica int) int {
		n := 0
		for s := range slots {
			if (replica*slots+s)%routers == router {
				n++
			}
		}
		return n
	}}
}

func (p *direct) Name() string { return p.name }

func (p *direct) Start(_ context.Context, w *Cluster) error {
	p.world = w
	p.limits = make(map[topology.TargetID][]chan struct{})
	for r := range w.Site.Routers {
		p.clients = append(p.clients, target.NewClient(target.Options{
			LocalAddr:      w.Site.Routers[r].RPC.Addr(),
			MaxConnections: 64,
		}))
	}
	for _, shard := range w.Index.Shards() {
		p.deal(w.Index.GroupOf(shard), w.Index.Replicas(shard))
	}
	p.quiet.Store(&map[topology.TargetID]bool{})
	p.rngs = make(chan *rand.Rand, 1)
	p.rngs <- rand.New(rand.NewPCG(p.seed, 3)) //nolint:gosec // Repeatable on purpose.
	return nil
}

// deal gives each router its share of each of a shard's replicas. Where there
// are fewer slots than routers, the last routers use those of the first.
func (p *direct) deal(g *topology.Group, replicas []*topology.Target) {
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

func (p *direct) Stop() {
	for _, c := range p.clients {
		c.Close()
	}
}

func (p *direct) Query(ctx context.Context, a *Arrival, wait time.Duration) Reply {
	n := p.next.Add(1)
	router := int(n % routers) //nolint:gosec // Small.
	id := "n" + strconv.FormatUint(n, 10)
	deadline := time.Now().Add(wait)
	results := make([]*api.ShardResult, len(a.Group.Shards))
	var all sync.WaitGroup
	for i, shard := range a.Group.Shards {
		all.Go(func() { results[i] = p.ask(ctx, router, id, shard, a.Body, deadline) })
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

// ask runs one shard's search at a random replica.
func (p *direct) ask(
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

// choose picks a random replica among those that the router may use.
func (p *direct) choose(router int, shard topology.ShardID) *topology.Target {
	quiet := *p.quiet.Load()
	var usable []*topology.Target
	for _, t := range p.world.Index.Replicas(shard) {
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

// version returns the newest version that the target serves, as a router that
// asks each target for its newest would use it.
func (p *direct) version(id topology.TargetID) uint64 {
	return p.world.Targets[id].NewestVersion()
}

// TakeOut implements Operator.
func (p *direct) TakeOut(_ context.Context, dc topology.DataCentre) (time.Time, error) {
	return p.change(p.world.TargetsInDC(dc), true), nil
}

// Return implements Operator.
func (p *direct) Return(_ context.Context, dc topology.DataCentre) (time.Time, error) {
	return p.change(p.world.TargetsInDC(dc), false), nil
}

// LeaveTarget implements Operator.
func (p *direct) LeaveTarget(_ context.Context, id topology.TargetID) (time.Time, error) {
	return p.change([]topology.TargetID{id}, true), nil
}

func (p *direct) change(ids []topology.TargetID, quiet bool) time.Time {
	time.AfterFunc(naivePoll, func() {
		p.changing.Lock()
		defer p.changing.Unlock()
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
