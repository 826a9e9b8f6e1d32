package consensus

// progressState is the mode in which the leader sends entries to a member.
type progressState uint8

const (
	// probing sends one append at a time, to find the last index at which the
	// logs match.
	probing progressState = iota
	// replicating pipelines appends, up to Config.MaxInflight.
	replicating
	// snapshotting sends a snapshot one chunk at a time.
	snapshotting
)

// progress is the leader's replication state of a member.
type progress struct {
	state progressState
	// match is the highest index known to match the leader's log, and next the
	// index of the next entry to send.
	match uint64
	next  uint64
	// inflight holds the last index of each unacknowledged append.
	inflight []uint64
	// probeSent is true while a probe is unanswered.
	probeSent bool
	// active is true if the member replied since the last quorum check,
	// wasActive if it did in the interval before that.
	active    bool
	wasActive bool
	// silentTicks counts the ticks since the member's last reply, or since the
	// leader began to replicate to it.
	silentTicks int
	// round is the highest confirm round that the member acknowledged.
	round uint64

	// snapshot is the snapshot being sent and offset the byte offset of the last
	// chunk sent, in state snapshotting only.
	snapshot *Snapshot
	offset   uint64
	// stalled is true if a heartbeat was answered since the last chunk was sent
	// or the last append was acknowledged. If it is still set at the next
	// heartbeat reply, the messages are considered lost.
	stalled bool
}

func (p *progress) becomeProbing() {
	p.state = probing
	p.next = p.match + 1
	p.inflight = nil
	p.probeSent = false
	p.snapshot = nil
}

func (p *progress) becomeReplicating() {
	p.state = replicating
	p.next = max(p.next, p.match+1)
	p.inflight = nil
	p.snapshot = nil
}

// recentlyActive reports whether the member replied in the current or the
// previous quorum check interval.
func (p *progress) recentlyActive() bool { return p.active || p.wasActive }

// advanceMatch records that the member's log matches up to index.
func (p *progress) advanceMatch(index uint64) {
	p.match = max(p.match, index)
	p.stalled = false
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
}

// syncProgress adds and removes progress entries to fit the membership.
func (n *Node) syncProgress() {
	m := n.membership()
	for id := range n.progress {
		if _, ok := m.Find(id); !ok {
			delete(n.progress, id)
		}
	}
	for _, x := range m.Members {
		if n.progress[x.ID] == nil {
			n.progress[x.ID] = &progress{next: n.log.lastIndex() + 1, active: true}
		}
	}
}

// checkQuorum reports whether a majority of voters replied since the last call,
// and starts a new interval.
func (n *Node) checkQuorum() bool {
	m := n.membership()
	count := 0
	for id, p := range n.progress {
		if m.IsVoter(id) && (p.active || id == n.id) {
			count++
		}
		p.wasActive = p.active
		p.active = false
	}
	return count >= m.Quorum()
}
