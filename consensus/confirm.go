package consensus

// confirmRequest is one wish for a confirmed index.
type confirmRequest struct {
	from    MemberID
	disk    DiskID
	request uint64
}

// confirmRound is a round under way: index was committed when it began.
type confirmRound struct {
	index    uint64
	requests []confirmRequest
}

// confirmRounds holds a leader's confirm rounds; one is under way at a time,
// and the requests that come meanwhile share the next.
type confirmRounds struct {
	sequence uint64
	current  *confirmRound
	waiting  []confirmRequest
}

// Confirm asks for an index that covers all that is committed anywhere now.
// The result comes in a Ready, under the request number.
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
	n.beginConfirmRound()
}

// beginConfirmRound begins a round if one is due. A new leader knows what is
// committed only once an entry of its own term is.
func (n *Node) beginConfirmRound() {
	c := &n.confirm
	if c.current != nil || len(c.waiting) == 0 || !n.committedOwnTerm() {
		return
	}
	c.sequence++
	c.current = &confirmRound{index: n.log.committed, requests: c.waiting}
	c.waiting = nil
	n.broadcastHeartbeat()
	n.finishConfirms()
}

// finishConfirms answers the round under way once a majority answered it.
func (n *Node) finishConfirms() {
	c := &n.confirm
	if c.current == nil || !n.roundAnswered() {
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
	n.beginConfirmRound()
}

func (n *Node) roundAnswered() bool {
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

// loseConfirms gives up the rounds of a term that this member no longer leads.
func (n *Node) loseConfirms() {
	c := n.confirm
	n.confirm = confirmRounds{}
	lost := c.waiting
	if c.current != nil {
		lost = append(lost, c.current.requests...)
	}
	for _, r := range lost {
		if r.from == n.id {
			n.confirmed = append(n.confirmed, ConfirmResult{Request: r.request, Lost: true})
		}
	}
}
