// Package discovery maintains the platform's list of targets. One process reads
// the list and the others watch that process, so that the number of calls to the
// platform does not grow with the number of routers. A process whose list becomes
// too old reads the list itself.
package discovery

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/topology"
)

// TargetID identifies one target. A restarted target keeps its id.
type TargetID string

// Target is one entry of the list of targets.
type Target struct {
	ID         TargetID
	Service    route.ServiceName
	Addr       netip.AddrPort
	DataCentre topology.DataCentre
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// Draining is true if the target is about to stop and must get no new work.
	Draining bool
	// ColdUntil is when the target's cold start ends, zero if the target is warm.
	ColdUntil time.Time
	// BornUnixMS is the start time of the target in Unix milliseconds, 0 if
	// unknown. It distinguishes restarts under the same id.
	BornUnixMS int64
	// Version is the version of the target's software, empty if unknown.
	Version string
}

// coldTolerance is the largest difference at which two values of ColdUntil count as
// equal. Each read computes it anew from the remaining time.
const coldTolerance = 300 * time.Millisecond

// equivalent reports whether two entries are equal, apart from a difference of up
// to coldTolerance in ColdUntil.
func (t *Target) equivalent(o *Target) bool {
	a, b := *t, *o
	cold := a.ColdUntil.Sub(b.ColdUntil)
	a.ColdUntil, b.ColdUntil = time.Time{}, time.Time{}
	return a == b && cold.Abs() <= coldTolerance
}

// List is one immutable version of the list of targets.
type List struct {
	Targets map[TargetID]*Target
	// RequestedAt is when the list was requested from the platform, zero before the
	// first read.
	RequestedAt time.Time
}

// Age returns the time since the list was requested from the platform.
func (l *List) Age(now time.Time) time.Duration { return now.Sub(l.RequestedAt) }

// Inventory holds the current list and notifies subscribers of changes. It is
// safe for concurrent use.
type Inventory struct {
	list atomic.Pointer[List]

	mu sync.Mutex
	// changed is closed and replaced at each new list.
	changed chan struct{}
}

// NewInventory returns an inventory with an empty list.
func NewInventory() *Inventory {
	v := &Inventory{changed: make(chan struct{})}
	v.list.Store(&List{})
	return v
}

// List returns the current list.
func (v *Inventory) List() *List { return v.list.Load() }

// Changed returns a channel that is closed when the next list is stored.
func (v *Inventory) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// newList returns a list that was requested at requestedAt. It keeps pointers into
// targets, which must not be modified afterwards.
func newList(targets []Target, requestedAt time.Time) *List {
	l := &List{Targets: make(map[TargetID]*Target, len(targets)), RequestedAt: requestedAt}
	for i := range targets {
		l.Targets[targets[i].ID] = &targets[i]
	}
	return l
}

// withDelta returns the list with targets added or replaced and the removed ids
// deleted, as of requestedAt. It keeps pointers into targets as newList does.
func (l *List) withDelta(targets []Target, removed []TargetID, requestedAt time.Time) *List {
	next := &List{Targets: make(map[TargetID]*Target, len(l.Targets)+len(targets)), RequestedAt: requestedAt}
	maps.Copy(next.Targets, l.Targets)
	for i := range targets {
		next.Targets[targets[i].ID] = &targets[i]
	}
	for _, id := range removed {
		delete(next.Targets, id)
	}
	return next
}

// Replace stores a list that was requested at requestedAt. It returns false and
// drops the list if the current one was requested later. It keeps pointers into
// targets, which must not be modified afterwards.
func (v *Inventory) Replace(targets []Target, requestedAt time.Time) bool {
	return v.Store(newList(targets, requestedAt))
}

// Store makes next the current list unless the current one was requested later,
// and reports whether it did.
func (v *Inventory) Store(next *List) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if next.RequestedAt.Before(v.list.Load().RequestedAt) {
		return false
	}
	v.list.Store(next)
	close(v.changed)
	v.changed = make(chan struct{})
	return true
}
