// Package bench compares the product with simpler routing policies. Each policy
// gets the same arrivals and the same faults on stand-in targets, which listen on
// loopback sockets.
package bench

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/peridotmux/peridotmux/topology"
)

// Names of the built-in deployments.
const (
	Duenger = "duenger"
	Brazos  = "brazos"
)

const (
	// QueryDeadline is the deadline of every kind of query.
	QueryDeadline = 500 * time.Millisecond
	// warmAfter and coldLimit are the cold-start settings of all groups: the
	// service time until warm, and the concurrent searches directly after a cold
	// start.
	warmAfter = 5 * time.Second
	coldLimit = 1
	// routers is the number of router VMs.
	routers = 8
	// hedgeRetryBudget is the share of extra sub-requests that hedges may add, and
	// that retries may add.
	hedgeRetryBudget = 0.02
)

// Site is a deployment with the network latencies, the mix of queries and the
// router VMs that a benchmark run needs.
type Site struct {
	*topology.Deployment
	// InterDCLatency and ClientLatency are one-way latencies: between data
	// centres, and between callers and routers.
	InterDCLatency time.Duration
	ClientLatency  time.Duration
	Mix            []KindShare
	// Routers lists the router VMs. Their addresses have port 0.
	Routers []topology.VM
}

// KindShare is the fraction of the arrivals that are of one kind. Queries of the
// kind search every shard of one group.
type KindShare struct {
	Kind  topology.KindName  `json:"kind"`
	Group topology.GroupName `json:"group"`
	Share float64            `json:"share"`
}

// groupSpec describes a group of a built-in deployment. Replicas count per shard,
// slots and conns per target.
type groupSpec struct {
	name        topology.GroupName
	shards      int
	replicas    int
	slots       int
	conns       int
	connectCost time.Duration
}

// kindSpec describes a kind of query and its share of the arrivals.
type kindSpec struct {
	name          topology.KindName
	group         topology.GroupName
	share         float64
	weight        float64
	nonIdempotent bool
}

// NewSite returns the named deployment, or an UnknownError. Targets have the
// addresses 127.1.d.n and routers 127.2.d.n, where d numbers the data centres
// from 1. All ports are 0.
func NewSite(name string) (*Site, error) {
	switch name {
	case Duenger:
		return duenger(), nil
	case Brazos:
		return brazos(), nil
	}
	return nil, &UnknownError{Kind: "deployment", Name: name}
}

func duenger() *Site {
	s := newSite(Duenger, "ch-mittelland", "bern-a", "olten-b", "aarau-c")
	s.InterDCLatency = 1500 * time.Microsecond
	s.ClientLatency = 3 * time.Millisecond
	s.addGroups([]groupSpec{
		{"agent-desk", 10, 3, 3, 30, 6 * time.Millisecond},
		{"coop-portal", 15, 3, 3, 30, 6 * time.Millisecond},
		{"archive-reader", 1, 10, 6, 110, time.Millisecond},
		{"notice-mailer", 1, 4, 6, 110, time.Millisecond},
	})
	s.addKinds([]kindSpec{
		{"price-sweep", "agent-desk", 0.4, 3, false},
		{"bulletin-search", "coop-portal", 0.35, 2, false},
		{"archive-lookup", "archive-reader", 0.2, 1, false},
		{"order-confirmation", "notice-mailer", 0.05, 3, true},
	})
	return s
}

func brazos() *Site {
	s := newSite(Brazos, "central-tx", "ctx-a", "ctx-b", "ctx-c", "ctx-d")
	s.InterDCLatency = 500 * time.Microsecond
	s.ClientLatency = time.Millisecond
	s.addGroups([]groupSpec{
		{"fitdesk", 10, 3, 2, 25, 6 * time.Millisecond},
		{"orderbook", 15, 3, 2, 25, 6 * time.Millisecond},
		{"quoteroom", 1, 4, 6, 50, time.Millisecond},
		{"alterlog", 1, 4, 6, 50, time.Millisecond},
	})
	s.addKinds([]kindSpec{
		{"fitting-lookup", "fitdesk", 0.4, 3, false},
		{"roster-check", "orderbook", 0.35, 2, false},
		{"swatch-fetch", "quoteroom", 0.2, 1, false},
		{"jacket-order", "alterlog", 0.05, 3, true},
	})
	return s
}

