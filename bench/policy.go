package bench

import (
	"context"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/topology"
)

// Policy is one way to answer queries.
type Policy interface {
	Name() string
	// Start makes it ready for queries to the targets of w.
	Start(ctx context.Context, w *World) error
	// Query sends a query through a router that callers may use now.
	Query(ctx context.Context, a *Arrival, wait time.Duration) Reply
	Stop()
}

// Reply is what a caller gets. Without answer and refusal the query is lost.
type Reply struct {
	// Hash is the hash of the body that was sent.
	Hash    string
	Answer  *api.Answer
	Refusal *api.Refusal
}

// Operator is a Policy that takes operators' changes. Each returns when the
// change was accepted.
type Operator interface {
	TakeOut(ctx context.Context, dc topology.DataCentre) (time.Time, error)
	Return(ctx context.Context, dc topology.DataCentre) (time.Time, error)
	LeaveTarget(ctx context.Context, id topology.TargetID) (time.Time, error)
}

// Machines is a Policy that runs on VMs which may be lost or leave.
type Machines interface {
	// KillRouter ends a router without warning and starts it again later.
	KillRouter(n int)
	StartRouter(n int) error
	// LeaveRouter ends a router gracefully.
	LeaveRouter(n int)
}

// Partitioner is a Policy whose leading control process can be cut off.
type Partitioner interface {
	CutLeader() error
	Heal()
}
