package consensus

import "strconv"

// Error is an error without further details.
type Error string

// Errors of Node's methods.
const (
	// ErrNotLeader is returned for proposals on a member that is not the leader.
	ErrNotLeader Error = "this member does not lead"
	// ErrNoLeader is returned by Confirm while no leader is known.
	ErrNoLeader Error = "no leader is known"
	// ErrTooManyUncommitted is returned when Config.MaxUncommitted is reached.
	ErrTooManyUncommitted Error = "too many entries wait to be committed"
)

// Error returns the message.
func (e Error) Error() string { return string(e) }

// MembershipReason is the reason why a membership change was rejected.
type MembershipReason string

// The reasons for rejecting a membership change.
const (
	// MemberExists means that the ID is already in use.
	MemberExists MembershipReason = "the member exists; remove it first"
	// MemberIncomplete means that the ID or the disk identity is missing.
	MemberIncomplete MembershipReason = "the member's id or disk is missing"
	// NoSuchLearner means that there is no learner with the ID.
	NoSuchLearner MembershipReason = "there is no such learner"
	// NoSuchMember means that there is no member with the ID.
	NoSuchMember MembershipReason = "there is no such member"
	// LastVoter means that the only voter cannot be removed.
	LastVoter MembershipReason = "the last voter can't be removed"
	// LearnerBehind means that the learner does not hold all committed entries.
	LearnerBehind MembershipReason = "the learner lacks committed entries"
	// LearnerInactive means that the learner has not replied in the current or the
	// previous quorum check interval.
	LearnerInactive MembershipReason = "the learner has not answered lately"
	// QuorumLost means that the remaining voters would have no majority of
	// recently active members.
	QuorumLost MembershipReason = "the rest would have no majority that answers"
	// ChangePending means that another membership change is not committed yet.
	ChangePending MembershipReason = "another change is not committed yet"
	// TermNotCommitted means that the leader has not committed an entry of its
	// term yet.
	TermNotCommitted MembershipReason = "the leader has not committed an entry of its term yet"
)

// MembershipError is returned when a membership change is rejected. Nothing was
// appended.
type MembershipError struct {
	Reason MembershipReason
	ID     MemberID
}

// Error returns the member and the reason.
func (e *MembershipError) Error() string {
	return "member " + strconv.FormatUint(uint64(e.ID), 10) + ": " + string(e.Reason)
}

// InvariantError is the value of a panic when a safety property of the protocol
// is violated. The process must stop, since its state can no longer be trusted.
type InvariantError struct {
	Reason string
	Index  uint64
}

// Error returns the reason and the index.
func (e *InvariantError) Error() string {
	return "invariant violated at index " + strconv.FormatUint(e.Index, 10) + ": " + e.Reason
}
