package forward

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/peridotmux/peridotmux/affinity"
	"github.com/peridotmux/peridotmux/cells"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/topology"
)

// preferredHelpers is the number of members of each cell that a router may ask to help:
// it takes turns between the first two, and the others replace those that don't
// answer.
const preferredHelpers = 3

// cellPlan says which other routers send the sub-requests of a gather. It is
// immutable.
type cellPlan struct{ cells []plannedCell }

// plannedCell is one cell as this router uses it.
type plannedCell struct {
	// shards are indexes in the gather's shards.
	shards []int
	// own means that this router is a member of the cell.
	own bool
	// helpers are the members that may be asked otherwise, in the order of preference.
	helpers []helper
	// equal is the number of helpers at the beginning of the list that are equally
	// close.
	equal int
}

// helper is another router that sends sub-requests for this one.
type helper struct {
	vm   topology.VMName
	addr netip.AddrPort
}

// sharing says which routers send sub-requests to a service.
type sharing struct {
	gateways []affinity.Gateway
	// self is this router's index in gateways, -1 if it only helps out.
	self int
}

// planCells decides for each gathered route who sends its sub-requests. f.mu must be
// held.
func (f *fleet) planCells() {
	f.plans = make(map[*route.Gather]*cellPlan)
	f.sharings = make(map[route.ServiceName]sharing)
	if f.table == nil {
		return
	}
	planned := make(map[string][]cells.Cell)
	for i := range f.table.Routes {
		gather := f.table.Routes[i].Gather
		if gather == nil {
			continue
		}
		key := shardSetKey(gather.Shards)
		plan, known := planned[key]
		if !known {
			plan = cells.Plan(gather.Shards, f.workers, f.targetsPerDC(gather.Shards))
			planned[key] = plan
			f.shareServices(plan)
		}
		if plan != nil {
			f.plans[gather] = f.usePlan(gather, plan)
		}
	}
}

// shardSetKey identifies a set of shards, whatever their order.
func shardSetKey(shards []route.ServiceName) string {
	names := make([]string, len(shards))
	for i, s := range shards {
		names[i] = string(s)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// targetsPerDC counts the targets of services in each data centre. f.mu must be held.
func (f *fleet) targetsPerDC(services []route.ServiceName) map[topology.DataCentre]int {
	out := make(map[topology.DataCentre]int)
	for _, s := range services {
		for _, b := range f.byService[s] {
			out[b.target.DataCentre]++
		}
	}
	return out
}

// shareServices records the members of each cell as the routers that share its
// services. A service of several sets of shards keeps the smallest cell. f.mu must be
// held.
func (f *fleet) shareServices(plan []cells.Cell) {
	for i := range plan {
		c := &plan[i]
		self := slices.IndexFunc(c.Members, func(g affinity.Gateway) bool { return g.Name == f.vm })
		for _, s := range c.Shards {
			if before, known := f.sharings[s]; !known || len(c.Members) < len(before.gateways) {
				f.sharings[s] = sharing{gateways: c.Members, self: self}
			}
		}
	}
}

// usePlan returns this router's view of a plan. f.mu must be held.
func (f *fleet) usePlan(gather *route.Gather, plan []cells.Cell) *cellPlan {
	index := make(map[route.ServiceName]int, len(gather.Shards))
	for i, s := range gather.Shards {
		index[s] = i
	}
	self := affinity.Gateway{Name: f.vm, DataCentre: f.dataCentre}
	out := &cellPlan{}
	for i := range plan {
		c := &plan[i]
		p := plannedCell{own: c.Has(f.vm)}
		for _, s := range c.Shards {
			p.shards = append(p.shards, index[s])
		}
		preferred := c.Preferred(self, preferredHelpers)
		for _, g := range preferred {
			p.helpers = append(p.helpers, helper{vm: g.Name, addr: f.addrs[g.Name]})
		}
		if len(preferred) > 1 {
			p.equal = 1
			if (preferred[0].DataCentre == f.dataCentre) == (preferred[1].DataCentre == f.dataCentre) {
				p.equal = 2
			}
		}
		out.cells = append(out.cells, p)
	}
	return out
}

// helperAddrs returns the addresses of the routers that may send sub-requests for
// others.
func (f *fleet) helperAddrs() map[netip.AddrPort]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[netip.AddrPort]bool, len(f.addrs))
	for _, addr := range f.addrs {
		out[addr] = true
	}
	return out
}

// neededHelpers returns the helpers that this router hands shards to while none fails.
func (f *fleet) neededHelpers() []helper {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []helper
	for _, plan := range f.plans {
		for i := range plan.cells {
			if c := &plan.cells[i]; !c.own {
				out = append(out, c.helpers[:min(c.equal, len(c.helpers))]...)
			}
		}
	}
	return out
}

// planFor returns the plan for a gather, nil if this router sends all sub-requests
// itself.
func (f *fleet) planFor(gather *route.Gather) *cellPlan {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plans[gather]
}

// sharingOf returns which routers send sub-requests to a service and this router's
// index among them. f.mu must be held.
func (f *fleet) sharingOf(s route.ServiceName) sharing {
	if shared, ok := f.sharings[s]; ok {
		return shared
	}
	self := slices.IndexFunc(f.gateways, func(g affinity.Gateway) bool { return g.Name == f.vm })
	return sharing{gateways: f.gateways, self: self}
}

const (
	// memberShare is the fraction of what all routers may use of a service, connections
	// and extra arrivals, that belongs to the members of its cell. The rest is for
	// routers that send sub-requests because no member answers.
	memberShare = 0.9
	// unknownMembers is the number of members that a cell may have besides those known,
	// while some routers don't know yet of one that came or left.
	unknownMembers = 1
)

// shareOf returns the fraction of what all routers together may use of a service that
// this router may use. f.mu must be held.
func (f *fleet) shareOf(s route.ServiceName) float64 {
	shared, ok := f.sharings[s]
	switch {
	case !ok:
		return 1 / float64(f.routers)
	case shared.self >= 0:
		return memberShare / float64(len(shared.gateways)+unknownMembers)
	default:
		return (1 - memberShare) / float64(f.routers)
	}
}

// budgetShare returns the fraction of the extra arrivals at a service that this
// router may cause beyond its own requests' ratio.
func (f *fleet) budgetShare(s route.ServiceName, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shareOf(s) * float64(f.routers) / float64(f.mostRouters.at(now))
}
