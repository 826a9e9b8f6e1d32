// Package discovery keeps the list of targets that the platform names. One
// process reads the list and others watch it, so that the calls to the platform
// don't grow with the number of routers; whoever hears nothing for too long
// reads for itself.
package discovery

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/topology"
)

// TargetID names one target. A target may start again under its id.
type TargetID string

// Target is one entry of the list.
type Target struct {
	ID         TargetID
	Service    route.ServiceName
	Addr       netip.AddrPort
	DataCentre topology.DataCentre
	// Slots is the number of requests that the target works on at once.
	Slots int
	// Draining says that the target is about to stop and gets no new work.
	Draining bool
	// ColdUntil is when the target is warm, zero if it is.
	ColdUntil time.Time
	// BornUnixMS is when the target started, 0 if the list doesn't tell.
	BornUnixMS int64
}

// coldSlack is how far two readings of the end of a cold start may differ and
// still count as the same.
const coldSlack = 300 * time.Millisecond

// same reports whether two entries say the same.
func (t *Target) same(o *Target) bool {
	a, b := *t, *o
	cold := a.ColdUntil.Sub(b.ColdUntil)
	a.ColdUntil, b.ColdUntil = time.Time{}, time.Time{}
	return a == b && cold.Abs() <= coldSlack
}

// List is one state of the list. It is never changed.
type List struct {
	Targets map[TargetID]*Target
	// RequestedAt is when the list was asked for, zero before the first time.
	RequestedAt time.Time
}

// Age returns the time since the list was asked for.
func (l *List) Age(now time.Time) time.Duration { return now.Sub(l.RequestedAt) }

// Inventory holds the current list.
type Inventory struct {
	list atomic.Pointer[List]

	mu      sync.Mutex
	changed chan struct{}
}

// NewInventory returns an inventory without a list.
func NewInventory() *Inventory {
	v := &Inventory{changed: make(chan struct{})}
	v.list.Store(&List{})
	return v
}

// List returns the current list.
func (v *Inventory) List() *List { return v.list.Load() }

// Changed returns a channel that is closed at the next list.
func (v *Inventory) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Replace takes a list that was asked for at asked. An older list than the
// current one is dropped, which it reports.
func (v *Inventory) Replace(targets []Target, asked time.Time) bool {
	next := &List{Targets: make(map[TargetID]*Target, len(targets)), RequestedAt: asked}
	for i := range targets {
		next.Targets[targets[i].ID] = &targets[i]
	}
	return v.store(next)
}

// ApplyDelta takes what changed since the current list.
func (v *Inventory) ApplyDelta(targets []Target, removed []TargetID, asked time.Time) bool {
	old := v.List()
	next := &List{Targets: make(map[TargetID]*Target, len(old.Targets)+len(targets)), RequestedAt: asked}
	for id, t := range old.Targets {
		next.Targets[id] = t
	}
	for i := range targets {
		next.Targets[targets[i].ID] = &targets[i]
	}
	for _, id := range removed {
		delete(next.Targets, id)
	}
	return v.store(next)
}

func (v *Inventory) store(next *List) bool {
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
