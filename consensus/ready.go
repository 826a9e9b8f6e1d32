package consensus

// HasReady reports whether the next Ready contains any work.
func (n *Node) HasReady() bool {
	return len(n.messages) > 0 || len(n.confirmed) > 0 || n.restoringSnapshot != nil ||
		n.log.stable < n.log.lastIndex() || n.log.applied < n.log.committed ||
		n.hardState() != n.savedHardState
}

// Ready returns the pending work. The caller must call Advance once it is done,
// with no other call to the node in between.
func (n *Node) Ready() Ready {
	n.sendNewEntries()
	h := n.hardState()
	r := Ready{
		HardState:        h,
		HardStateChanged: h != n.savedHardState,
		Snapshot:         n.restoringSnapshot,
		Entries:          n.log.between(n.log.stable+1, n.log.lastIndex()),
		Messages:         n.messages,
		Confirmed:        n.confirmed,
	}
	r.Committed = n.log.upToBytes(n.log.applied+1, n.log.committed, n.cfg.MaxCommittedBytes)
	r.MustSync = r.Snapshot != nil || len(r.Entries) > 0 || h.Term != n.savedHardState.Term || h.Vote != n.savedHardState.Vote
	n.messages = nil
	n.confirmed = nil
	return r
}

// Advance marks the work in r as done.
func (n *Node) Advance(r Ready) {
	n.savedHardState = r.HardState
	n.restoringSnapshot = nil
	if k := len(r.Entries); k > 0 {
		n.log.stable = r.Entries[k-1].Index
	}
	if k := len(r.Committed); k > 0 {
		n.log.applied = r.Committed[k-1].Index
	}
	if n.role == Leader {
		n.ackOwnEntries()
	}
}

// sendNewEntries sends the entries appended since the last Ready, in batches.
func (n *Node) sendNewEntries() {
	if n.role == Leader && n.log.stable < n.log.lastIndex() {
		n.broadcastAppend()
	}
}

// Status is a snapshot of a node's state.
type Status struct {
	ID           MemberID
	Disk         DiskID
	Role         Role
	Term         uint64
	Leader       MemberID
	LastIndex    uint64
	CommitIndex  uint64
	AppliedIndex uint64
	Membership   Membership
	// Match is the highest index at which each member's log is known to match the
	// leader's. It is nil on other members.
	Match map[MemberID]uint64
	// Active holds true for each member that replied in the current or the
	// previous quorum check interval. It is nil except on the leader.
	Active map[MemberID]bool
	// SilentTicks holds the ticks since each member's last reply, or since the
	// leader began to replicate to it. It is nil except on the leader.
	SilentTicks map[MemberID]int
}

// Status returns the node's current status.
func (n *Node) Status() Status {
	s := Status{
		ID: n.id, Disk: n.disk, Role: n.role, Term: n.term, Leader: n.leader,
		LastIndex: n.log.lastIndex(), CommitIndex: n.log.committed, AppliedIndex: n.log.applied,
		Membership: n.membership(),
	}
	if n.role != Leader {
		return s
	}
	s.Match = make(map[MemberID]uint64)
	s.Active = make(map[MemberID]bool)
	s.SilentTicks = make(map[MemberID]int)
	for id, p := range n.progress {
		s.Match[id] = p.match
		s.Active[id] = p.recentlyActive() || id == n.id
		s.SilentTicks[id] = p.silentTicks
	}
	return s
}

// Leader returns the leader of the current term, None if it is not known.
func (n *Node) Leader() MemberID { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// IsLeader reports whether this member is the leader.
func (n *Node) IsLeader() bool { return n.role == Leader }

// Membership returns the latest membership in the log, committed or not.
func (n *Node) Membership() Membership { return n.membership() }
