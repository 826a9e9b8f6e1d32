// Package board is the blackboard of one process: typed records that
// controllers read and write. Readers take an immutable View; writers replace
// it as a whole, so that one query decides on one state.
//
// Two sorts of records meet here. Replicated records come from control and
// carry the version (log index) that wrote them. Local records, such as the
// health of a target, are this process's own observations.
package board

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/topology"
)

// Quiet says why a data centre or target must receive no new work.
type Quiet struct {
	// Intent is the identifier of the intent that asked for it.
	Intent string
	// Until is the return time set by the operator, zero if there is none.
	Until time.Time
	// Leaving is true if the target doesn't return.
	Leaving bool
}

// Router is the replicated record of one router.
type Router struct {
	VM topology.VM
	// Incarnation differs for each start of the router's process.
	Incarnation uint64
	// Leaving is true once the router shuts down and gives its targets away.
	Leaving bool
	// Version is the log index that wrote the record.
	Version uint64
}

// Assignment names the router that owns a target.
type Assignment struct {
	Owner topology.VMName
	// Previous is the owner before, empty if there was none.
	Previous topology.VMName
	// Epoch is the log index that wrote the assignment. It only grows.
	Epoch uint64
}

// RouteDocument is the newest route table as the operator sent it.
type RouteDocument struct {
	// Version is the document's own version.
	Version uint64
	// Index is the log index that wrote it.
	Index uint64
	Body  []byte
}

// View is an immutable state of the board. Its maps must not be changed.
type View struct {
	// Index is the log index up to which replicated records are applied.
	Index uint64
	// ConfigVersion is the version of the deployment in force, 1 for the first.
	ConfigVersion uint64
	// Topology is nil until the first deployment has arrived.
	Topology      *topology.Index
	QuietDCs      map[topology.DataCentre]Quiet
	QuietTargets  map[topology.TargetID]Quiet
	Routers       map[topology.VMName]Router
	Assignments   map[topology.TargetID]Assignment
	NonIdempotent map[topology.KindName]bool
	// Routes is nil until the first route document was accepted.
	Routes *RouteDocument
}

// IsQuiet reports whether target t must receive no new work.
func (v *View) IsQuiet(t *topology.Target) bool {
	if _, ok := v.QuietDCs[t.DataCentre]; ok {
		return true
	}
	_, ok := v.QuietTargets[t.ID]
	return ok
}

// Board holds the current View and wakes subscribers when it changes.
type Board struct {
	view atomic.Pointer[View]

	mu      sync.Mutex
	changed chan struct{}
}

// New returns a board with an empty view.
func New() *Board {
	b := &Board{changed: make(chan struct{})}
	b.view.Store(&View{})
	return b
}

// View returns the current state.
func (b *Board) View() *View { return b.view.Load() }

// Changed returns a channel that is closed at the next change.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Update replaces the view by what edit makes of a shallow copy of it. Edit
// must copy a map before it changes it.
func (b *Board) Update(edit func(*View)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := *b.view.Load()
	edit(&next)
	b.view.Store(&next)
	close(b.changed)
	b.changed = make(chan struct{})
}
