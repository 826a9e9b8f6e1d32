package forward

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/affinity"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/internal/connpool"
	"github.com/peridotmux/peridotmux/outlier"
	"github.com/peridotmux/peridotmux/ratelimit"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// connectTimeout bounds the time to connect to a target.
	connectTimeout = 250 * time.Millisecond
	// costJitter is the random part of a cost, as a fraction of the median service
	// time, so that routers don't all choose the same target at equal costs.
	costJitter = 0.05
)

// fleet holds this router's state of all targets. It is safe for concurrent use.
type fleet struct {
	vm         topology.VMName
	dataCentre topology.DataCentre
	dialer     net.Dialer

	mu        sync.Mutex
	byID      map[discovery.TargetID]*backend
	byService map[route.ServiceName][]*backend
	// returnedAt is when each data centre was last brought back.
	returnedAt map[topology.DataCentre]time.Time
	// quiet holds the data centres that are taken out of service.
	quiet map[topology.DataCentre]board.Quiet
	// listRequestedAt is when the list in use was requested from the platform.
	listRequestedAt time.Time
	// routers is the number of routers that share the targets, at least 1, and
	// mostRouters the most of them lately.
	routers     int
	mostRouters recentMost
	// gateways are the routers in control's records, with this one. workers are those
	// of them that may send sub-requests for others, and addrs their addresses.
	gateways, workers []affinity.Gateway
	addrs             map[topology.VMName]netip.AddrPort
	// plans says which routers send the sub-requests of a gather, and sharings which
	// ones send those of a service, for gathers that are divided.
	plans    map[*route.Gather]*cellPlan
	sharings map[route.ServiceName]sharing
	// assignedAt is when kept connections were last assigned; assignmentStale means
	// that the targets, the routers or the routes may have changed since.
	assignedAt      time.Time
	assignmentStale bool
	table           *route.Table
	// listLag is how far the platform's list may lag behind.
	listLag time.Duration
	// collector gathers this router's observations for the other routers.
	collector *outlier.Collector
	rollouts  rollouts
	// limits are the rate limits that targets named to all routers.
	limits *ratelimit.Gateway
	// learning is nil if the targets' capacity isn't learned.
	learning *Learning
	// random returns random numbers from 0 to 1.
	random func() float64
}

func newFleet(vm topology.VMName, dc topology.DataCentre, listLag time.Duration, collector *outlier.Collector) *fleet {
	return &fleet{
		vm: vm, dataCentre: dc, listLag: listLag, collector: collector,
		byID:       make(map[discovery.TargetID]*backend),
		returnedAt: make(map[topology.DataCentre]time.Time),
		routers:    1,
		rollouts:   newRollouts(RolloutConfig{}),
		limits:     ratelimit.NewGateway(time.Now),
		random:     newRandom(),
	}
}

// update applies the newest target list, control's records and the route table.
func (f *fleet) update(l *discovery.List, v *board.View, table *route.Table, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for dc := range f.quiet {
		if _, still := v.QuietDCs[dc]; !still {
			f.returnedAt[dc] = now
		}
	}
	newTable := f.table != table
	f.quiet, f.listRequestedAt, f.table = v.QuietDCs, l.RequestedAt, table
	f.routers = max(len(v.Routers), 1)
	f.mostRouters.add(f.routers, now)
	f.applyRouters(v)
	f.assignmentStale = true
	f.applyList(l)
	f.rollouts.update(v, l, now)
	if newTable {
		f.planCells()
	}
	f.limitConnections()
}

// applyList adds and removes backends to match the list. f.mu must be held.
func (f *fleet) applyList(l *discovery.List) {
	for id, b := range f.byID {
		t, ok := l.Targets[id]
		if ok && b.refresh(t) {
			continue
		}
		delete(f.byID, id)
		b.pool.Close()
	}
	f.byService = make(map[route.ServiceName][]*backend)
	for id, t := range l.Targets {
		b := f.byID[id]
		if b == nil {
			b = newBackend(t, connpool.New(t.Addr, connpool.Options{
				MaxConnections: minConnections, ConnectTimeout: connectTimeout, Dialer: &f.dialer,
			}))
			f.byID[id] = b
		}
		f.byService[t.Service] = append(f.byService[t.Service], b)
	}
}

