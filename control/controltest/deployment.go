package controltest

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/peridotmux/peridotmux/topology"
)

// Deployment returns a deployment with one group of the given number of shards,
// and the given number of replicas of each, spread over the data centres in
// turn.
func Deployment(shards, replicas int, dcs ...topology.DataCentre) *topology.Deployment {
	d := &topology.Deployment{
		Name: "trial", Region: "here", DataCentres: dcs,
		Groups: []topology.Group{{Name: "desk", Slots: 3, Connections: 30, ColdLimit: 1, WarmAfter: 5 * time.Second}},
		Kinds:  []topology.Kind{{Name: "sweep", Weight: 1, Policy: topology.PolicyCoverage, Deadline: time.Second, Idempotent: true}},
	}
	for s := range shards {
		shard := topology.ShardID(fmt.Sprintf("desk/%04d", s))
		d.Groups[0].Shards = append(d.Groups[0].Shards, shard)
		for r := range replicas {
			d.Targets = append(d.Targets, topology.Target{
				ID:         topology.TargetID(fmt.Sprintf("desk-%04d-%d", s, r)),
				Shard:      shard,
				Group:      "desk",
				DataCentre: dcs[r%len(dcs)],
				Addr:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(10_000+len(d.Targets)%50_000)),
			})
		}
	}
	return d
}
