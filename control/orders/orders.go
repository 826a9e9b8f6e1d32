// Package orders takes operators' orders that count as confirmed, route tables
// and data centres to take out, into the replicated log, and reads back what
// is in force.
package orders

import (
	"context"
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// readTimeout bounds the confirmation that a read is the newest.
	readTimeout = 800 * time.Millisecond
	// stalledAfter is the time after which a read no longer counts, by either of
	// two clocks: the process may have stood still since the confirmation.
	stalledAfter = time.Second
	// orderTimeout bounds one order's way through the log.
	orderTimeout = 4 * time.Second
)

// Error is a failure without details.
type Error string

// The failures without details.
const (
	// ErrStalled says that the process may have stood still during a read.
	ErrStalled Error = "the process may have stood still"
	// ErrNoRoutes says that no route document was accepted yet.
	ErrNoRoutes Error = "there is no route document"
)

// Error describes the failure.
func (e Error) Error() string { return string(e) }

// Orders takes orders and answers reads.
type Orders struct {
	state *state.State
	log   control.Log
}

// New returns the orders of one member.
func New(st *state.State, log control.Log) *Orders { return &Orders{state: st, log: log} }

// LeaderAddr returns the rpc address of the leader, empty if this member leads
// or knows none.
func (o *Orders) LeaderAddr() string {
	lead := o.log.Leadership()
	if lead.Leads {
		return ""
	}
	return lead.LeaderAddr
}

// PutRoutes puts a checked route document in force unless its version, or
// a higher one, is. It returns once that is durable.
func (o *Orders) PutRoutes(ctx context.Context, version uint64, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if r := o.state.View().Routes; r != nil && version <= r.Version {
		// What this member has applied is committed.
		return nil
	}
	return o.propose(ctx, &state.Command{Routes: &state.Routes{Version: version, Body: body}})
}

// SetQuiet takes a data centre out or brings it back. It returns once that is
// durable.
func (o *Orders) SetQuiet(ctx context.Context, dc topology.DataCentre, quiet bool) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return o.propose(ctx, &state.Command{QuietOrder: &state.QuietOrder{DataCentre: dc, Quiet: quiet}})
}

func (o *Orders) propose(ctx context.Context, c *state.Command) error {
	_, err := o.log.Propose(ctx, c.Encode(time.Now()))
	return err
}

// Routes returns the newest route document. It fails where that can't be known.
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

// stalled reports whether too much time passed, by the monotonic clock, which
// a suspended VM doesn't count, or by the time of day.
func stalled(begun, now time.Time) bool {
	wall := now.Round(0).Sub(begun.Round(0))
	return now.Sub(begun) > stalledAfter || wall.Abs() > stalledAfter
}
