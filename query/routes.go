package query

import (
	"cmp"
	"slices"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/topology"
)

// OwnerShare is the part of a shard's targets that one owner holds.
type OwnerShare struct {
	Owner topology.VMName
	// Targets counts the owner's targets of the shard that aren't quiet.
	Targets int
	// Slots is what they carry when warm.
	Slots int
}

// Route tells who owns the targets of one shard.
type Route struct {
	Shard topology.ShardID
	Group topology.GroupName
	// Shares is sorted: the first owner holds most targets.
	Shares []OwnerShare
	// Missing says why there is no share.
	Missing api.MissingReason
}

// Routes holds the route of each shard of one view. It is immutable.
type Routes struct {
	View    *board.View
	byShard map[topology.ShardID]*Route
}

// NewRoutes builds the routes of view v.
func NewRoutes(v *board.View) *Routes {
	r := &Routes{View: v, byShard: make(map[topology.ShardID]*Route)}
	if v.Topology == nil {
		return r
	}
	for _, s := range v.Topology.Shards() {
		r.byShard[s] = newRoute(v, s)
	}
	return r
}

// Route returns the route of shard s, or nil if there is no such shard.
func (r *Routes) Route(s topology.ShardID) *Route { return r.byShard[s] }

func newRoute(v *board.View, s topology.ShardID) *Route {
	group := v.Topology.GroupOf(s)
	route := &Route{Shard: s, Group: group.Name, Missing: api.MissingNoReplica}
	for _, t := range v.Topology.Replicas(s) {
		if v.IsQuiet(t) {
			route.Missing = api.MissingQuiet
			continue
		}
		owner := v.Assignments[t.ID].Owner
		if owner != "" {
			route.add(owner, group.Slots)
		}
	}
	if len(route.Shares) > 0 {
		route.Missing = ""
	}
	slices.SortFunc(route.Shares, func(a, b OwnerShare) int {
		return cmp.Or(cmp.Compare(b.Targets, a.Targets), cmp.Compare(a.Owner, b.Owner))
	})
	return route
}

func (r *Route) add(owner topology.VMName, slots int) {
	for i := range r.Shares {
		if r.Shares[i].Owner == owner {
			r.Shares[i].Targets++
			r.Shares[i].Slots += slots
			return
		}
	}
	r.Shares = append(r.Shares, OwnerShare{Owner: owner, Targets: 1, Slots: slots})
}
