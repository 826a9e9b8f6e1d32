package consensus

import "strconv"

// Error is a failure without details.
type Error string

// The failures without details.
const (
	// ErrNotLeader says that this member doesn't lead.
	ErrNotLeader Error = "this member does not lead"
	// ErrNoLeader says that no leader is known.
	ErrNoLeader Error = "no leader is known"
	// ErrTooManyUncommitted says that too much waits to be committed.
	ErrTooManyUncommitted Error = "too many entries wait to be committed"
)

// Error describes the failure.
func (e Error) Error() string { return string(e) }

// MembershipReason says why a change of membership was refused.
type MembershipReason string

// The reasons.
const (
	// MemberExists says that the id is in use.
	MemberExists MembershipReason = "the member exists; remove it first"
	// MemberIncomplete says that the id or the disk is missing.
	MemberIncomplete MembershipReason = "the member's id or disk is missing"
	// NoSuchLearner says that there is no learner with the id.
	NoSuchLearner MembershipReason = "there is no such learner"
	// NoSuchMember says that there is no member with the id.
	NoSuchMember MembershipReason = "there is no such member"
	// LastVoter says that the last voter can't be removed.
	LastVoter MembershipReason = "the last voter can't be removed"
	// LearnerBehind says that the learner lacks committed entries.
	LearnerBehind MembershipReason = "the learner lacks committed entries"
	// LearnerInactive says that the learner hasn't answered lately.
	LearnerInactive MembershipReason = "the learner has not answered lately"
	// QuorumLost says that too few of the rest have answered lately.
	QuorumLost MembershipReason = "the rest would have no majority that answers"
	// ChangePending says that another change isn't committed yet.
	ChangePending MembershipReason = "another change is not committed yet"
	// TermNotCommitted says that the leader has to commit an entry first.
	TermNotCommitted MembershipReason = "the leader has not committed an entry of its term yet"
)

// MembershipError says that a change of membership was refused.
type MembershipError struct {
	Reason MembershipReason
	ID     MemberID
}

// Error describes the failure.
func (e *MembershipError) Error() string {
	return "member " + strconv.FormatUint(uint64(e.ID), 10) + ": " + string(e.Reason)
}

// InvariantError says that the protocol was violated. The process must stop.
type InvariantError struct {
	Reason string
	Index  uint64
}

// Error describes the failure.
func (e *InvariantError) Error() string {
	return "invariant violated at index " + strconv.FormatUint(e.Index, 10) + ": " + e.Reason
}
