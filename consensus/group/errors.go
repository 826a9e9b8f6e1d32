package group

import "github.com/peridotmux/peridotmux/control"

// Error is an error without further details.
type Error string

// Causes of failed calls, proposals and connections.
const (
	// ErrStopped means that Run has ended.
	ErrStopped Error = "the group has stopped"
	// ErrLeadershipLost means that this member stopped leading while a proposal
	// was pending.
	ErrLeadershipLost Error = "leadership was lost"
	// ErrSnapshotRestored means that a snapshot replaced the log up to the entry,
	// so that the entry's result is not known.
	ErrSnapshotRestored Error = "a snapshot covers the entry"
	// ErrDiskFull means that this member's disk became full while a proposal was
	// pending.
	ErrDiskFull Error = "the disk is full"
	// ErrAckTimeout means that a member did not acknowledge a message in time.
	ErrAckTimeout Error = "the member did not acknowledge messages in time"
)

// Error returns the message.
func (e Error) Error() string { return string(e) }

// ConfigError is returned if the configuration is invalid.
type ConfigError struct {
	Reason string
}

// Error returns the reason.
func (e *ConfigError) Error() string { return "consensus group configuration: " + e.Reason }

// NotAppendedError is returned if a proposal was abandoned before it was
// appended.
type NotAppendedError = control.NotAppendedError

// TooLargeError is returned for a proposal above the size limit. Bytes is the
// size of the proposal.
type TooLargeError struct {
	Bytes int
}

// Error returns the message.
func (e *TooLargeError) Error() string { return "the proposal is too large" }

// UnconfirmedError is returned by Confirm, Status and other calls that ended
// without a result. Cause is the context's error or ErrStopped.
type UnconfirmedError struct {
	Cause error
}

// Error returns the message with the cause.
func (e *UnconfirmedError) Error() string { return "not confirmed: " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *UnconfirmedError) Unwrap() error { return e.Cause }

// WrongGroupError is returned for a request from a member of another group. Name
// is that group.
type WrongGroupError struct {
	Name string
}

// Error returns the message with the group's name.
func (e *WrongGroupError) Error() string { return "the message is of another group: " + e.Name }

// WrongMemberError is returned if the process at an address has another member
// ID than requested.
type WrongMemberError struct {
	Addr string
}

// Error returns the message with the address.
func (e *WrongMemberError) Error() string { return "another member answers at " + e.Addr }

// SnapshotError is returned if the state machine failed to take or to restore a
// snapshot.
type SnapshotError struct {
	Cause error
}

// Error returns the message with the cause.
func (e *SnapshotError) Error() string { return "snapshot: " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *SnapshotError) Unwrap() error { return e.Cause }
