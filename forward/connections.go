package forward

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/peridotmux/peridotmux/affinity"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// usableConnectionShare is the fraction of a target's connection limit that all
	// routers together use.
	usableConnectionShare = 0.9
	// minConnections is the number of connections that a router may open to a
	// target in any case.
	minConnections = 2
	// dealThreshold is the fraction of a service's total connection limit above which
	// the routers keep connections by assignment.
	dealThreshold = 0.45
	// unkeptIdleTimeout is how long a connection may then be idle to a target that this
	// router keeps none to. It is short because other routers need the target's
	// connections.
	unkeptIdleTimeout = time.Second
	// crowdedTime is how long a target counts as crowded after it reset a connection
	// above its limit, and crowdedIdleTimeout how long connections to it may be idle.
	crowdedTime        = 5 * time.Second
	crowdedIdleTimeout = 300 * time.Millisecond
	// scarceThreshold is the fraction of a target's connection limit up to which every
	// router may keep a connection for as long as it likes. It is low because after a
	// power loss a target counts its old connections as well as the new ones.
	scarceThreshold = 0.4
	// scarceIdleTimeout is how long the last connection to a target may be idle between
	// the two thresholds.
	scarceIdleTimeout = 6 * time.Second
	// extraIdleTimeout is how long connections to a target other than the last one
	// may be idle. It is short because after a power loss a target counts its old
	// connections for a while.
	extraIdleTimeout = time.Second
	// trimInterval is the time between two trims of idle connections.
	trimInterval = 250 * time.Millisecond
	// assignInterval is the minimum time between two assignments of connections.
	assignInterval = time.Second
	// opensPerTrim is the number of kept connections that are opened at each trim. It
	// spreads those of a restarted router over seconds.
	opensPerTrim = 8
	// reopenWindow is how long after a target's last request, or after its connection
	// was assigned, a kept connection that the target closed is opened again.
	reopenWindow = 12 * time.Second
	// reopenInterval is the minimum time between two attempts to open a kept
	// connection, and its random part.
	reopenInterval = 2 * time.Second
)

// applyRouters takes over the routers in a view, with this one. f.mu must be held.
func (f *fleet) applyRouters(v *board.View) {
	f.gateways, f.workers = nil, nil
	f.addrs = make(map[topology.VMName]netip.AddrPort, len(v.Routers))
	for name, r := range v.Routers {
		g := affinity.Gateway{Name: name, DataCentre: r.VM.DataCentre}
		f.gateways = append(f.gateways, g)
		if r.VM.RPC.IsValid() && !r.Leaving {
			f.workers = append(f.workers, g)
			f.addrs[name] = r.VM.RPC
		}
	}
	if _, known := v.Routers[f.vm]; !known {
		f.gateways = append(f.gateways, affinity.Gateway{Name: f.vm, DataCentre: f.dataCentre})
	}
}

// limitConnections divides each target's connections among the routers. f.mu must
// be held.
func (f *fleet) limitConnections() {
	if f.table == nil {
		return
	}
	for name, backends := range f.byService {
		s, ok := f.table.Services[name]
		if !ok {
			continue
		}
		perRouter := int(usableConnectionShare * float64(s.MaxConnections) * f.shareOf(name))
		for _, b := range backends {
			b.pool.SetMaxConnections(max(perRouter, minConnections))
		}
	}
}

// assignConnections decides who sends the sub-requests of gathers and which targets
// this router keeps a connection to. f.mu must be held.
func (f *fleet) assignConnections(now time.Time) {
	if f.table == nil || !f.assignmentStale || now.Sub(f.assignedAt) < assignInterval {
		return
	}
	f.assignedAt, f.assignmentStale = now, false
	f.planCells()
	f.limitConnections()
	for name := range f.table.UsedServices() {
		f.assignService(name, now)
	}
}

