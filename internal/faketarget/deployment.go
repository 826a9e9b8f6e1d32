package faketarget

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/topology"
)

// Shape is the size of a deployment for tests.
type Shape struct {
	// Replicas is the number per shard; Slots and ColdLimit are per target.
	Shards, Replicas, Slots, ColdLimit int
	WarmAfter                          time.Duration
	// Owners are the routers among which View distributes the targets.
	Owners []topology.VMName
}

// Deployment builds a deployment of one group "g" with the kinds "wide" (coverage
// policy), "quick" (latency policy) and "order" (non-idempotent). The replicas
// of a shard are spread over three data centres.
func Deployment(s Shape) *topology.Deployment {
	g := topology.Group{
		Name: "g", Slots: s.Slots, Connections: 30, ColdLimit: s.ColdLimit, WarmAfter: s.WarmAfter,
	}
	d := &topology.Deployment{Name: "test", Region: "r", DataCentres: []topology.DataCentre{"a", "b", "c"}}
	for i := range s.Shards {
		shard := topology.ShardID(fmt.Sprintf("g/%03d", i))
		g.Shards = append(g.Shards, shard)
		for j := range s.Replicas {
			d.Targets = append(d.Targets, topology.Target{
				ID:         topology.TargetID(fmt.Sprintf("%s-%d", shard, j)),
				Shard:      shard,
				Group:      g.Name,
				DataCentre: d.DataCentres[j%len(d.DataCentres)],
				Addr:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i*s.Replicas+j)),
			})
		}
	}
	d.Groups = []topology.Group{g}
	d.Kinds = []topology.Kind{
		{Name: "wide", Weight: 4, Policy: topology.PolicyCoverage, Deadline: 500 * time.Millisecond, Idempotent: true},
		{
			Name: "quick", Weight: 1, Policy: topology.PolicyLatency, MinCoverage: 0.5,
			Deadline: 500 * time.Millisecond, Idempotent: true,
		},
		{Name: "order", Weight: 2, Policy: topology.PolicyCoverage, Deadline: 500 * time.Millisecond},
	}
	d.HedgeBudget, d.RetryBudget = 0.02, 0.02
	return d
}

// View returns a function that fills a view with the deployment and assigns each
// pair of a shard's replicas to the next owner. The first owner shifts by one
// from shard to shard.
func View(s Shape) func(*board.View) {
	d := Deployment(s)
	return func(v *board.View) {
		v.Index, v.ConfigVersion = 10, 1
		v.Topology = topology.NewIndex(d)
		v.Assignments = make(map[topology.TargetID]board.Assignment)
		v.Routers = make(map[topology.VMName]board.Router)
		for _, o := range s.Owners {
			v.Routers[o] = board.Router{VM: topology.VM{Name: o}, Version: 1}
		}
		for i, t := range d.Targets {
			// With three replicas, two go to a shard's first owner.
			ownerIndex := i/s.Replicas + i%s.Replicas/2
			v.Assignments[t.ID] = board.Assignment{Owner: s.Owners[ownerIndex%len(s.Owners)], Epoch: 5}
		}
	}
}
