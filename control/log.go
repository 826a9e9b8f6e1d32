// Package control defines the interfaces between the replicated log and the
// shared state of the control plane: intents, deployments, request key claims,
// routers, and the assignment of targets to routers.
package control

import (
	"context"
	"time"
)

// Log is the replicated log under the shared state. Package consensus
// implements it; package controltest has an in-memory fake. All methods are
// safe for concurrent use.
type Log interface {
	// Propose appends data and returns the state machine's result once the
	// entry is committed and applied on this member. After a *NotLeaderError or
	// a *NotAppendedError nothing was appended. After an *UnknownOutcomeError
	// or any other error the entry may or may not be committed.
	Propose(ctx context.Context, data []byte) (any, error)
	// Confirm performs a linearizable read barrier. It returns an index that
	// this member has applied and that covers every entry committed on any
	// member before begun. Each call needs a quorum round, by this member or by
	// the leader on its behalf; concurrent calls share one round.
	Confirm(ctx context.Context) (index uint64, begun time.Time, err error)
	// Leadership returns this member's current view of the leadership.
	Leadership() Leadership
}

// Leadership describes the leadership of the group as seen by one member.
type Leadership struct {
	// Leads is true if this member is the leader.
	Leads bool
	Term  uint64
	// LeaderID is the leader's member ID, empty if unknown.
	LeaderID string
	// LeaderAddr is the leader's rpc address (host:port), empty if unknown.
	LeaderAddr string
	// Changed is closed when any of the other fields changes.
	Changed <-chan struct{}
}

// StateMachine applies the entries of the log. Calls never overlap.
type StateMachine interface {
	// Apply applies one committed entry and returns its result. It must be
	// deterministic.
	Apply(index uint64, data []byte) any
	// Snapshot returns the encoded state as of the last applied index.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot taken at index.
	Restore(index uint64, data []byte) error
}

// NotLeaderError reports that this member is not the leader. Nothing was
// appended; the call must be sent to the leader.
type NotLeaderError struct {
	// LeaderAddr is the leader's rpc address (host:port), empty if unknown.
	LeaderAddr string
}

// Error describes the failure.
func (e *NotLeaderError) Error() string {
	if e.LeaderAddr == "" {
		return "no leader is known"
	}
	return "not the leader; ask " + e.LeaderAddr
}

// UnknownOutcomeError reports that an entry may or may not be committed.
type UnknownOutcomeError struct {
	Cause error
}

// Error describes the failure.
func (e *UnknownOutcomeError) Error() string {
	return "the outcome is unknown: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// NotAppendedError reports that a proposal failed before its entry was
// appended.
type NotAppendedError struct {
	Cause error
}

// Error describes the failure.
func (e *NotAppendedError) Error() string { return "nothing was appended: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotAppendedError) Unwrap() error { return e.Cause }
