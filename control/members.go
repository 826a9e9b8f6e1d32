package control

import "context"

// Member is the leader's view of one member of the group.
type Member struct {
	ID   string
	Addr string
	// Learner is true if the member replicates the log without voting.
	Learner bool
	// Match is the highest log index known to be replicated to the member.
	Match uint64
	// Active is true if the leader received a message from the member within
	// the last lease duration.
	Active bool
	// SafeToLose is true if, without this member, the remaining members still
	// form a quorum that holds every committed entry.
	SafeToLose bool
}

// Membership lists and changes the members of the group. Package consensus
// implements it; changes succeed only on the leader.
type Membership interface {
	// Members returns the current members.
	Members() []Member
	// AddLearner adds a non-voting member.
	AddLearner(ctx context.Context, id, addr string) error
	// Promote turns a learner into a voter. The learner must hold every
	// committed entry.
	Promote(ctx context.Context, id string) error
	// Remove removes a member from the group.
	Remove(ctx context.Context, id string) error
}

// MemberRefusedError reports that a membership change is not possible now.
// Nothing was changed.
type MemberRefusedError struct {
	ID     string
	Reason string
}

// Error describes the failure.
func (e *MemberRefusedError) Error() string { return "member " + e.ID + ": " + e.Reason }
