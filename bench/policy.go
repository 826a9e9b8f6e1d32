package bench

import (
	"context"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/topology"
)

// Policy is an implementation of query routing to be measured.
type Policy interface {
	Name() string
	// Start prepares the policy for queries to the targets of cluster. It returns when
	// the policy is ready, or an error.
	Start(ctx context.Context, cluster *Cluster) error
	// Query sends a query that must be answered within wait through an available
	// router, and waits for the reply for some time more. It is called concurrently.
	Query(ctx context.Context, a *Arrival, wait time.Duration) Reply
	// Stop ends the policy and releases its resources.
	Stop()
}

// Reply is the result of one send. If both Answer and Refusal are nil, the query
// was lost.
type Reply struct {
	// Hash is the hash of the body that was sent.
	Hash    string
	Answer  *api.Answer
	Refusal *api.Refusal
}

// OperatorActions is implemented by policies that accept operators' changes. Each
// method returns the time from which the change counts as accepted.
type OperatorActions interface {
	// TakeOut stops new searches to a data centre; BringBack resumes them.
	TakeOut(ctx context.Context, dc topology.DataCentre) (time.Time, error)
	BringBack(ctx context.Context, dc topology.DataCentre) (time.Time, error)
	// RemoveTarget removes a target permanently.
	RemoveTarget(ctx context.Context, id topology.TargetID) (time.Time, error)
}

// RouterLifecycle is implemented by policies whose routers can crash, restart and
// shut down.
type RouterLifecycle interface {
	// KillRouter crashes router n. StartRouter starts it again.
	KillRouter(n int)
	StartRouter(n int) error
	// ShutDownRouter shuts router n down gracefully, without waiting for it.
	ShutDownRouter(n int)
}

// LeaderIsolator is implemented by policies whose control leader can be isolated
// from all other processes until HealPartition.
type LeaderIsolator interface {
	IsolateLeader() error
	HealPartition()
}
