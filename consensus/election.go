package consensus

// startPreVote starts a pre-vote round: the election follows once a majority
// would grant its votes. The pre-vote keeps a member that cannot win from
// raising the term and disrupting the leader.
func (n *Node) startPreVote() {
	n.becomePreCandidate()
	if n.wonElection() {
		n.startElection()
		return
	}
	n.requestVotes(MsgPreVote, n.term+1)
}

// startElection raises the term and requests votes.
func (n *Node) startElection() {
	n.becomeCandidate()
	if n.wonElection() {
		n.becomeLeader()
		return
	}
	n.requestVotes(MsgVote, n.term)
}

func (n *Node) requestVotes(t MessageType, term uint64) {
	for _, m := range n.membership().Members {
		if m.ID == n.id || m.Learner {
			continue
		}
		n.send(Message{Type: t, To: m.ID, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm()})
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

// hasRecentLeader reports whether a message from the leader arrived within the
// minimum election timeout, so that no election is needed.
func (n *Node) hasRecentLeader() bool {
	return n.leader != None && n.electionElapsed < n.cfg.ElectionTicks
}

func (n *Node) onVoteRequest(m Message) {
	free := n.vote == m.From || (n.vote == None && n.leader == None)
	if m.Type == MsgPreVote {
		free = m.Term > n.term || free
	}
	grant := free && n.canVote() && n.log.isUpToDate(m.Index, m.LogTerm)
	if m.Type == MsgPreVote {
		// A granted reply carries the requested term, a rejection our own.
		term := n.term
		if grant {
			term = m.Term
		}
		n.reply(m, Message{Type: MsgPreVoteReply, Term: term, Reject: !grant})
		return
	}
	if grant {
		n.vote = m.From
		n.electionElapsed = 0
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
		n.startElection()
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
