package consensus

import (
	"cmp"
	"slices"
)

// Member is one member of a group.
type Member struct {
	ID MemberID
	// Disk is the identity of the member's data folder. What comes from another
	// folder under the same id doesn't count.
	Disk DiskID
	Name string
	Addr string
	// Learner gets entries but has no vote.
	Learner bool
}

// Membership is the set of members, ordered by id. It is never changed in place.
type Membership struct {
	Members []Member
}

// NewMembership returns the membership of the given members.
func NewMembership(members ...Member) Membership {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return Membership{Members: sorted}
}

// Find returns the member with the id.
func (m Membership) Find(id MemberID) (Member, bool) {
	for _, x := range m.Members {
		if x.ID == id {
			return x, true
		}
	}
	return Member{}, false
}

// Contains tells whether id is a member, and with this disk.
func (m Membership) Contains(id MemberID, disk DiskID) bool {
	x, ok := m.Find(id)
	return ok && x.Disk == disk
}

// IsVoter tells whether id is a voter.
func (m Membership) IsVoter(id MemberID) bool {
	x, ok := m.Find(id)
	return ok && !x.Learner
}

// VoterCount counts the voters.
func (m Membership) VoterCount() int {
	n := 0
	for _, x := range m.Members {
		if !x.Learner {
			n++
		}
	}
	return n
}

// Quorum is the number of voters that make a majority.
func (m Membership) Quorum() int { return m.VoterCount()/2 + 1 }

func (m Membership) with(x Member) Membership {
	return NewMembership(append(m.without(x.ID).Members, x)...)
}

func (m Membership) without(id MemberID) Membership {
	rest := make([]Member, 0, len(m.Members))
	for _, x := range m.Members {
		if x.ID != id {
			rest = append(rest, x)
		}
	}
	return Membership{Members: rest}
}

// ChangeKind says what a change of membership does.
type ChangeKind uint8

// The kinds of changes.
const (
	// AddLearner adds a member without a vote.
	AddLearner ChangeKind = iota + 1
	// Promote makes a learner a voter.
	Promote
	// Remove removes a member.
	Remove
)

// MembershipChange is one change of the membership.
type MembershipChange struct {
	Kind ChangeKind
	// Member is the member to add; for the other kinds only its ID is used.
	Member Member
}

func (m Membership) apply(c MembershipChange) (Membership, error) {
	old, found := m.Find(c.Member.ID)
	switch c.Kind {
	case AddLearner:
		if found {
			return m, &MembershipError{Reason: MemberExists, ID: c.Member.ID}
		}
		if c.Member.ID == None || c.Member.Disk == "" {
			return m, &MembershipError{Reason: MemberIncomplete, ID: c.Member.ID}
		}
		added := c.Member
		added.Learner = true
		return m.with(added), nil
	case Promote:
		if !found || !old.Learner {
			return m, &MembershipError{Reason: NoSuchLearner, ID: c.Member.ID}
		}
		old.Learner = false
		return m.with(old), nil
	default:
		if !found {
			return m, &MembershipError{Reason: NoSuchMember, ID: c.Member.ID}
		}
		if !old.Learner && m.VoterCount() == 1 {
			return m, &MembershipError{Reason: LastVoter, ID: c.Member.ID}
		}
		return m.without(c.Member.ID), nil
	}
}
