package forward

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/internal/connpool"
	"github.com/peridotmux/peridotmux/outlier"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// connectTimeout bounds the time to connect to a target.
	connectTimeout = 250 * time.Millisecond
	// connectionShare is the part of a target's connections that routers use.
	connectionShare = 0.9
	// easyShare is the part of a target's connections up to which every router may
	// keep one: after a power loss a target counts the old ones besides the new.
	easyShare = 0.4
	// leastConnections is what a router may open to a target in any case.
	leastConnections = 2
	// lastIdleTime is how long the only connection to a target may be idle where
	// connections are scarce, and shortIdleTime where they are short: where the
	// targets that are left can't take a connection of every router.
	lastIdleTime  = 6 * time.Second
	shortIdleTime = 300 * time.Millisecond
	// shortShare is the part of a service's connections above which they are short.
	shortShare = 0.5
	// idleTime is how long more than one connection to a target may be idle. After
	// a power loss a target counts the connections of before for a while, so
	// routers keep few.
	idleTime = time.Second
	// trimInterval is the time between two looks at idle connections.
	trimInterval = 250 * time.Millisecond
	// tieShare blurs equal costs, so that routers don't all choose the same target.
	tieShare = 0.05
)

// fleet holds the targets as this router sees them.
type fleet struct {
	dataCentre topology.DataCentre
	dialer     net.Dialer

	mu        sync.Mutex
	byID      map[discovery.TargetID]*backend
	byService map[route.ServiceName][]*backend
	// returned is when each data centre came back.
	returned map[topology.DataCentre]time.Time
	quiet    map[topology.DataCentre]board.Quiet
	asked    time.Time
	routers  int
	table    *route.Table
	// listLag is how far the platform's list may be behind.
	listLag time.Duration
	// seen collects what this router tells the others of targets.
	seen *outlier.Collector
}

func newFleet(dc topology.DataCentre, listLag time.Duration, seen *outlier.Collector) *fleet {
	return &fleet{
		dataCentre: dc, listLag: listLag, seen: seen,
		byID:     make(map[discovery.TargetID]*backend),
		returned: make(map[topology.DataCentre]time.Time),
		routers:  1,
	}
}

// update takes the newest list, records and route table.
func (f *fleet) update(l *discovery.List, v *board.View, table *route.Table, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for dc := range f.quiet {
		if _, still := v.QuietDCs[dc]; !still {
			f.returned[dc] = now
		}
	}
	f.quiet, f.asked, f.table = v.QuietDCs, l.RequestedAt, table
	f.routers = max(len(v.Routers), 1)
	f.takeList(l)
	f.limitConnections()
}

func (f *fleet) takeList(l *discovery.List) {
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
				MaxConnections: leastConnections, ConnectTimeout: connectTimeout, Dialer: &f.dialer,
			}))
			f.byID[id] = b
		}
		f.byService[t.Service] = append(f.byService[t.Service], b)
	}
}

// limitConnections divides each target's connections among the routers.
func (f *fleet) limitConnections() {
	if f.table == nil {
		return
	}
	for name, backends := range f.byService {
		s, ok := f.table.Services[name]
		if !ok {
			continue
		}
		most := int(connectionShare * float64(s.MaxConnections) / float64(f.routers))
		scarce := easyShare*float64(s.MaxConnections) < float64(f.routers)
		for _, b := range backends {
			b.scarce = scarce
			b.pool.SetMaxConnections(max(most, leastConnections))
		}
	}
}

// usable reports whether a target may get work now.
func (f *fleet) usable(b *backend, now time.Time) bool {
	if b.target.Draining || b.gone || b.doubted || b.coldUntil().After(now) {
		return false
	}
	dc := b.target.DataCentre
	if _, quiet := f.quiet[dc]; quiet {
		return false
	}
	back, ok := f.returned[dc]
	return !ok || f.asked.After(back.Add(f.listLag))
}

// need says what a choice of a target is for.
type need struct {
	service route.ServiceName
	// median is the usual service time of the route's requests.
	median time.Duration
	// tried are the targets that the request went to before.
	tried []*backend
	// once says that the request must not run twice.
	once bool
}

// choose takes the target of a service that costs least, and counts the attempt
// as out. It returns nil if no target can be used.
func (f *fleet) choose(n *need, now time.Time) *sending {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best *sending
	probes := false
	for _, b := range f.byService[n.service] {
		if !f.usable(b, now) || b.full(now) || contains(n.tried, b) {
			continue
		}
		c := b.candidate(now, b.target.DataCentre == f.dataCentre)
		probe := len(n.tried) == 0 && !n.once && b.probes(&c, now)
		if probe {
			c.slowness, c.failing = minSlowness, 0
		}
		at := cost(&c, n.median)
		at += time.Duration(rand.Float64() * tieShare * float64(n.median))
		if best == nil || at < best.cost {
			best, probes = &sending{b: b, seen: c, cost: at, median: n.median}, probe
		}
	}
	if best == nil {
		return nil
	}
	if probes {
		best.b.probeAt = now.Add(f.probeInterval())
	}
	best.b.out[best] = now
	return best
}

// another reports whether a service has a usable target besides those tried.
func (f *fleet) another(s route.ServiceName, tried []*backend, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.byService[s] {
		if f.usable(b, now) && !b.full(now) && !contains(tried, b) {
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

// done takes in the outcome of an attempt.
func (f *fleet) done(x *sending, o *Outcome, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(x.b.out, x)
	x.b.learn(o, x.median, now)
	f.seen.Add(x.b.start(), x.counts(o))
}

// trim closes idle connections that aren't needed.
func (f *fleet) trim(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, backends := range f.byService {
		last := f.lastIdle(name, backends, now)
		for _, b := range backends {
			limit := time.Time{}
			if b.scarce {
				limit = now.Add(-last)
			}
			b.pool.Trim(now.Add(-idleTime), limit)
		}
	}
}

// lastIdle returns how long the only connection to a target of a service may be
// idle.
func (f *fleet) lastIdle(name route.ServiceName, backends []*backend, now time.Time) time.Duration {
	if f.table == nil {
		return lastIdleTime
	}
	usable := 0
	for _, b := range backends {
		if f.usable(b, now) {
			usable++
		}
	}
	if shortShare*float64(f.table.Services[name].MaxConnections*usable) < float64(f.routers) {
		return shortIdleTime
	}
	return lastIdleTime
}

// available counts the services that have a usable target.
func (f *fleet) available(services []route.ServiceName, now time.Time) int {
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

// routerCount returns the number of routers that share the targets.
func (f *fleet) routerCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.routers
}

// usableIn returns how long it takes until that many of several services are
// expected to have a usable target.
func (f *fleet) usableIn(services []route.ServiceName, count int, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var waits []time.Duration
	for _, s := range services {
		waits = append(waits, f.serviceUsableIn(s, now))
	}
	slices.Sort(waits)
	count = min(max(count, 1), len(waits))
	return min(max(waits[count-1], leastRetry), mostRetry)
}

// serviceUsableIn returns how long it takes until a target of the service is
// expected to be usable, noTargetRetry if nothing tells.
func (f *fleet) serviceUsableIn(s route.ServiceName, now time.Time) time.Duration {
	wait := time.Duration(-1)
	for _, b := range f.byService[s] {
		if f.usable(b, now) {
			return 0
		}
		left := b.coldUntil().Sub(now)
		if b.target.Draining || b.gone || b.doubted || left <= 0 {
			continue
		}
		if wait < 0 || left < wait {
			wait = left
		}
	}
	if wait < 0 {
		return noTargetRetry
	}
	return wait
}
