package consensus

// Step processes a message from another member.
func (n *Node) Step(m Message) {
	if !n.accepts(m) {
		return
	}
	switch {
	case m.Term > n.term:
		if !n.handleHigherTerm(m) {
			return
		}
	case m.Term < n.term:
		n.rejectStaleTerm(m)
		return
	}
	n.handle(m)
}

// accepts reports whether m is addressed to this member and disk, and comes from
// an acceptable sender. Replies count only from the disk that the membership
// lists; vote requests also from members that it does not list.
func (n *Node) accepts(m Message) bool {
	if m.To != n.id || m.ToDisk != n.disk || m.From == n.id {
		return false
	}
	switch m.Type {
	case MsgPreVoteReply, MsgVoteReply, MsgAppendReply, MsgHeartbeatReply, MsgSnapshotReply, MsgConfirm:
		return n.membership().Contains(m.From, m.FromDisk)
	case MsgPreVote, MsgVote:
		x, ok := n.membership().Find(m.From)
		return !ok || x.Disk == m.FromDisk
	default:
		return true
	}
}

// handleHigherTerm adopts the higher term of m if required, and reports whether
// m is to be processed. Vote requests are ignored while there is a live leader.
func (n *Node) handleHigherTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote:
		return !n.hasRecentLeader()
	case MsgVote:
		if n.hasRecentLeader() {
			return false
		}
		n.becomeFollower(m.Term, None)
	case MsgPreVoteReply:
		if m.Reject {
			n.becomeFollower(m.Term, None)
			return false
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, None)
	}
	return true
}

// rejectStaleTerm replies to a message of an old term with the current term, so
// that a replaced leader steps down and a candidate catches up.
func (n *Node) rejectStaleTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.reply(m, Message{Type: MsgAppendReply, Reject: true, Index: m.Index, Hint: n.log.lastIndex(), HintTerm: n.log.lastTerm()})
	case MsgPreVote:
		n.reply(m, Message{Type: MsgPreVoteReply, Reject: true})
	default:
	}
}

func (n *Node) handle(m Message) {
	switch m.Type {
	case MsgPreVote, MsgVote:
		n.onVoteRequest(m)
	case MsgPreVoteReply:
		n.onPreVoteReply(m)
	case MsgVoteReply:
		n.onVoteReply(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.onLeaderMessage(m)
	case MsgConfirm:
		n.onConfirm(m)
	case MsgConfirmReply:
		n.confirmed = append(n.confirmed, ConfirmResult{Request: m.Request, Index: m.Index, Lost: m.Reject})
	default:
		if n.role == Leader {
			n.onFollowerReply(m)
		}
	}
}

func (n *Node) onFollowerReply(m Message) {
	p := n.progress[m.From]
	if p == nil {
		return
	}
	p.active = true
	p.silentTicks = 0
	switch m.Type {
	case MsgAppendReply:
		n.onAppendReply(p, m)
	case MsgHeartbeatReply:
		n.onHeartbeatReply(p, m)
	case MsgSnapshotReply:
		n.onSnapshotReply(p, m)
	default:
	}
}

func (n *Node) onLeaderMessage(m Message) {
	if n.role == Leader {
		panic(&InvariantError{Reason: "two leaders in one term", Index: m.Term})
	}
	if n.role != Follower {
		n.becomeFollower(m.Term, m.From)
	}
	n.leader = m.From
	n.electionElapsed = 0
	switch m.Type {
	case MsgAppend:
		n.onAppend(m)
	case MsgHeartbeat:
		n.log.commitTo(m.Commit)
		n.reply(m, Message{Type: MsgHeartbeatReply, Round: m.Round})
	default:
		n.onSnapshot(m)
	}
}

func (n *Node) onAppend(m Message) {
	if m.Index < n.log.committed {
		n.reply(m, Message{Type: MsgAppendReply, Index: n.log.committed})
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		hint := min(m.Index, n.log.lastIndex())
		for hint > n.log.committed {
			if t, ok := n.log.term(hint); ok && t <= m.LogTerm {
				break
			}
			hint--
		}
		t, _ := n.log.term(hint)
		n.reply(m, Message{Type: MsgAppendReply, Reject: true, Index: m.Index, Hint: hint, HintTerm: t})
		return
	}
	n.incoming = nil
	n.log.merge(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.log.commitTo(min(m.Commit, last))
	n.reply(m, Message{Type: MsgAppendReply, Index: last})
}
