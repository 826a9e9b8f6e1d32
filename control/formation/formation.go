// Package formation lets the members of a control group come and go by
// themselves: a new member, or one that lost its disk, asks to vote, and the
// leader takes members out that are gone.
package formation

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/group"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

const (
	// tendInterval is the time between two looks at the members.
	tendInterval = 500 * time.Millisecond
	// goneAfter is how long a voter may be silent before it is taken out. One
	// that comes back asks to vote again.
	goneAfter = 6 * time.Second
	// replaceAfter is how long a voter may be silent before a member that waits
	// to vote takes its place.
	replaceAfter = 2 * time.Second
	// leastVoters is the number of voters under which none is taken out for its
	// silence: fewer would bear no further loss.
	leastVoters = 3
	// changeTimeout bounds one change of the membership.
	changeTimeout = 2 * time.Second
)

// Group is what formation needs of a consensus group.
type Group interface {
	Status(ctx context.Context) (group.Status, error)
	AddLearner(ctx context.Context, m group.Member) error
	Promote(ctx context.Context, id consensus.MemberID) error
	Remove(ctx context.Context, id consensus.MemberID) error
}

// Formation changes the membership at the leader.
type Formation struct {
	group Group
	log   *slog.Logger

	// changing lets one change go on at a time.
	changing sync.Mutex
	mu       sync.Mutex
	// heard is when each member was last active, as the leader saw it.
	heard map[consensus.MemberID]time.Time
	// term is the term that heard belongs to.
	term uint64
}

// New returns the formation of a group.
func New(g Group, log *slog.Logger) *Formation {
	return &Formation{group: g, log: log, heard: make(map[consensus.MemberID]time.Time)}
}

// Run takes out voters that are gone, while this member leads, until ctx ends.
func (f *Formation) Run(ctx context.Context) {
	tick := time.NewTicker(tendInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		status, err := f.group.Status(ctx)
		if err != nil || !status.Leads {
			continue
		}
		f.note(status, time.Now())
		f.removeSilent(ctx, status, goneAfter)
	}
}

// note keeps when each member was last active. A new leader gives every member
// its time from the start of its term.
func (f *Formation) note(s group.Status, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.term != s.Term {
		f.term = s.Term
		f.heard = make(map[consensus.MemberID]time.Time)
	}
	for _, m := range s.Members {
		if _, ok := f.heard[m.ID]; m.Active || m.ID == s.Self || !ok {
			f.heard[m.ID] = now
		}
	}
}

// removeSilent takes out one voter that was silent for too long, if enough are
// left that aren't.
func (f *Formation) removeSilent(ctx context.Context, s group.Status, after time.Duration) {
	silent, ok := f.silent(s, time.Now(), after)
	if !ok {
		return
	}
	if !f.changing.TryLock() {
		return
	}
	defer f.changing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := f.group.Remove(ctx, silent.ID)
	f.log.Warn("silent member taken out", "id", uint64(silent.ID), "addr", silent.Addr, "after", after, "error", err)
}

// silent returns the voter that was silent longest, and for at least the given
// time. It reports false if there is none, or if too few others are active.
func (f *Formation) silent(s group.Status, now time.Time, after time.Duration) (group.MemberStatus, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var longest group.MemberStatus
	found := false
	active := 0
	for _, m := range s.Members {
		if m.Learner {
			continue
		}
		if m.Active || m.ID == s.Self {
			active++
			continue
		}
		if now.Sub(f.heard[m.ID]) < after {
			continue
		}
		if !found || f.heard[m.ID].Before(f.heard[longest.ID]) {
			longest, found = m, true
		}
	}
	return longest, found && active >= leastVoters
}

// Join makes a member a voter, as far as that is possible now.
func (f *Formation) Join(ctx context.Context, q *pb.JoinRequest) *pb.JoinResponse {
	f.changing.Lock()
	defer f.changing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	status, err := f.group.Status(ctx)
	if err != nil {
		return &pb.JoinResponse{Cause: err.Error()}
	}
	if !status.Leads {
		return &pb.JoinResponse{LeaderAddr: leaderAddr(status)}
	}
	voter, err := f.admit(ctx, status, q)
	out := &pb.JoinResponse{Leads: true, Voter: voter}
	if err != nil {
		out.Cause = err.Error()
	}
	if !voter || err != nil {
		f.log.Info("member asks to vote", "id", q.GetMember(), "addr", q.GetRpcAddr(),
			"disk", q.GetDisk(), "voter", voter, "error", err)
	}
	return out
}

// admit takes the next step for the member and reports whether it votes.
func (f *Formation) admit(ctx context.Context, s group.Status, q *pb.JoinRequest) (bool, error) {
	id := consensus.MemberID(q.GetMember())
	old, found := find(s, id)
	same := found && string(old.Disk) == q.GetDisk()
	switch {
	case same && !old.Learner:
		return true, nil
	case same:
		if err := f.makeRoom(ctx, s); err != nil {
			return false, err
		}
		err := f.group.Promote(ctx, id)
		return err == nil, err
	case found:
		// The disk that the membership names is gone with all it held.
		if err := f.group.Remove(ctx, id); err != nil {
			return false, err
		}
	}
	addr, err := netip.ParseAddrPort(q.GetRpcAddr())
	if err != nil {
		return false, &group.ConfigError{Reason: "member address: " + err.Error()}
	}
	return false, f.group.AddLearner(ctx, group.Member{ID: id, Name: q.GetName(), RPC: addr})
}

// makeRoom takes out a silent voter whose place a new one takes, so that the
// number of voters doesn't grow with each replacement.
func (f *Formation) makeRoom(ctx context.Context, s group.Status) error {
	f.note(s, time.Now())
	f.mu.Lock()
	heard := f.heard
	var gone consensus.MemberID
	for _, m := range s.Members {
		silent := !m.Learner && !m.Active && m.ID != s.Self
		if silent && time.Since(heard[m.ID]) >= replaceAfter {
			gone = m.ID
		}
	}
	f.mu.Unlock()
	if gone == consensus.None {
		return nil
	}
	f.log.Warn("silent member replaced", "id", uint64(gone))
	return f.group.Remove(ctx, gone)
}

func find(s group.Status, id consensus.MemberID) (group.MemberStatus, bool) {
	for _, m := range s.Members {
		if m.ID == id {
			return m, true
		}
	}
	return group.MemberStatus{}, false
}

func leaderAddr(s group.Status) string {
	m, _ := find(s, s.Leader)
	return m.Addr
}
