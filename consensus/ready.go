package consensus

// HasReady tells whether Ready would hold anything.
func (n *Node) HasReady() bool {
	return len(n.messages) > 0 || len(n.confirmed) > 0 || n.restoring != nil ||
		n.log.stable < n.log.last() || n.log.applied < n.log.committed ||
		n.hardState() != n.saved
}

// Ready returns what is to be done now. Call Advance once it is done, with no
// other call between them.
func (n *Node) Ready() Ready {
	n.sendProposals()
	h := n.hardState()
	r := Ready{
		HardState:        h,
		HardStateChanged: h != n.saved,
		Snapshot:         n.restoring,
		Entries:          n.log.between(n.log.stable+1, n.log.last()),
		Messages:         n.messages,
		Confirmed:        n.confirmed,
	}
	r.Committed = n.log.between(n.log.applied+1, n.log.committed)
	r.MustSync = r.Snapshot != nil || len(r.Entries) > 0 || h.Term != n.saved.Term || h.Vote != n.saved.Vote
	n.messages = nil
	n.confirmed = nil
	return r
}

// Advance says that everything in r is done.
func (n *Node) Advance(r Ready) {
	n.saved = r.HardState
	n.restoring = nil
	if k := len(r.Entries); k > 0 {
		n.log.stable = r.Entries[k-1].Index
	}
	if k := len(r.Committed); k > 0 {
		n.log.applied = r.Committed[k-1].Index
	}
	if n.role == Leader {
		n.ownStable()
	}
}

// sendProposals sends what was appended since the last Ready, in batches.
func (n *Node) sendProposals() {
	if n.role == Leader && n.log.stable < n.log.last() {
		n.broadcastAppend()
	}
}

// Status tells about a node.
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
	// Match is how far each member's log is known to match; only at a leader.
	Match map[MemberID]uint64
	// Active tells which members answered lately; only at a leader.
	Active map[MemberID]bool
}

// Status returns the node's status.
func (n *Node) Status() Status {
	s := Status{
		ID: n.id, Disk: n.disk, Role: n.role, Term: n.term, Leader: n.leader,
		LastIndex: n.log.last(), CommitIndex: n.log.committed, AppliedIndex: n.log.applied,
		Membership: n.membership(),
	}
	if n.role != Leader {
		return s
	}
	s.Match = make(map[MemberID]uint64)
	s.Active = make(map[MemberID]bool)
	for id, p := range n.progress {
		s.Match[id] = p.match
		s.Active[id] = p.answered() || id == n.id
	}
	return s
}

// Leader returns the leader that this member knows of, or None.
func (n *Node) Leader() MemberID { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// IsLeader tells whether this member leads.
func (n *Node) IsLeader() bool { return n.role == Leader }

// Membership returns the current membership.
func (n *Node) Membership() Membership { return n.membership() }
