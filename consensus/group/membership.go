package group

import (
	"context"
	"net/netip"
	"time"

	"github.com/peridotmux/peridotmux/consensus"
)

// MemberStatus is the status of one member.
type MemberStatus struct {
	consensus.Member
	// Match is the highest index at which the member's log is known to match the
	// leader's. It is 0 unless reported by the leader.
	Match uint64
	// Active is true if the member replied in the current or the previous quorum
	// check interval. It is false unless reported by the leader.
	Active bool
	// Silent is the time since the member's last reply, or since the leader began
	// to replicate to it, by the leader's ticks: it doesn't grow while the leader
	// is suspended. It is 0 unless reported by the leader.
	Silent time.Duration
	// SafeToLose is true if the group would keep a majority of active voters with
	// all committed entries, if this member and its disk were lost now. It is
	// false unless reported by the leader.
	SafeToLose bool
}

// Status is the status of the group as known to this member.
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

// Status returns the status of the group as known to this member. Only the leader
// has the replication state of the other members. Error: *UnconfirmedError.
func (g *Group) Status(ctx context.Context) (Status, error) {
	var s consensus.Status
	if err := g.runInLoop(ctx, func() { s = g.node.Status() }); err != nil {
		return Status{}, err
	}
	return newStatus(s, g.cfg.TickInterval), nil
}

// runInLoop runs f in the run loop and waits for it. Error: *UnconfirmedError if
// f was not run.
func (g *Group) runInLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	run := func() {
		f()
		close(done)
	}
	select {
	case g.loopCalls <- run:
		<-done
		return nil
	case <-ctx.Done():
		return &UnconfirmedError{Cause: ctx.Err()}
	case <-g.stopped:
		return &UnconfirmedError{Cause: ErrStopped}
	}
}

func newStatus(s consensus.Status, tick time.Duration) Status {
	out := Status{
		Self: s.ID, Disk: s.Disk, Leader: s.Leader, Leads: s.Role == consensus.Leader,
		Term: s.Term, LastIndex: s.LastIndex, CommitIndex: s.CommitIndex, AppliedIndex: s.AppliedIndex,
	}
	for _, m := range s.Membership.Members {
		x := MemberStatus{Member: m, Match: s.Match[m.ID], Active: s.Active[m.ID]}
		x.Silent = time.Duration(s.SilentTicks[m.ID]) * tick
		x.SafeToLose = out.Leads && safeToLose(s, m)
		out.Members = append(out.Members, x)
	}
	return out
}

// safeToLose reports whether a majority of voters would remain that are active
// and hold all committed entries.
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

// AddLearner adds a member as a learner. Its process must be running, since it is
// queried for the identity of its data folder. Errors: *WrongMemberError,
// *consensus.MembershipError and those of control.Log.Propose.
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

// Promote makes a learner a voter. It is rejected until the learner holds all
// committed entries. Errors: *consensus.MembershipError and those of
// control.Log.Propose.
func (g *Group) Promote(ctx context.Context, id consensus.MemberID) error {
	return g.change(ctx, consensus.Promote, consensus.Member{ID: id})
}

// Remove removes a member. It is rejected if the remaining voters would have no
// active majority. Errors as for Promote.
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

// ParseMember returns a Member with the address parsed from addr. Error:
// *ConfigError.
func ParseMember(id uint64, name, addr string) (Member, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return Member{}, &ConfigError{Reason: "member address: " + err.Error()}
	}
	return Member{ID: consensus.MemberID(id), Name: name, RPC: a}, nil
}
