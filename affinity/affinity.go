// Package affinity decides which targets of a service each gateway keeps connections
// to. It answers the load of many gateways with few requests each: together they need
// more connections than the targets accept, and a connection that is opened for each
// request costs a round trip and the target's time.
//
// The decision is a pure function of the gateways, the targets and their connection
// limits, so that all gateways with the same view come to the same one without
// messages. It needs no socket and no clock.
package affinity

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// limitShare is the fraction of a target's connection limit that gateways keep
	// connections for. The rest is for those opened on demand, for gateways with an
	// older view, and for connections of lost gateways that the target still counts. A
	// target that has a long queue accepts fewer connections.
	limitShare = 0.5
	// balanceSlack is how far the kept connections of a target may exceed the mean of
	// its service, as a fraction.
	balanceSlack = 0.1
)

// Gateway is one gateway that shares the targets.
type Gateway struct {
	Name       topology.VMName
	DataCentre topology.DataCentre
}

// Target is one target of a service.
type Target struct {
	ID         discovery.TargetID
	DataCentre topology.DataCentre
	// MaxConnections is the number of connections that the target accepts from all
	// gateways together.
	MaxConnections int
}

// Assignment is the result for one service.
type Assignment struct {
	// Scarce is true if not every gateway can keep a connection to every target.
	Scarce bool
	// Kept lists, for each gateway in the order of the input, the indexes of the
	// targets that it keeps a connection to.
	Kept [][]int
}

// Assign decides which targets of a service each gateway keeps a connection to.
// Gateways prefer a target of their own data centre and otherwise the highest random
// weight (rendezvous hashing). A target whose share is used up is passed over, so that
// neither the limits nor the balance depend on the hash.
func Assign(service route.ServiceName, gateways []Gateway, targets []Target) Assignment {
	a := Assignment{Kept: make([][]int, len(gateways))}
	if len(gateways) == 0 || len(targets) == 0 {
		return a
	}
	d := newDeal(service, gateways, targets)
	a.Scarce = d.quota < float64(len(targets))
	if !a.Scarce {
		for g := range gateways {
			a.Kept[g] = allIndexes(len(targets))
		}
		return a
	}
	for round := 0; d.dealRound(round, a.Kept); round++ {
	}
	return a
}

func allIndexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// deal is the state of one decision.
type deal struct {
	gateways []Gateway
	targets  []Target
	// gatewayHashes and targetHashes are hashes of the names, with the service's in
	// those of the gateways.
	gatewayHashes, targetHashes []uint64
	// order lists the gateways in the order in which they choose.
	order []int
	// quota is the mean number of connections that a gateway keeps.
	quota float64
	// room is the number of connections that each target has left.
	room []int
}

func newDeal(service route.ServiceName, gateways []Gateway, targets []Target) *deal {
	d := &deal{gateways: gateways, targets: targets}
	total := 0
	for _, t := range targets {
		d.room = append(d.room, int(limitShare*float64(t.MaxConnections)))
		d.targetHashes = append(d.targetHashes, xxhash.Sum64String(string(t.ID)))
		total += d.room[len(d.room)-1]
	}
	d.quota = float64(total) / float64(len(gateways))
	mean := min(d.quota, float64(len(targets))) * float64(len(gateways)) / float64(len(targets))
	for i := range d.room {
		d.room[i] = min(d.room[i], int((1+balanceSlack)*mean)+1)
	}
	serviceHash := xxhash.Sum64String(string(service))
	for i, g := range gateways {
		d.gatewayHashes = append(d.gatewayHashes, Mix(serviceHash, xxhash.Sum64String(string(g.Name))))
		d.order = append(d.order, i)
	}
	slices.SortFunc(d.order, func(a, b int) int {
		return cmp.Or(cmp.Compare(d.gatewayHashes[a], d.gatewayHashes[b]), cmp.Compare(gateways[a].Name, gateways[b].Name))
	})
	return d
}

// Mix returns a well distributed hash of two hashes.
func Mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// dealRound gives one more target to each gateway that may keep more than round of
// them: first to the gateways that find one in their own data centre. It returns false
// if none may.
func (d *deal) dealRound(round int, kept [][]int) bool {
	dealt := false
	for _, local := range []bool{true, false} {
		for _, g := range d.order {
			if len(kept[g]) > round || !d.mayKeep(g, round) {
				continue
			}
			dealt = true
			if t := d.choose(g, kept[g], local); t >= 0 {
				d.room[t]--
				kept[g] = append(kept[g], t)
			}
		}
	}
	return dealt && round < len(d.targets)
}

// mayKeep reports whether gateway g may keep more than n targets. The fraction of the
// quota goes to gateways by their hash, so that one gateway more changes the share of
// gateways that keep one target less, and not what all of them do.
func (d *deal) mayKeep(g, n int) bool {
	const hashRange = 1 << 53
	fraction := float64(Mix(d.gatewayHashes[g], 1)>>11) / hashRange
	return float64(n)+fraction < d.quota
}

// choose returns the target with room that gateway g prefers among those that it
// doesn't keep, or -1. If local is set, only targets of its data centre count.
func (d *deal) choose(g int, kept []int, local bool) int {
	best, bestWeight := -1, uint64(0)
	for t := range d.targets {
		if d.room[t] <= 0 || slices.Contains(kept, t) || local && d.targets[t].DataCentre != d.gateways[g].DataCentre {
			continue
		}
		if w := Mix(d.gatewayHashes[g], d.targetHashes[t]); best < 0 || w > bestWeight {
			best, bestWeight = t, w
		}
	}
	return best
}
