package target

import (
	"context"
	"time"

	"github.com/peridotmux/peridotmux/topology"
)

// Search is one attempt to run a sub-request at one target.
type Search struct {
	Target    *topology.Target
	RequestID string
	// IndexVersion is the index version that the target must answer from.
	IndexVersion uint64
	// Deadline is the time after which the answer is useless.
	Deadline time.Time
	// Body is the request body in JSON. It must not be modified until Search
	// returns.
	Body []byte
	// AllowReconnect decides whether the search may be sent on a new connection
	// after the target closed one since its last answer, which may mean that it
	// restarted. If it returns false, the search ends as NotStarted with
	// ReasonConnectionLost. Nil allows every new connection.
	AllowReconnect func() bool
}

// Status is the result of a search in terms of whether the target ran it, which
// decides whether the search may be retried.
type Status uint8

const (
	// OK means that the body is the target's complete answer to this attempt.
	OK Status = iota + 1
	// NotStarted means that the target definitely did not start the search.
	NotStarted
	// Unknown means that the target may have started the search.
	Unknown
)

// Reason is the cause of a search that ended without an answer.
type Reason uint8

const (
	// ReasonNone is the reason of searches that are OK.
	ReasonNone Reason = iota
	// ReasonShed means that the target shed the search because it was at capacity.
	ReasonShed
	// ReasonDraining means that the target is draining.
	ReasonDraining
	// ReasonVersionGone means that the target does not serve the index version.
	ReasonVersionGone
	// ReasonConnect means that no connection could be established.
	ReasonConnect
	// ReasonConnectionLost means that the connection was closed before the answer,
	// or that AllowReconnect returned false.
	ReasonConnectionLost
	// ReasonDeadline means that the deadline passed.
	ReasonDeadline
	// ReasonCancelled means that the caller's context was cancelled.
	ReasonCancelled
	// ReasonBadAnswer means that the answer was malformed, too large, or belonged
	// to another attempt.
	ReasonBadAnswer
	// ReasonTargetError means that the target answered with an error status.
	ReasonTargetError
)

// Outcome is the result of a search.
type Outcome struct {
	Status Status
	Reason Reason
	// Process is the target's process number, 0 if no answer carried one.
	Process uint64
	// IndexVersion is the version that the target answered from.
	IndexVersion uint64
	// Versions lists the versions that the target serves, newest first.
	Versions []uint64
	// Body is the answer, nil unless Status is OK.
	Body []byte
	// ServiceTime is the time from the start of Search to the answer or failure.
	ServiceTime time.Duration
	// Work is how long the target says that it worked on the search, 0 if it doesn't
	// say.
	Work time.Duration
	// TargetDone is true if the target no longer works on the search, because it
	// answered or never started. If false, the search occupies a slot of the target
	// until Deadline.
	TargetDone bool
}

// Searcher sends searches to targets. It is safe for concurrent use. It opens a
// connection for each search that finds none idle, so the caller must limit
// concurrency.
type Searcher interface {
	// Search runs one attempt. When ctx is done it cancels the attempt at the
	// target and waits briefly for the target to confirm that it ended.
	Search(ctx context.Context, s Search) Outcome
	// Health returns the health that the target reports.
	Health(ctx context.Context, t *topology.Target) (Health, error)
	// Release closes the connections to a target.
	Release(id topology.TargetID)
}
