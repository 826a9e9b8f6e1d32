package group

import (
	"context"
	"net/netip"

	"github.com/peridotmux/peridotmux/consensus"
)

// MemberStatus tells about one member.
type MemberStatus struct {
	consensus.Member
	// Match is how far its log is known to hold the leader's; only at a leader.
	Match uint64
	// Active says that it answered lately; only at a leader.
	Active bool
	// SafeToLose says that the group still has a majority of members that hold
	// all that is committed if this one and its disk are lost now; only at a
	// leader.
	SafeToLose bool
}

// Status tells about the group as this member sees it.
type Status struct {
	Self         consensus.MemberID
	Disk         consensus.DiskID
	Leader       consensus.MemberID
	Leads        bool
	Term         uint64
	LastIndex    uint64
	CommitIndex  uint64
	AppliedIndex uint64
	Members      []MemberStatus
}

// Status returns what this member knows about the group. Ask the leader for
// what is known of the other members.
func (g *Group) Status(ctx context.Context) (Status, error) {
	var s consensus.Status
	if err := g.call(ctx, func() { s = g.node.Status() }); err != nil {
		return Status{}, err
	}
	return newStatus(s), nil
}

// call runs f in the run loop.
func (g *Group) call(ctx context.Context, f func()) error {
	done := make(chan struct{})
	run := func() {
		f()
		close(done)
	}
	select {
	case g.calls <- run:
		<-done
		return nil
	case <-ctx.Done():
		return &UnconfirmedError{Cause: ctx.Err()}
	case <-g.stopped:
		return &UnconfirmedError{Cause: ErrStopped}
	}
}

func newStatus(s consensus.Status) Status {
	out := Status{
		Self: s.ID, Disk: s.Disk, Leader: s.Leader, Leads: s.Role == consensus.Leader,
		Term: s.Term, LastIndex: s.LastIndex, CommitIndex: s.CommitIndex, AppliedIndex: s.AppliedIndex,
	}
	for _, m := range s.Membership.Members {
		x := MemberStatus{Member: m, Match: s.Match[m.ID], Active: s.Active[m.ID]}
		x.SafeToLose = out.Leads && safeToLose(s, m)
		out.Members = append(out.Members, x)
	}
	return out
}

// safeToLose tells whether a majority of voters would be left that are active
// and hold all that is committed.
func safeToLose(s consensus.Status, lost consensus.Member) bool {
	left := 0
	for _, m := range s.Membership.Members {
		whole := s.Active[m.ID] && s.Match[m.ID] >= s.CommitIndex
		if m.ID != lost.ID && !m.Learner && whole {
			left++
		}
	}
	return left >= s.Membership.Quorum()
}

// AddLearner adds a member without a vote. The process at its address must
// run: its data folder's identity is asked for.
func (g *Group) AddLearner(ctx context.Context, m Member) error {
	r, err := g.identify(ctx, m.RPC)
	if err != nil {
		return &NotAppendedError{Cause: err}
	}
	if consensus.MemberID(r.GetId()) != m.ID {
		return &WrongMemberError{Addr: m.RPC.String()}
	}
	return g.change(ctx, consensus.AddLearner, consensus.Member{
		ID: m.ID, Disk: consensus.DiskID(r.GetDisk()), Name: m.Name, Addr: m.RPC.String(),
	})
}

// Promote makes a learner a voter. It is refused until the learner holds all
// that is committed.
func (g *Group) Promote(ctx context.Context, id consensus.MemberID) error {
	return g.change(ctx, consensus.Promote, consensus.Member{ID: id})
}

// Remove removes a member.
func (g *Group) Remove(ctx context.Context, id consensus.MemberID) error {
	return g.change(ctx, consensus.Remove, consensus.Member{ID: id})
}

func (g *Group) change(ctx context.Context, kind consensus.ChangeKind, m consensus.Member) error {
	p := &proposal{
		change: &consensus.MembershipChange{Kind: kind, Member: m},
		done:   make(chan proposalResult, 1),
	}
	_, err := g.propose(ctx, p)
	return err
}

// ParseMember returns a member from its parts.
func ParseMember(id uint64, name, addr string) (Member, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return Member{}, &ConfigError{Reason: "member address: " + err.Error()}
	}
	return Member{ID: consensus.MemberID(id), Name: name, RPC: a}, nil
}
