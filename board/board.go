// Package board holds the state that the parts of one process share, as typed
// records (the blackboard pattern). Readers get an immutable View; writers replace
// the View atomically, so that a query is decided on one consistent state.
//
// There are two kinds of records. Replicated records come from control and carry
// the log index that wrote them as their version. Local records, such as the
// health of a target, are observations of this process.
package board

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/rollout"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/topology"
)

// Quiet records that a data centre or target is quiet: it must receive no new
// work.
type Quiet struct {
	// Intent is the id of the operator's intent that made it quiet.
	Intent string
	// Until is the return time set by the operator, zero if there is none.
	Until time.Time
	// Leaving is true if the target is removed permanently.
	Leaving bool
}

// Router is the replicated record of one router.
type Router struct {
	VM topology.VM
	// Incarnation differs for each start of the router's process.
	Incarnation uint64
	// Leaving is true once the router is shutting down and hands its targets over.
	Leaving bool
	// Version is the log index that wrote the record.
	Version uint64
}

// Assignment names the router that owns a target.
type Assignment struct {
	Owner topology.VMName
	// Previous is the previous owner, empty if there was none.
	Previous topology.VMName
	// Epoch is the log index that wrote the assignment. It increases with each
	// assignment of a target.
	Epoch uint64
}

// RouteDocument is the newest route table in the encoding in which the operator
// submitted it.
type RouteDocument struct {
	// Version is the document's own version.
	Version uint64
	// Index is the log index that wrote the document.
	Index uint64
	// Body must not be modified.
	Body []byte
}

// View is an immutable state of the board. Its maps must not be modified.
type View struct {
	// Index is the log index up to which replicated records are applied.
	Index uint64
	// ConfigVersion is the version of the deployment in force, counted from 1.
	ConfigVersion uint64
	// Topology is nil until the first deployment has been applied.
	Topology     *topology.Index
	QuietDCs     map[topology.DataCentre]Quiet
	QuietTargets map[topology.TargetID]Quiet
	Routers      map[topology.VMName]Router
	Assignments  map[topology.TargetID]Assignment
	// NonIdempotent holds the kinds that operators declared non-idempotent.
	NonIdempotent map[topology.KindName]bool
	// QuotasGranted means that a holder of quotas may have granted credits, and
	// QuotasSettled that the last holder of quotas that granted anything did so for
	// long enough that all credits of earlier ones have expired.
	QuotasGranted, QuotasSettled bool
	// QuotasSettledAt and QuotasRestoredAt are the versions of the records that the last
	// holder of quotas was settled, and restored. A restored holder's successor may use
	// the reserved tokens. A member of an earlier release doesn't remove the second record,
	// which is void if it is older than the first.
	QuotasSettledAt, QuotasRestoredAt uint64
	// Rollouts holds the newest rollout of each service that had one.
	Rollouts map[route.ServiceName]rollout.Status
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

// Board holds the current View and notifies subscribers of changes. It is safe
// for concurrent use.
type Board struct {
	view atomic.Pointer[View]

	mu sync.Mutex
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// New returns a board with an empty view.
func New() *Board {
	b := &Board{changed: make(chan struct{})}
	b.view.Store(&View{})
	return b
}

// View returns the current state without locking.
func (b *Board) View() *View { return b.view.Load() }

// Changed returns a channel that is closed at the next change.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Update passes a shallow copy of the view to edit and then makes it the current
// view. Edit must clone a map before modifying it, and must not call the board's
// Changed or Update, which would deadlock.
func (b *Board) Update(edit func(*View)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := *b.view.Load()
	edit(&next)
	b.view.Store(&next)
	close(b.changed)
	b.changed = make(chan struct{})
}
