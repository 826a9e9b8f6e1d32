package consensus

import "slices"

func (n *Node) broadcastAppend() {
	for _, m := range n.membership().Members {
		if m.ID != n.id {
			n.sendAppends(m.ID)
		}
	}
}

// sendAppends sends all that may be sent to a member now.
func (n *Node) sendAppends(to MemberID) {
	p := n.progress[to]
	if p == nil {
		return
	}
	switch p.state {
	case probing:
		if !p.probed && n.sendAppend(to, p) {
			p.probed = true
		}
	case replicating:
		for len(p.inflight) < n.cfg.MaxInflight && p.next <= n.log.last() {
			if !n.sendAppend(to, p) {
				return
			}
		}
	case snapshotting:
	}
}

// sendAppend sends one append, or begins a snapshot if the entries are gone.
// It tells whether it sent an append.
func (n *Node) sendAppend(to MemberID, p *progress) bool {
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		n.beginSnapshot(to, p)
		return false
	}
	entries := n.log.slice(p.next, n.cfg.MaxAppendBytes)
	n.send(Message{
		Type: MsgAppend, To: to, Index: prev, LogTerm: term,
		Entries: entries, Commit: n.log.committed,
	})
	if k := len(entries); k > 0 && p.state == replicating {
		p.next = entries[k-1].Index + 1
		p.inflight = append(p.inflight, p.next-1)
	}
	return true
}

func (n *Node) onAppendReply(p *progress, m Message) {
	if m.Reject {
		n.onRefusedAppend(p, m)
		return
	}
	if m.Index > n.log.last() {
		panic(&InvariantError{Reason: "an acknowledgement beyond the log", Index: m.Index})
	}
	advanced := m.Index > p.match
	p.acknowledge(m.Index)
	switch p.state {
	case probing:
		p.replicate()
	case snapshotting:
		if p.match >= p.snapshot.Index {
			p.probe()
		}
	case replicating:
	}
	if advanced && n.advanceCommit() {
		n.afterCommit()
	}
	if n.role == Leader {
		n.sendAppends(m.From)
	}
}

func (n *Node) onRefusedAppend(p *progress, m Message) {
	if p.state == snapshotting || m.Index <= p.match {
		return
	}
	if p.state == probing && m.Index != p.next-1 {
		return
	}
	next := min(m.Index, n.matchBefore(m.Hint, m.HintTerm)+1)
	p.probe()
	p.next = max(next, p.match+1)
	n.sendAppends(m.From)
}

// matchBefore returns the last index up to hint at which the logs may match,
// given the term of the other's entry at hint.
func (n *Node) matchBefore(hint, term uint64) uint64 {
	index := min(hint, n.log.last())
	for index > n.log.base {
		if t, ok := n.log.term(index); ok && t <= term {
			break
		}
		index--
	}
	return index
}

func (n *Node) broadcastHeartbeat() {
	n.heartbeatElapsed = 0
	for _, m := range n.membership().Members {
		if m.ID == n.id {
			continue
		}
		commit := min(n.progress[m.ID].match, n.log.committed)
		n.send(Message{Type: MsgHeartbeat, To: m.ID, Commit: commit, Round: n.confirm.sequence})
	}
}

func (n *Node) onHeartbeatReply(p *progress, m Message) {
	p.round = max(p.round, m.Round)
	n.finishConfirms()
	p.probed = false
	switch p.state {
	case snapshotting:
		n.resendChunk(m.From, p)
	case replicating:
		if p.match < n.log.last() && p.stalled {
			// Nothing sent since the last heartbeat arrived: send it again.
			p.probe()
		}
		p.stalled = p.match < n.log.last()
		n.sendAppends(m.From)
	case probing:
		if p.match < n.log.last() {
			n.sendAppends(m.From)
		}
	}
}

// ownStable takes in that the leader's own entries are persisted.
func (n *Node) ownStable() {
	p := n.progress[n.id]
	if p == nil {
		// The leader removed itself; the others' acknowledgements decide.
		return
	}
	p.acknowledge(n.log.stable)
	if n.advanceCommit() {
		n.afterCommit()
	}
}

// advanceCommit commits what a majority of voters hold, if it is of this term.
func (n *Node) advanceCommit() bool {
	var matches []uint64
	for _, m := range n.membership().Members {
		if !m.Learner {
			matches = append(matches, n.progress[m.ID].match)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.membership().Quorum()]
	if index <= n.log.committed || !n.log.matches(index, n.term) {
		return false
	}
	n.log.committed = index
	return true
}

func (n *Node) afterCommit() {
	n.beginConfirmRound()
	n.broadcastCommit()
	if m := n.log.membership(); m.index <= n.log.committed && !n.electable() {
		n.becomeFollower(n.term, None)
	}
}

// broadcastCommit tells the others at once what is committed.
func (n *Node) broadcastCommit() {
	for _, m := range n.membership().Members {
		p := n.progress[m.ID]
		if m.ID == n.id || p.state != replicating || len(p.inflight) >= n.cfg.MaxInflight {
			continue
		}
		n.sendAppend(m.ID, p)
	}
}