// assignService applies the assignment of one service. Targets that are leaving or
// whose data centre is quiet take no part in it. f.mu must be held.
func (f *fleet) assignService(name route.ServiceName, now time.Time) {
	s, ok := f.table.Services[name]
	if !ok {
		return
	}
	var members []*backend
	var targets []affinity.Target
	kept := make(map[*backend]bool)
	for _, b := range f.byService[name] {
		kept[b] = b.keepsConnection
		b.keepsConnection = false
		_, quiet := f.quiet[b.target.DataCentre]
		if b.target.Draining || quiet {
			continue
		}
		members = append(members, b)
		targets = append(targets, affinity.Target{ID: b.id, DataCentre: b.target.DataCentre, MaxConnections: s.MaxConnections})
	}
	shared := f.sharingOf(name)
	routers := float64(len(shared.gateways))
	dealt := shared.self < 0 || dealThreshold*float64(s.MaxConnections*len(f.byService[name])) < routers
	for _, b := range f.byService[name] {
		b.connsDealt = dealt
		b.connsScarce = dealt || scarceThreshold*float64(s.MaxConnections) < routers
	}
	if !dealt || shared.self < 0 {
		return
	}
	for _, t := range affinity.Assign(name, shared.gateways, targets).Kept[shared.self] {
		b := members[t]
		b.keepsConnection = true
		if !kept[b] {
			b.neededAt = now
		}
	}
}

// trim closes connections that have been idle for too long, and returns the targets
// to which a kept connection is missing and may be opened now.
func (f *fleet) trim(now time.Time) []*backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.assignConnections(now)
	for _, backends := range f.byService {
		for _, b := range backends {
			b.pool.Trim(now.Add(-extraIdleTimeout), b.idleSinceLimit(now))
		}
	}
	return f.missingConnections(now)
}

// idleSinceLimit returns the time since when the last connection to b may have been
// idle at most, zero for no limit.
func (b *backend) idleSinceLimit(now time.Time) time.Time {
	switch {
	case b.connsScarce && b.crowded(now):
		return now.Add(-crowdedIdleTimeout)
	case b.connsDealt && !b.keepsConnection:
		return now.Add(-unkeptIdleTimeout)
	case b.connsScarce && !b.connsDealt:
		return now.Add(-scarceIdleTimeout)
	default:
		return time.Time{}
	}
}

// missingConnections returns at most opensPerTrim targets of gathered routes to which
// a kept connection is missing. f.mu must be held.
func (f *fleet) missingConnections(now time.Time) []*backend {
	if f.table == nil {
		return nil
	}
	var out []*backend
	for _, r := range f.table.Routes {
		if r.Gather == nil {
			continue
		}
		for _, name := range r.Gather.Shards {
			for _, b := range f.byService[name] {
				if len(out) == opensPerTrim {
					return out
				}
				if b.connectionMissing(now) && f.usable(b, now) {
					b.openAt = now.Add(reopenInterval + rand.N(reopenInterval))
					out = append(out, b)
				}
			}
		}
	}
	return out
}

// connectionMissing reports whether a kept connection may be opened now. Where
// connections aren't dealt out, the first request opens one.
func (b *backend) connectionMissing(now time.Time) bool {
	return b.connsDealt && b.keepsConnection && !b.leaving && b.pool.NumOpen() == 0 &&
		now.Sub(b.neededAt) < reopenWindow && !b.openAt.After(now) && !b.crowded(now)
}

// crowded reports whether the target recently reset a connection above its limit,
// which is lower while it has a long queue. An idle connection then keeps out one that
// has a request to carry.
func (b *backend) crowded(now time.Time) bool { return now.Sub(b.crowdedAt) < crowdedTime }

// openConnection opens a kept connection to b.
func (s *Server) openConnection(ctx context.Context, b *backend) {
	if err := b.pool.Open(ctx); err != nil {
		s.cfg.Log.Debug("kept connection not opened", "target", string(b.id), "service", string(b.service), "error", err)
	}
}