func newSite(name string, region topology.Region, dcs ...topology.DataCentre) *Site {
	d := &topology.Deployment{
		Name: name, Region: region, DataCentres: dcs, HedgeBudget: hedgeRetryBudget, RetryBudget: hedgeRetryBudget,
	}
	s := &Site{Deployment: d}
	for i := range routers {
		dc := i % len(dcs)
		ip := netip.AddrFrom4([4]byte{127, 2, byte(dc + 1), byte(i + 1)})
		s.Routers = append(s.Routers, topology.VM{
			Name:       topology.VMName(fmt.Sprintf("entry-%d", i+1)),
			DataCentre: dcs[dc],
			RPC:        netip.AddrPortFrom(ip, 0),
			HTTP:       netip.AddrPortFrom(ip, 0),
		})
	}
	return s
}

func (s *Site) addGroups(specs []groupSpec) {
	for _, spec := range specs {
		g := topology.Group{
			Name: spec.name, Slots: spec.slots, Connections: spec.conns, ConnectCost: spec.connectCost,
			ColdLimit: coldLimit, WarmAfter: warmAfter,
		}
		for n := range spec.shards {
			shard := topology.ShardID(fmt.Sprintf("%s/%02d", spec.name, n))
			g.Shards = append(g.Shards, shard)
			for r := range spec.replicas {
				s.addTarget(shard, spec.name, n, r)
			}
		}
		s.Groups = append(s.Groups, g)
	}
}

// addTarget adds one replica of shard n of a group. Replicas of a shard are spread
// over the data centres.
func (s *Site) addTarget(shard topology.ShardID, group topology.GroupName, n, replica int) {
	dc := (n + replica) % len(s.DataCentres)
	ip := netip.AddrFrom4([4]byte{127, 1, byte(dc + 1), byte(len(s.Targets)%250 + 1)})
	s.Targets = append(s.Targets, topology.Target{
		ID:         topology.TargetID(fmt.Sprintf("%s/%d", shard, replica)),
		Shard:      shard,
		Group:      group,
		DataCentre: s.DataCentres[dc],
		Addr:       netip.AddrPortFrom(ip, 0),
	})
}

func (s *Site) addKinds(specs []kindSpec) {
	for _, spec := range specs {
		s.Kinds = append(s.Kinds, topology.Kind{
			Name: spec.name, Weight: spec.weight, Policy: topology.PolicyCoverage,
			MinCoverage: minCoverage, Deadline: QueryDeadline, Idempotent: !spec.nonIdempotent,
		})
		s.Mix = append(s.Mix, KindShare{Kind: spec.name, Group: spec.group, Share: spec.share})
	}
}

// minCoverage is the fraction of shards below which an answer is useless to the
// caller.
const minCoverage = 0.5

// OneWayLatency returns the one-way latency from the host with address ip to a
// data centre. It is 0 for hosts other than routers and targets.
func (s *Site) OneWayLatency(ip netip.Addr, dc topology.DataCentre) time.Duration {
	b := ip.Unmap().As4()
	index := int(b[2]) - 1
	if b[1] == 0 || index < 0 || index >= len(s.DataCentres) || s.DataCentres[index] == dc {
		return 0
	}
	return s.InterDCLatency
}

// Rate returns the arrivals per second that occupy the fraction load of the slots
// of the scarcest shard, given the mean service time of a search.
func (s *Site) Rate(load float64, meanService time.Duration) float64 {
	rate := 0.0
	for _, m := range s.Mix {
		if m.Share <= 0 {
			continue
		}
		r := load * float64(s.slotsPerShard(m.Group)) / meanService.Seconds() / m.Share
		if rate == 0 || r < rate {
			rate = r
		}
	}
	return rate
}

// slotsPerShard returns the slots of all replicas of one shard of a group.
func (s *Site) slotsPerShard(name topology.GroupName) int {
	for i := range s.Groups {
		g := &s.Groups[i]
		if g.Name != name {
			continue
		}
		replicas := 0
		for j := range s.Targets {
			if s.Targets[j].Shard == g.Shards[0] {
				replicas++
			}
		}
		return replicas * g.Slots
	}
	return 0
}
