package consensus

// incomingSnapshot is a partially received snapshot.
type incomingSnapshot struct {
	meta   SnapshotMeta
	sender MemberID
	data   []byte
}

// beginSnapshot starts to send the latest snapshot to a member.
func (n *Node) beginSnapshot(to MemberID, p *progress) {
	s := n.log.snapshot
	p.state = snapshotting
	p.inflight = nil
	p.snapshot = &s
	p.offset = 0
	n.sendChunk(to, p)
}

func (n *Node) sendChunk(to MemberID, p *progress) {
	s := p.snapshot
	end := min(p.offset+uint64(n.cfg.SnapshotChunkBytes), uint64(len(s.Data)))
	p.stalled = false
	n.send(Message{Type: MsgSnapshot, To: to, Chunk: &SnapshotChunk{
		SnapshotMeta: s.SnapshotMeta,
		Offset:       p.offset,
		Total:        uint64(len(s.Data)),
		Data:         s.Data[p.offset:end],
	}})
}

// resendChunk is called for each heartbeat reply. It sends the current chunk
// again if this is the second reply since the chunk was sent.
func (n *Node) resendChunk(to MemberID, p *progress) {
	if p.stalled {
		n.sendChunk(to, p)
		return
	}
	p.stalled = true
}

func (n *Node) onSnapshotReply(p *progress, m Message) {
	if p.state != snapshotting || m.Index != p.snapshot.Index || m.Offset > uint64(len(p.snapshot.Data)) {
		return
	}
	if m.Offset == p.offset {
		// The chunk at this offset is already in flight.
		return
	}
	p.offset = m.Offset
	n.sendChunk(m.From, p)
}

func (n *Node) onSnapshot(m Message) {
	c := m.Chunk
	if c == nil {
		return
	}
	if c.Index <= n.log.committed {
		n.reply(m, Message{Type: MsgAppendReply, Index: n.log.committed})
		return
	}
	in := n.incoming
	if in == nil || in.meta.Index != c.Index || in.meta.Term != c.Term || in.sender != m.From {
		in = &incomingSnapshot{meta: c.SnapshotMeta, sender: m.From}
		n.incoming = in
	}
	if c.Offset == uint64(len(in.data)) {
		in.data = append(in.data, c.Data...)
	}
	if uint64(len(in.data)) < c.Total {
		n.reply(m, Message{Type: MsgSnapshotReply, Index: c.Index, Offset: uint64(len(in.data))})
		return
	}
	n.incoming = nil
	n.install(Snapshot{SnapshotMeta: in.meta, Data: in.data})
	n.reply(m, Message{Type: MsgAppendReply, Index: n.log.committed})
}

// install replaces the log by a received snapshot. If the log already holds the
// snapshot's last entry, the snapshot only raises the commit index.
func (n *Node) install(s Snapshot) {
	if n.log.matches(s.Index, s.Term) {
		n.log.commitTo(s.Index)
		return
	}
	n.log.restore(s)
	n.restoringSnapshot = &s
}
