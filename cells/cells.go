// Package cells decides which gateways send the sub-requests of a gather. It answers
// the load of requests to many shards at many gateways: one gateway that sends all
// sub-requests needs a connection to each shard's targets, and a small VM's processor
// and link handle them one after the other.
//
// The shards are divided into cells of about as many shards as there are cells. Each
// gateway is a member of one cell and keeps connections to the targets of its shards
// alone. A gateway that gets a request hands each cell's shards to one member.
//
// The decision is a pure function of the shards, the gateways and where the targets
// are, so that gateways with the same view come to the same one without messages. It
// needs no socket and no clock.
package cells

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmux/peridotmux/affinity"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// minShards is the number of shards from which a gather is divided. Below it a
	// gateway sends all sub-requests in less time than a hand-over takes.
	minShards = 24
	// minMembers is the mean number of members of a cell at least, so that the loss of
	// some leaves others.
	minMembers = 4
	// minTargetShare is the number of targets in a data centre, as a fraction of the
	// shards, from which its gateways become members. Members elsewhere would send all
	// sub-requests to other data centres.
	minTargetShare = 0.25
)

// Cell is a part of a gather's shards and the gateways that serve it.
type Cell struct {
	// Shards are sorted by name.
	Shards []route.ServiceName
	// Members are sorted by name.
	Members []affinity.Gateway
}

// Plan divides shards into cells. targets is the number of the shards' targets in
// each data centre. It returns nil if each gateway had better send all sub-requests
// itself.
func Plan(shards []route.ServiceName, gateways []affinity.Gateway, targets map[topology.DataCentre]int) []Cell {
	byDC := make(map[topology.DataCentre][]affinity.Gateway)
	eligible := 0
	for _, g := range gateways {
		if float64(targets[g.DataCentre]) >= minTargetShare*float64(len(shards)) {
			byDC[g.DataCentre] = append(byDC[g.DataCentre], g)
			eligible++
		}
	}
	count := min(int(math.Round(math.Sqrt(float64(len(shards))))), eligible/minMembers)
	for count > 1 && sureMembers(byDC, count) < minMembers/2 {
		count--
	}
	if len(shards) < minShards || count < 2 {
		return nil
	}
	sorted := slices.Clone(shards)
	slices.Sort(sorted)
	out := make([]Cell, count)
	for i := range out {
		out[i].Shards = sorted[i*len(sorted)/count : (i+1)*len(sorted)/count]
	}
	for _, members := range byDC {
		deal(out, members)
	}
	for i := range out {
		slices.SortFunc(out[i].Members, func(a, b affinity.Gateway) int { return cmp.Compare(a.Name, b.Name) })
	}
	return out
}

// sureMembers returns the number of members that each of count cells has at least.
func sureMembers(byDC map[topology.DataCentre][]affinity.Gateway, count int) int {
	sum := 0
	for _, gateways := range byDC {
		sum += len(gateways) / count
	}
	return sum
}

// deal adds the gateways of one data centre to the cells, so that the numbers differ
// by one at most. In the order of their hashes, gateways join the cell of the highest
// random weight (rendezvous hashing) that has room.
func deal(cells []Cell, gateways []affinity.Gateway) {
	order := slices.Clone(gateways)
	slices.SortFunc(order, func(a, b affinity.Gateway) int {
		return cmp.Or(cmp.Compare(nameHash(a.Name), nameHash(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	cellHashes := make([]uint64, len(cells))
	for i := range cells {
		cellHashes[i] = xxhash.Sum64String(string(cells[i].Shards[0]))
	}
	counts := make([]int, len(cells))
	room := len(gateways) / len(cells)
	for i, g := range order {
		if i == room*len(cells) {
			room++
		}
		best, bestWeight := -1, uint64(0)
		for c := range cells {
			if w := affinity.Mix(cellHashes[c], nameHash(g.Name)); counts[c] < room && (best < 0 || w > bestWeight) {
				best, bestWeight = c, w
			}
		}
		counts[best]++
		cells[best].Members = append(cells[best].Members, g)
	}
}

func nameHash(vm topology.VMName) uint64 { return xxhash.Sum64String(string(vm)) }

// Has reports whether a gateway is a member of the cell.
func (c *Cell) Has(vm topology.VMName) bool {
	_, found := slices.BinarySearchFunc(c.Members, vm, func(g affinity.Gateway, vm topology.VMName) int { return cmp.Compare(g.Name, vm) })
	return found
}

// Preferred returns at most n members in the order in which a gateway hands shards to
// them. Members in its own data centre come first and otherwise those of the highest
// random weight, which spreads the gateways over the members. If the first is in
// another data centre, the next ones are in further ones where possible, so that the
// loss of one data centre leaves some.
func (c *Cell) Preferred(self affinity.Gateway, n int) []affinity.Gateway {
	selfHash := nameHash(self.Name)
	rest := slices.Clone(c.Members)
	slices.SortFunc(rest, func(a, b affinity.Gateway) int {
		return cmp.Or(
			cmp.Compare(remote(a, self), remote(b, self)),
			cmp.Compare(affinity.Mix(selfHash, nameHash(b.Name)), affinity.Mix(selfHash, nameHash(a.Name))),
			cmp.Compare(a.Name, b.Name),
		)
	})
	var out []affinity.Gateway
	used := make(map[topology.DataCentre]bool)
	for len(out) < n && len(rest) > 0 {
		next := slices.IndexFunc(rest, func(g affinity.Gateway) bool { return g.DataCentre == self.DataCentre || !used[g.DataCentre] })
		next = max(next, 0)
		used[rest[next].DataCentre] = true
		out = append(out, rest[next])
		rest = slices.Delete(rest, next, next+1)
	}
	return out
}

// remote returns 1 if a gateway is in another data centre than self, and otherwise 0.
func remote(g, self affinity.Gateway) int {
	if g.DataCentre == self.DataCentre {
		return 0
	}
	return 1
}
