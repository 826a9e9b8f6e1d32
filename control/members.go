package control

import "context"

// Member is one member of the group as the leader knows it.
type Member struct {
	ID   string
	Addr string
	// Learner is true if the member doesn't vote.
	Learner bool
	// Match is the log index up to which the member holds the log.
	Match uint64
	// Active is true if the leader heard of it within a lease.
	Active bool
	// SafeToLose is true if the group keeps a majority that holds everything
	// committed without the member.
	SafeToLose bool
}

// Membership changes who belongs to the group. The consensus package provides
// it; only the leader can change anything.
type Membership interface {
	// Members lists the members.
	Members() []Member
	// AddLearner adds a member that doesn't vote yet.
	AddLearner(ctx context.Context, id, addr string) error
	// Promote lets a learner vote that holds everything committed.
	Promote(ctx context.Context, id string) error
	// Remove takes a member out of the group.
	Remove(ctx context.Context, id string) error
}

// MemberRefusedError says that a change of membership can't be made now; nothing
// was changed.
type MemberRefusedError struct {
	ID     string
	Reason string
}

// Error describes the failure.
func (e *MemberRefusedError) Error() string { return "member " + e.ID + ": " + e.Reason }