// usable reports whether a target may get requests now. The targets of a data
// centre that was brought back are usable once the list is recent enough to show
// their state after the return.
func (f *fleet) usable(b *backend, now time.Time) bool {
	if b.target.Draining || b.replaced || b.leaving || b.suspect || b.coldUntil().After(now) || b.backOffUntil.After(now) {
		return false
	}
	if !f.rollouts.admits(b, now) {
		return false
	}
	dc := b.target.DataCentre
	if _, quiet := f.quiet[dc]; quiet {
		return false
	}
	returned, ok := f.returnedAt[dc]
	return !ok || f.listRequestedAt.After(returned.Add(f.listLag))
}

// candidates returns the usable targets of a service, without the silent ones unless
// all are silent. f.mu must be held.
func (f *fleet) candidates(s route.ServiceName, now time.Time) []*backend {
	var all, heard []*backend
	for _, b := range f.byService[s] {
		if !f.usable(b, now) {
			continue
		}
		all = append(all, b)
		if !b.silent {
			heard = append(heard, b)
		}
	}
	if len(heard) > 0 {
		return heard
	}
	return all
}

// markSilent records that a target's host doesn't acknowledge a request sent at since.
// It returns false if the target answered another request after that.
func (f *fleet) markSilent(b *backend, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.heardAt.After(since) {
		return false
	}
	b.silent = true
	return true
}

// criteria are the requirements for the choice of a target.
type criteria struct {
	service route.ServiceName
	// route is the route's name.
	route route.Name
	// median is the median service time of the route's requests.
	median time.Duration
	// tried are the targets that the request was already sent to.
	tried []*backend
	// hedge means that the attempt is a hedge.
	hedge bool
	// nonIdempotent means that the request must not run twice.
	nonIdempotent bool
	// admitted means that the request was admitted within the limits of the service's
	// targets if these don't suffice for all.
	admitted bool
	// objective is when the response should be there. Targets whose queue is too long
	// for that are left out. If zero, none are.
	objective time.Time
}

// overrun reports whether a target's queue is too long.
func (crit *criteria) overrun(c *candidate, now time.Time) bool {
	return !crit.objective.IsZero() && c.overrun(crit.median, crit.objective.Sub(now))
}

// choose selects the target of a service with the lowest cost and counts the
// attempt as in flight. It returns nil if no target can be used. During a rollout the
// old versions may take a request that the new one can't take, but not the reverse.
func (f *fleet) choose(crit *criteria, now time.Time) *selection {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := f.rollouts.chooseVersion(crit.service)
	overLimit := f.drawOverLimit(crit, now)
	best, isProbe := f.cheapest(crit, &version, overLimit, now)
	if best == nil && version.isNew {
		best, isProbe = f.cheapest(crit, &versionChoice{rollout: version.rollout}, overLimit, now)
	}
	if best == nil {
		return nil
	}
	if isProbe {
		best.backend.probeAt = now.Add(f.probeInterval(best.backend.service))
	}
	best.hedge = crit.hedge
	best.key = best.backend.capacityKey()
	if _, best.limited = f.limitOf(best.backend); best.limited {
		f.limits.Take(best.key)
	}
	best.rollout = f.rollouts.sent(&version, best.backend, crit.route)
	best.backend.inFlight[best] = now
	best.backend.neededAt = now
	return best
}

