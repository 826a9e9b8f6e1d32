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
	// Targets is the number of the owner's targets of the shard that aren't
	// quiet.
	Targets int
	// Slots is the number of slots of these targets when warm.
	Slots int
}

// Route lists the owners of one shard's targets.
type Route struct {
	Shard topology.ShardID
	Group topology.GroupName
	// Shares is sorted by descending number of targets.
	Shares []OwnerShare
	// Missing is the reason if there are no shares.
	Missing api.MissingReason
}

// Routes holds the route of each shard in one view. It is immutable and safe
// for concurrent use.
type Routes struct {
	View    *board.View
	byShard map[topology.ShardID]*Route
}

// NewRoutes returns the routes of view v. It has none if v has no topology.
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

// newRoute returns the route of shard s in view v. Quiet targets and targets
// without an owner are left out.
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

// add counts one target with the given slots for owner.
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
