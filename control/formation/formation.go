// Package formation changes the membership of a control group automatically: a
// new member, or one that lost its disk, requests to become a voter, and the
// leader removes voters that have been silent for too long.
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
	// checkInterval is the time between two checks of the members.
	checkInterval = 500 * time.Millisecond
	// removeAfter is how long a voter may be silent before it is removed. If it
	// comes back, it joins again.
	removeAfter = 6 * time.Second
	// replaceAfter is how long a voter may be silent before a joining member
	// replaces it.
	replaceAfter = 2 * time.Second
	// minActiveVoters is the number of active voters below which no silent
	// voter is removed: a smaller group would tolerate no further loss.
	minActiveVoters = 3
	// changeTimeout limits one membership change.
	changeTimeout = 2 * time.Second
)

// Group is the part of a consensus group that formation uses.
type Group interface {
	Status(ctx context.Context) (group.Status, error)
	AddLearner(ctx context.Context, m group.Member) error
	Promote(ctx context.Context, id consensus.MemberID) error
	Remove(ctx context.Context, id consensus.MemberID) error
}

// Formation changes the membership of a group. It acts only on the leader and
// is safe for concurrent use.
type Formation struct {
	group Group
	log   *slog.Logger

	// changing is held during a membership change, so that changes are made one
	// at a time.
	changing sync.Mutex
	mu       sync.Mutex
	// lastActive is when the leader last saw each member active.
	lastActive map[consensus.MemberID]time.Time
	// term is the term in which lastActive was recorded.
	term uint64
}

// New returns a Formation for a group.
func New(g Group, log *slog.Logger) *Formation {
	return &Formation{group: g, log: log, lastActive: make(map[consensus.MemberID]time.Time)}
}

// Run removes silent voters while this member is the leader. It returns when
// ctx ends.
func (f *Formation) Run(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
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
		f.recordActivity(status, time.Now())
		f.removeSilent(ctx, status, removeAfter)
	}
}

// recordActivity records which members are active. In a new term every member
// counts as active at its start, since the new leader has no record of earlier
// silence.
func (f *Formation) recordActivity(s group.Status, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.term != s.Term {
		f.term = s.Term
		f.lastActive = make(map[consensus.MemberID]time.Time)
	}
	for _, m := range s.Members {
		if _, ok := f.lastActive[m.ID]; m.Active || m.ID == s.Self || !ok {
			f.lastActive[m.ID] = now
		}
	}
}

// removeSilent removes one voter that has been silent for longer than after, if
// enough active voters remain.
func (f *Formation) removeSilent(ctx context.Context, s group.Status, after time.Duration) {
	silent, ok := f.longestSilent(s, time.Now(), after)
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

// longestSilent returns the voter that has been silent the longest, and for at
// least after. It returns false if there is none, or if fewer than
// minActiveVoters are active.
func (f *Formation) longestSilent(s group.Status, now time.Time, after time.Duration) (group.MemberStatus, bool) {
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
		if now.Sub(f.lastActive[m.ID]) < after {
			continue
		}
		if !found || f.lastActive[m.ID].Before(f.lastActive[longest.ID]) {
			longest, found = m, true
		}
	}
	return longest, found && active >= minActiveVoters
}

// Join takes the next step towards making a member a voter: it adds it as a
// learner, or promotes it once it has caught up. The member repeats the request
// until the response says that it is a voter.
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

// admit takes the next step for the member and reports whether it is a voter
// now.
func (f *Formation) admit(ctx context.Context, s group.Status, q *pb.JoinRequest) (bool, error) {
	id := consensus.MemberID(q.GetMember())
	old, found := find(s, id)
	same := found && string(old.Disk) == q.GetDisk()
	switch {
	case same && !old.Learner:
		return true, nil
	case same:
		if err := f.removeReplaced(ctx, s); err != nil {
			return false, err
		}
		err := f.group.Promote(ctx, id)
		return err == nil, err
	case found:
		// The member lost the disk on which the membership relies, with all the
		// data on it.
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

// removeReplaced removes a silent voter that a new voter replaces, so that the
// number of voters doesn't grow with each replacement.
func (f *Formation) removeReplaced(ctx context.Context, s group.Status) error {
	f.recordActivity(s, time.Now())
	f.mu.Lock()
	lastActive := f.lastActive
	var replaced consensus.MemberID
	for _, m := range s.Members {
		silent := !m.Learner && !m.Active && m.ID != s.Self
		if silent && time.Since(lastActive[m.ID]) >= replaceAfter {
			replaced = m.ID
		}
	}
	f.mu.Unlock()
	if replaced == consensus.None {
		return nil
	}
	f.log.Warn("silent member replaced", "id", uint64(replaced))
	return f.group.Remove(ctx, replaced)
}

// find returns the member with the given ID.
func find(s group.Status, id consensus.MemberID) (group.MemberStatus, bool) {
	for _, m := range s.Members {
		if m.ID == id {
			return m, true
		}
	}
	return group.MemberStatus{}, false
}

// leaderAddr returns the leader's rpc address, or "" if there is no known
// leader.
func leaderAddr(s group.Status) string {
	m, _ := find(s, s.Leader)
	return m.Addr
}
