package group

import "github.com/peridotmux/peridotmux/control"

// Error is a failure without details.
type Error string

// The failures without details.
const (
	// ErrStopped says that the group's run has ended.
	ErrStopped Error = "the group has stopped"
	// ErrLeadershipLost says that this member stopped leading.
	ErrLeadershipLost Error = "leadership was lost"
	// ErrSnapshotRestored says that a snapshot replaced the entry.
	ErrSnapshotRestored Error = "a snapshot covers the entry"
	// ErrAckTimeout says that a member didn't acknowledge messages in time.
	ErrAckTimeout Error = "the member did not acknowledge messages in time"
)

// Error describes the failure.
func (e Error) Error() string { return string(e) }

// ConfigError says that the configuration makes no sense.
type ConfigError struct {
	Reason string
}

// Error describes the failure.
func (e *ConfigError) Error() string { return "consensus group configuration: " + e.Reason }

// NotAppendedError says that a proposal was given up before it was appended.
type NotAppendedError = control.NotAppendedError

// TooLargeError says that a proposal is too large.
type TooLargeError struct {
	Bytes int
}

// Error describes the failure.
func (e *TooLargeError) Error() string { return "the proposal is too large" }

// UnconfirmedError says that no majority confirmed an index in time.
type UnconfirmedError struct {
	Cause error
}

// Error describes the failure.
func (e *UnconfirmedError) Error() string { return "not confirmed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnconfirmedError) Unwrap() error { return e.Cause }

// WrongGroupError says that a message came from another group.
type WrongGroupError struct {
	Name string
}

// Error describes the failure.
func (e *WrongGroupError) Error() string { return "the message is of another group: " + e.Name }

// WrongMemberError says that another member answers at an address.
type WrongMemberError struct {
	Addr string
}

// Error describes the failure.
func (e *WrongMemberError) Error() string { return "another member answers at " + e.Addr }

// SnapshotError says that the state machine failed to make or take a snapshot.
type SnapshotError struct {
	Cause error
}

// Error describes the failure.
func (e *SnapshotError) Error() string { return "snapshot: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Cause }
