package consensus

// campaign asks whether the others would elect this member.
func (n *Node) campaign() {
	n.becomePreCandidate()
	if n.wonElection() {
		n.campaignForReal()
		return
	}
	n.askVotes(MsgPreVote, n.term+1)
}

func (n *Node) campaignForReal() {
	n.becomeCandidate()
	if n.wonElection() {
		n.becomeLeader()
		return
	}
	n.askVotes(MsgVote, n.term)
}

func (n *Node) askVotes(t MessageType, term uint64) {
	for _, m := range n.membership().Members {
		if m.ID == n.id || m.Learner {
			continue
		}
		n.send(Message{Type: t, To: m.ID, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()})
	}
}

func (n *Node) countVotes(granted bool) int {
	count := 0
	m := n.membership()
	for id, g := range n.votes {
		if g == granted && m.IsVoter(id) {
			count++
		}
	}
	return count
}

func (n *Node) wonElection() bool { return n.countVotes(true) >= n.membership().Quorum() }

func (n *Node) lostElection() bool {
	m := n.membership()
	return n.countVotes(false) > m.VoterCount()-m.Quorum()
}

// hearsLeader tells whether a leader was heard within the shortest election
// timeout, so that no other can be needed.
func (n *Node) hearsLeader() bool {
	return n.leader != None && n.elapsed < n.cfg.ElectionTicks
}

func (n *Node) onVoteRequest(m Message) {
	free := n.vote == m.From || (n.vote == None && n.leader == None)
	if m.Type == MsgPreVote {
		free = m.Term > n.term || free
	}
	grant := free && n.mayVote() && n.log.upToDate(m.Index, m.LogTerm)
	if m.Type == MsgPreVote {
		// A granted reply carries the term asked for; a refusal our own.
		term := n.term
		if grant {
			term = m.Term
		}
		n.reply(m, Message{Type: MsgPreVoteReply, Term: term, Reject: !grant})
		return
	}
	if grant {
		n.vote = m.From
		n.elapsed = 0
	}
	n.reply(m, Message{Type: MsgVoteReply, Reject: !grant})
}

func (n *Node) onPreVoteReply(m Message) {
	if n.role != PreCandidate || (!m.Reject && m.Term != n.term+1) {
		return
	}
	n.votes[m.From] = !m.Reject
	switch {
	case n.wonElection():
		n.campaignForReal()
	case n.lostElection():
		n.becomeFollower(n.term, None)
	}
}

func (n *Node) onVoteReply(m Message) {
	if n.role != Candidate {
		return
	}
	n.votes[m.From] = !m.Reject
	switch {
	case n.wonElection():
		n.becomeLeader()
	case n.lostElection():
		n.becomeFollower(n.term, None)
	}
}
