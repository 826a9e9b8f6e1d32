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
	Start(ctx context.Context, w *Cluster) error
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

// OperatorActions is a Policy that takes operators' changes. Each returns when the
// change was accepted.
type OperatorActions interface {
	TakeOut(ctx context.Context, dc topology.DataCentre) (time.Time, error)
	BringBack(ctx context.Context, dc topology.DataCentre) (time.Time, error)
	RemoveTarget(ctx context.Context, id topology.TargetID) (time.Time, error)
}

// RouterLifecycle is a Policy that runs on VMs which may be lost or leave.
type RouterLifecycle interface {
	// KillRouter ends a router without warning and starts it again later.
	KillRouter(n int)
	StartRouter(n int) error
	// ShutDownRouter ends a router gracefully.
	ShutDownRouter(n int)
}

// LeaderIsolator is a Policy whose leading control process can be cut off.
type LeaderIsolator interface {
	IsolateLeader() error
	HealPartition()
}
