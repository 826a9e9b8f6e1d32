package target

import (
	"context"
	"time"

	"github.com/peridotmux/peridotmux/topology"
)

// Search is one attempt of a sub-request at one target.
type Search struct {
	Target    *topology.Target
	RequestID string
	// IndexVersion is the index version to answer from.
	IndexVersion uint64
	// Deadline is when the answer is no longer of use.
	Deadline time.Time
	Body     []byte
	// AllowReconnect, if set, is asked before the search goes out on a new
	// connection while the target has closed one since its last answer: it may
	// have restarted. If it returns false, the search ends as NotStarted with
	// ReasonConnectionLost.
	AllowReconnect func() bool
}

// Status is the result of a search as the promises need it.
type Status uint8

const (
	// OK says that the body is the target's whole answer to this attempt.
	OK Status = iota + 1
	// NotStarted says that the target certainly didn't start the search.
	NotStarted
	// Unknown says that the target may have started the search.
	Unknown
)

// Reason tells more of a search that has no answer.
type Reason uint8

const (
	// ReasonNone goes with OK.
	ReasonNone Reason = iota
	// ReasonShed says that the target had no room.
	ReasonShed
	// ReasonDraining says that the target leaves.
	ReasonDraining
	// ReasonVersionGone says that the target doesn't serve the index version.
	ReasonVersionGone
	// ReasonConnect says that no connection could be made.
	ReasonConnect
	// ReasonConnectionLost says that the connection ended before the answer.
	ReasonConnectionLost
	// ReasonDeadline says that the deadline passed.
	ReasonDeadline
	// ReasonCancelled says that the caller's context ended.
	ReasonCancelled
	// ReasonBadAnswer says that the answer was garbage, too large, or another
	// attempt's.
	ReasonBadAnswer
	// ReasonTargetError says that the target answered with a failure.
	ReasonTargetError
)

// Outcome is what came of a search.
type Outcome struct {
	Status Status
	Reason Reason
	// Process is the target's process number, 0 if no answer carried one.
	Process uint64
	// IndexVersion is the version that the target answered from.
	IndexVersion uint64
	// Versions lists the versions that the target serves, newest first.
	Versions []uint64
	Body     []byte
	// ServiceTime is the time from sending to the answer or failure.
	ServiceTime time.Duration
	// TargetDone says that the target no longer works on the search: it answered, or
	// never started. If false, its slot stays taken until Deadline.
	TargetDone bool
}

// Searcher sends searches to targets. It is safe for concurrent use. Limits
// are the caller's job: it opens a connection for each search that finds none
// idle.
type Searcher interface {
	// Search runs one attempt. When ctx ends it cancels the attempt at the
	// target and waits shortly for the target to say that it ended.
	Search(ctx context.Context, s Search) Outcome
	// Health asks for the target's own report.
	Health(ctx context.Context, t *topology.Target) (Health, error)
	// Release closes the connections to a target.
	Release(id topology.TargetID)
}
