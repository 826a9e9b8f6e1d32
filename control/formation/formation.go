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
	// comes back, it joins again. A replaced VM must be gone from the voters
	// before its successor has caught up, since the group may then lose the next
	// disk.
	removeAfter = 2 * time.Second
	// minToleratedLosses is the least number of lost disks that a group keeps
	// tolerating when a silent voter is removed.
	minToleratedLosses = 1
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
	// minActiveVoters is the number of active voters below which no silent voter
	// is removed. Without it, the others' disks would be the only copies of what
	// was committed since, and the tolerated losses could take a majority of them.
	minActiveVoters int
	log             *slog.Logger

	// changing is held during a membership change, so that changes are made one
	// at a time.
	changing sync.Mutex
}

// New returns a Formation for a group whose members may lose up to
// toleratedLosses disks at once.
func New(g Group, toleratedLosses int, log *slog.Logger) *Formation {
	losses := max(toleratedLosses, minToleratedLosses)
	return &Formation{group: g, minActiveVoters: 2*losses + 1, log: log}
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
		f.removeSilent(ctx, status)
	}
}

// removeSilent removes the voter that has been silent the longest, if it has been
// for removeAfter and enough active voters remain.
func (f *Formation) removeSilent(ctx context.Context, s group.Status) {
	silent, ok := f.longestSilent(s)
	if !ok || !f.changing.TryLock() {
		return
	}
	defer f.changing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := f.group.Remove(ctx, silent.ID)
	f.log.Warn("silent member taken out", "id", uint64(silent.ID), "addr", silent.Addr, "silent", silent.Silent, "error", err)
}

// longestSilent returns the voter that has been silent the longest, and for at
// least removeAfter. It returns false if there is none, or if fewer than
// minActiveVoters are active.
func (f *Formation) longestSilent(s group.Status) (group.MemberStatus, bool) {
	var longest group.MemberStatus
	active := 0
	for _, m := range s.Members {
		switch {
		case m.Learner:
		case m.Active || m.ID == s.Self:
			active++
		case m.Silent >= removeAfter && m.Silent > longest.Silent:
			longest = m
		}
	}
	return longest, longest.ID != consensus.None && active >= f.minActiveVoters
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
		// A voter that this member replaces is removed after the promotion, so that
		// the group doesn't shrink if the member fails now.
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
