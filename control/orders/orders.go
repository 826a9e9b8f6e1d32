// Package orders writes the orders of the platform's operator to the replicated
// log, without a plan or confirmation: route documents, data centres to take out
// of service, and rollouts. It also reads back what is in force.
package orders

import (
	"context"
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// readTimeout limits the confirmation that a read returns the newest state.
	readTimeout = 800 * time.Millisecond
	// maxReadDuration is the duration, by the monotonic or the wall clock,
	// after which a read is discarded: the process may have been suspended
	// since the confirmation.
	maxReadDuration = time.Second
	// orderTimeout limits the proposal of one order.
	orderTimeout = 4 * time.Second
)

// Error is an error without further details.
type Error string

// Errors returned by Orders.Routes.
const (
	// ErrStalled is returned if the process may have been suspended during a
	// read.
	ErrStalled Error = "the process may have stood still"
	// ErrNoRoutes is returned if no route document has been accepted yet.
	ErrNoRoutes Error = "there is no route document"
)

// Error describes the failure.
func (e Error) Error() string { return string(e) }

// Orders submits orders and serves reads. It is safe for concurrent use.
type Orders struct {
	state *state.State
	log   control.Log
	// inventory is nil if orders of rollouts aren't taken.
	inventory *discovery.Inventory
}

// New returns the orders of one member.
func New(st *state.State, log control.Log) *Orders { return &Orders{state: st, log: log} }

// LeaderAddr returns the rpc address of the leader, or "" if this member leads
// or the leader is unknown.
func (o *Orders) LeaderAddr() string {
	lead := o.log.Leadership()
	if lead.Leads {
		return ""
	}
	return lead.LeaderAddr
}

// PutRoutes stores a validated route document unless its version or a higher
// one is in force already. It returns once the document is durable.
func (o *Orders) PutRoutes(ctx context.Context, version uint64, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if r := o.state.View().Routes; r != nil && version <= r.Version {
		// What this member has applied is committed.
		return nil
	}
	c, err := state.NewRoutes(version, body)
	if err != nil {
		return err
	}
	return o.propose(ctx, c)
}

// SetQuiet takes a data centre out of service or brings it back. It returns
// once the change is durable.
func (o *Orders) SetQuiet(ctx context.Context, dc topology.DataCentre, quiet bool) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return o.propose(ctx, &state.Command{QuietOrder: &state.QuietOrder{DataCentre: dc, Quiet: quiet}})
}

func (o *Orders) propose(ctx context.Context, c *state.Command) error {
	_, err := o.log.Propose(ctx, c.Encode(time.Now()))
	return err
}

// Routes returns the newest committed route document. It fails if this member
// can't confirm that its document is the newest.
func (o *Orders) Routes(ctx context.Context) (*board.RouteDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	begun := time.Now()
	if _, _, err := o.log.Confirm(ctx); err != nil {
		return nil, err
	}
	routes := o.state.View().Routes
	if stalled(begun, time.Now()) {
		return nil, ErrStalled
	}
	if routes == nil {
		return nil, ErrNoRoutes
	}
	return routes, nil
}

// stalled reports whether too much time has passed, by the monotonic clock,
// which doesn't count the time during which a VM is suspended, or by the wall
// clock.
func stalled(begun, now time.Time) bool {
	wall := now.Round(0).Sub(begun.Round(0))
	return now.Sub(begun) > maxReadDuration || wall.Abs() > maxReadDuration
}
