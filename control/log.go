// Package control keeps the state that the system's processes share: intents,
// deployments, claims, routers and the assignment of targets to routers.
package control

import (
	"context"
	"time"
)

// Log is the replicated log under the shared state. The consensus package
// provides it; controltest has a fake of one member.
type Log interface {
	// Propose appends data and returns the state machine's result once the
	// entry is committed and applied here. Errors: *NotLeaderError and
	// *NotAppendedError (nothing was appended), *UnknownOutcomeError and all
	// others (it may or may not have been).
	Propose(ctx context.Context, data []byte) (any, error)
	// Confirm returns an index up to which everything is applied here that was
	// committed anywhere before begun. It asks a majority, or the leader that
	// asked one. Calls at the same time share one round.
	Confirm(ctx context.Context) (index uint64, begun time.Time, err error)
	// Leadership tells who leads, as far as this member knows.
	Leadership() Leadership
}

// Leadership tells who leads the group.
type Leadership struct {
	// Leads is true if this member leads.
	Leads bool
	Term  uint64
	// LeaderID is the leader's member id, empty if unknown.
	LeaderID string
	// LeaderAddr is the rpc address of the leader, empty if unknown.
	LeaderAddr string
	// Changed is closed when any of this changes.
	Changed <-chan struct{}
}

// StateMachine is what the log's entries are applied to. Calls never overlap.
type StateMachine interface {
	// Apply applies one committed entry. It must be deterministic.
	Apply(index uint64, data []byte) any
	// Snapshot returns the whole state as of the last applied index.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot taken at index.
	Restore(index uint64, data []byte) error
}

// NotLeaderError says that another member must be asked; nothing was appended.
type NotLeaderError struct {
	// LeaderAddr is the rpc address of the leader, empty if unknown.
	LeaderAddr string
}

// Error describes the failure.
func (e *NotLeaderError) Error() string {
	if e.LeaderAddr == "" {
		return "no leader is known"
	}
	return "not the leader; ask " + e.LeaderAddr
}

// UnknownOutcomeError says that an entry may or may not be committed.
type UnknownOutcomeError struct {
	Cause error
}

// Error describes the failure.
func (e *UnknownOutcomeError) Error() string {
	return "the outcome is unknown: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// NotAppendedError says that an entry was given up before it was appended.
type NotAppendedError struct {
	Cause error
}

// Error describes the failure.
func (e *NotAppendedError) Error() string { return "nothing was appended: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotAppendedError) Unwrap() error { return e.Cause }
