package consensus

// confirmRequest is a Confirm call of a member. request is the ID that the
// member chose.
type confirmRequest struct {
	from    MemberID
	disk    DiskID
	request uint64
}

// confirmRound is a round in progress. index is the commit index as of its start.
type confirmRound struct {
	index    uint64
	requests []confirmRequest
}

// confirmRounds is a leader's state of confirm rounds. One round is in progress
// at a time; the requests that arrive meanwhile share the next one.
type confirmRounds struct {
	// sequence is the number of the latest round in this term.
	sequence uint64
	current  *confirmRound
	waiting  []confirmRequest
}

// Confirm starts a linearizable read, as Raft's ReadIndex does: it requests an
// index that is at least the highest index committed on any member at the time
// of the call. The leader confirms with a heartbeat round that it still leads;
// followers forward the request to it. The result is returned in a Ready with
// the same request ID; it may be lost, so the caller needs a timeout. Error:
// ErrNoLeader.
func (n *Node) Confirm(request uint64) error {
	if n.role == Leader {
		n.addConfirm(confirmRequest{n.id, n.disk, request})
		return nil
	}
	if n.leader == None {
		return ErrNoLeader
	}
	n.send(Message{Type: MsgConfirm, To: n.leader, Request: request})
	return nil
}

func (n *Node) onConfirm(m Message) {
	if n.role != Leader {
		n.reply(m, Message{Type: MsgConfirmReply, Request: m.Request, Reject: true})
		return
	}
	n.addConfirm(confirmRequest{m.From, m.FromDisk, m.Request})
}

func (n *Node) addConfirm(r confirmRequest) {
	n.confirm.waiting = append(n.confirm.waiting, r)
	n.startConfirmRound()
}

// startConfirmRound starts a round if requests are waiting and none is in
// progress. A new leader's commit index may lag behind until an entry of its
// term is committed, so rounds wait for that.
func (n *Node) startConfirmRound() {
	c := &n.confirm
	if c.current != nil || len(c.waiting) == 0 || !n.hasCommittedInTerm() {
		return
	}
	c.sequence++
	c.current = &confirmRound{index: n.log.committed, requests: c.waiting}
	c.waiting = nil
	n.broadcastHeartbeat()
	n.finishConfirmRound()
}

// finishConfirmRound answers the requests of the current round once a majority
// of voters has acknowledged it.
func (n *Node) finishConfirmRound() {
	c := &n.confirm
	if c.current == nil || !n.quorumAckedRound() {
		return
	}
	done := c.current
	c.current = nil
	for _, r := range done.requests {
		if r.from == n.id {
			n.confirmed = append(n.confirmed, ConfirmResult{Request: r.request, Index: done.index})
			continue
		}
		n.send(Message{Type: MsgConfirmReply, To: r.from, ToDisk: r.disk, Index: done.index, Request: r.request})
	}
	n.startConfirmRound()
}

func (n *Node) quorumAckedRound() bool {
	count := 0
	for _, m := range n.membership().Members {
		if m.Learner {
			continue
		}
		if m.ID == n.id || n.progress[m.ID].round >= n.confirm.sequence {
			count++
		}
	}
	return count >= n.membership().Quorum()
}

// abortConfirms drops all requests when this member stops leading. Its own are
// reported as lost; other members' requests time out.
func (n *Node) abortConfirms() {
	c := n.confirm
	n.confirm = confirmRounds{}
	aborted := c.waiting
	if c.current != nil {
		aborted = append(aborted, c.current.requests...)
	}
	for _, r := range aborted {
		if r.from == n.id {
			n.confirmed = append(n.confirmed, ConfirmResult{Request: r.request, Lost: true})
		}
	}
}
