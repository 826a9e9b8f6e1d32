package consensus

// progressState says how a leader sends to a member.
type progressState uint8

const (
	// probing sends one append at a time, to find where the logs match.
	probing progressState = iota
	// replicating sends appends without waiting for replies.
	replicating
	// snapshotting sends a snapshot in chunks.
	snapshotting
)

// progress is what a leader knows about a member.
type progress struct {
	state progressState
	match uint64
	next  uint64
	// inflight holds the last index of each append under way.
	inflight []uint64
	// probed says that a probe is under way.
	probed bool
	// active says that the member answered since the last quorum check, and
	// wasActive that it did before that.
	active    bool
	wasActive bool
	// round is the highest confirm round that the member answered.
	round uint64

	snapshot *Snapshot
	offset   uint64
	// stalled says that a heartbeat was answered since the last chunk was sent
	// or the last append was acknowledged.
	stalled bool
}

func (p *progress) probe() {
	p.state = probing
	p.next = p.match + 1
	p.inflight = nil
	p.probed = false
	p.snapshot = nil
}

func (p *progress) replicate() {
	p.state = replicating
	p.next = max(p.next, p.match+1)
	p.inflight = nil
	p.snapshot = nil
}

// answered tells whether the member answered lately.
func (p *progress) answered() bool { return p.active || p.wasActive }

// acknowledge takes in that the member's log matches up to index.
func (p *progress) acknowledge(index uint64) {
	p.match = max(p.match, index)
	p.stalled = false
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
}

// syncProgress makes the progress fit the membership.
func (n *Node) syncProgress() {
	m := n.membership()
	for id := range n.progress {
		if _, ok := m.Find(id); !ok {
			delete(n.progress, id)
		}
	}
	for _, x := range m.Members {
		if n.progress[x.ID] == nil {
			n.progress[x.ID] = &progress{next: n.log.last() + 1, active: true}
		}
	}
}

// quorumActive tells whether a majority answered since the last check.
func (n *Node) quorumActive() bool {
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