// cheapest returns the target of some versions with the lowest cost, nil if there is
// none, and whether it is probed. Targets over their limit are left out. f.mu must be held.
func (f *fleet) cheapest(crit *criteria, version *versionChoice, overLimit targetSet, now time.Time) (*selection, bool) {
	var best *selection
	bestIsProbe := false
	list := f.candidates(crit.service, now)
	greatestShare := f.greatestShare(list, now)
	for _, b := range list {
		if !version.allows(b) || overLimit[b] || b.connLimitReached(now) || contains(crit.tried, b) || !b.pool.HasRoom() {
			continue
		}
		c := b.candidate(now, b.target.DataCentre == f.dataCentre)
		f.applyLearned(b, &c, now)
		if greatestShare > 0 {
			c.learned.press(greatestShare, f.random())
		}
		probe := len(crit.tried) == 0 && !crit.nonIdempotent && b.shouldProbe(&c, now)
		if probe {
			c.slowness, c.failureRate, c.learned = minSlowness, 0, learned{}
		}
		if !probe && crit.overrun(&c, now) {
			continue
		}
		estimate := cost(&c, crit.median)
		estimate += time.Duration(f.random() * costJitter * float64(crit.median))
		if best == nil || estimate < best.cost {
			best, bestIsProbe = &selection{backend: b, candidate: c, cost: estimate, median: crit.median}, probe
		}
	}
	return best, bestIsProbe
}

// hasAlternative reports whether a service has a usable target that wasn't tried and takes
// hedges.
func (f *fleet) hasAlternative(s route.ServiceName, tried []*backend, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.candidates(s, now) {
		if _, limited := f.limitOf(b); !limited && !b.connLimitReached(now) && !contains(tried, b) {
			return true
		}
	}
	return false
}

// hasBusy reports whether a service for which choose found no target has some that are
// only too busy: their queue is long, or this router has no connection free. A target over
// its rate limit isn't waited for.
func (f *fleet) hasBusy(crit *criteria, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.candidates(crit.service, now) {
		if _, limited := f.limitOf(b); !limited && !contains(crit.tried, b) {
			return true
		}
	}
	return false
}

func contains(list []*backend, b *backend) bool {
	for _, x := range list {
		if x == b {
			return true
		}
	}
	return false
}

// notices are what a target said of itself in a response for the first time.
type notices struct {
	// leaves means that it is about to stop, and limitChanged that its rate limit begins,
	// ends or changes by much.
	leaves, limitChanged bool
}

// finish records the outcome of an attempt and returns what the target said in it.
func (f *fleet) finish(sel *selection, o *Outcome, now time.Time) notices {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := notices{leaves: o.Leaving && !sel.backend.leaving, limitChanged: sel.backend.applyLimit(o.Limit)}
	f.observeLimit(sel.backend, o.Limit, now)
	delete(sel.backend.inFlight, sel)
	sel.backend.recordOutcome(o, sel.median, now)
	f.collector.Add(sel.backend.incarnation(), sel.outlierCounts(o))
	f.rollouts.add(sel.rollout, sel.rolloutCounts(o))
	f.learn(sel, o, now)
	return n
}

// countUsable returns the number of services that have a usable target.
func (f *fleet) countUsable(services []route.ServiceName, now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range services {
		for _, b := range f.byService[s] {
			if f.usable(b, now) {
				n++
				break
			}
		}
	}
	return n
}

// timeUntilUsable returns the expected time until count of the services have a
// usable target, within minRetryAfter and maxRetryAfter.
func (f *fleet) timeUntilUsable(services []route.ServiceName, count int, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var waits []time.Duration
	for _, s := range services {
		waits = append(waits, f.serviceUsableIn(s, now))
	}
	slices.Sort(waits)
	count = min(max(count, 1), len(waits))
	return min(max(waits[count-1], minRetryAfter), maxRetryAfter)
}

// serviceUsableIn returns the expected time until a target of the service is
// usable, noTargetRetryAfter if it is unknown. f.mu must be held.
func (f *fleet) serviceUsableIn(s route.ServiceName, now time.Time) time.Duration {
	wait := time.Duration(-1)
	for _, b := range f.byService[s] {
		if f.usable(b, now) {
			return 0
		}
		left := max(b.coldUntil().Sub(now), b.backOffUntil.Sub(now))
		if b.target.Draining || b.replaced || b.leaving || b.suspect || left <= 0 {
			continue
		}
		if wait < 0 || left < wait {
			wait = left
		}
	}
	if wait < 0 {
		return noTargetRetryAfter
	}
	return wait
}
