package consensus

import "slices"

// learnerPatience is how many election timeouts a learner waits longer.
const learnerPatience = 4

// Node is one member's part in the agreement. It isn't safe for use by several
// goroutines.
type Node struct {
	cfg  Config
	id   MemberID
	disk DiskID

	term   uint64
	vote   MemberID
	role   Role
	leader MemberID
	log    entryLog

	// elapsed counts ticks since a leader was heard, or for a leader since it
	// last checked its quorum.
	elapsed          int
	heartbeatElapsed int
	timeout          int

	votes    map[MemberID]bool
	progress map[MemberID]*progress
	confirm  confirmRounds
	incoming *incomingSnapshot

	restoring *Snapshot
	messages  []Message
	confirmed []ConfirmResult
	saved     HardState
}

// New makes a node from what was persisted.
func New(cfg Config) *Node {
	cfg.setDefaults()
	n := &Node{
		cfg: cfg, id: cfg.ID, disk: cfg.Disk,
		term: cfg.HardState.Term, vote: cfg.HardState.Vote,
		log: newEntryLog(cfg.Snapshot, cfg.Entries, cfg.HardState.Commit),
	}
	n.saved = n.hardState()
	n.becomeFollower(n.term, None)
	if n.electable() && n.membership().VoterCount() == 1 {
		n.elapsed = n.timeout
	}
	return n
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.committed}
}

func (n *Node) membership() Membership { return n.log.membership().Membership }

// electable tells whether this member, with this disk, is a voter. One whose
// removal isn't committed is still: it may be the only one that can lead.
func (n *Node) electable() bool {
	return slices.ContainsFunc(n.log.inForce(), func(m recordedMembership) bool {
		return m.Contains(n.id, n.disk) && m.IsVoter(n.id)
	})
}

// mayVote tells whether this member may give votes. A learner may, since its
// promotion may be committed before it hears of it; the candidate's membership
// decides whether the vote counts.
func (n *Node) mayVote() bool {
	return slices.ContainsFunc(n.log.inForce(), func(m recordedMembership) bool {
		return m.Contains(n.id, n.disk)
	})
}

func (n *Node) resetTimeout() {
	n.elapsed = 0
	n.timeout = n.cfg.ElectionTicks + n.cfg.Random.IntN(n.cfg.ElectionTicks)
}

func (n *Node) becomeFollower(term uint64, leader MemberID) {
	if term > n.term {
		n.term = term
		n.vote = None
	}
	n.role = Follower
	n.leader = leader
	n.progress = nil
	n.votes = nil
	n.loseConfirms()
	n.resetTimeout()
}

func (n *Node) becomePreCandidate() {
	n.role = PreCandidate
	n.leader = None
	n.votes = map[MemberID]bool{n.id: true}
	n.resetTimeout()
}

func (n *Node) becomeCandidate() {
	n.role = Candidate
	n.leader = None
	n.term++
	n.vote = n.id
	n.votes = map[MemberID]bool{n.id: true}
	n.resetTimeout()
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.votes = nil
	n.incoming = nil
	n.elapsed = 0
	n.heartbeatElapsed = 0
	n.confirm = confirmRounds{}
	n.progress = make(map[MemberID]*progress)
	n.syncProgress()
	n.appendOwn(Entry{Kind: EntryEmpty})
	n.broadcastAppend()
}

// Tick lets one unit of time pass.
func (n *Node) Tick() {
	n.elapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.restoring == nil && n.mayStand() {
		n.campaign()
	}
}

// mayStand tells whether it is time to stand for election. A learner stands
// only after a long wait: it may hold entries that keep it from voting for any
// voter, when the leader that sent them is lost. It isn't counted itself, and
// steps down once it has committed what it holds.
func (n *Node) mayStand() bool {
	if n.electable() {
		return n.elapsed >= n.timeout
	}
	return n.mayVote() && n.elapsed >= learnerPatience*n.timeout
}

func (n *Node) tickLeader() {
	if n.elapsed >= n.cfg.ElectionTicks {
		n.elapsed = 0
		if !n.quorumActive() {
			n.becomeFollower(n.term, None)
			return
		}
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.broadcastHeartbeat()
	}
}

// send queues a message. Its term is the node's own unless set.
func (n *Node) send(m Message) {
	m.From, m.FromDisk = n.id, n.disk
	if m.Term == 0 {
		m.Term = n.term
	}
	if to, ok := n.membership().Find(m.To); ok && m.ToDisk == "" {
		m.ToDisk = to.Disk
	}
	n.messages = append(n.messages, m)
}

// reply queues an answer to the disk that m came from.
func (n *Node) reply(m, answer Message) {
	answer.To, answer.ToDisk = m.From, m.FromDisk
	n.send(answer)
}

func (n *Node) appendOwn(e Entry) uint64 {
	e.Term = n.term
	e.Index = n.log.last() + 1
	n.log.add(e)
	return e.Index
}

// Propose appends a command to the log if this member leads.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.log.last()-n.log.committed >= uint64(n.cfg.MaxUncommitted) {
		return 0, 0, ErrTooManyUncommitted
	}
	index = n.appendOwn(Entry{Kind: EntryCommand, Data: data})
	return index, n.term, nil
}

// ProposeMembershipChange appends a change of the membership. It holds from then on, and
// is given up if the entry is cut off.
func (n *Node) ProposeMembershipChange(c MembershipChange) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	next, err := n.membership().apply(c)
	if err != nil {
		return 0, 0, err
	}
	if err := n.mayChange(c); err != nil {
		return 0, 0, err
	}
	index = n.appendOwn(Entry{Kind: EntryMembership, Membership: &next})
	n.syncProgress()
	return index, n.term, nil
}

func (n *Node) mayChange(c MembershipChange) error {
	if !n.committedOwnTerm() {
		return &MembershipError{Reason: TermNotCommitted, ID: c.Member.ID}
	}
	if n.log.membership().index > n.log.committed {
		return &MembershipError{Reason: ChangePending, ID: c.Member.ID}
	}
	p := n.progress[c.Member.ID]
	if c.Kind == Promote && p != nil && p.match < n.log.committed {
		return &MembershipError{Reason: LearnerBehind, ID: c.Member.ID}
	}
	if c.Kind == Promote && p != nil && !p.answered() {
		return &MembershipError{Reason: LearnerInactive, ID: c.Member.ID}
	}
	if c.Kind == Remove && !n.leavesQuorum(c.Member.ID) {
		return &MembershipError{Reason: QuorumLost, ID: c.Member.ID}
	}
	return nil
}

// leavesQuorum tells whether without a member a majority of voters answers.
func (n *Node) leavesQuorum(removed MemberID) bool {
	rest := n.membership().without(removed)
	count := 0
	for _, m := range rest.Members {
		if !m.Learner && (m.ID == n.id || n.progress[m.ID].answered()) {
			count++
		}
	}
	return count >= rest.Quorum()
}

// committedOwnTerm tells whether an entry of the current term is committed.
func (n *Node) committedOwnTerm() bool {
	t, ok := n.log.term(n.log.committed)
	return ok && t == n.term
}

// Compact takes in a snapshot that the caller made and persisted at an applied
// index, and drops the entries up to keep.
func (n *Node) Compact(s Snapshot, keep uint64) {
	n.log.compact(s, keep)
}

// MembershipAt returns the membership at an applied index that isn't yet
// covered by a snapshot.
func (n *Node) MembershipAt(index uint64) Membership { return n.log.membershipAt(index) }
