package consensus

import "slices"

// learnerTimeoutFactor is the number of election timeouts after which a learner
// starts an election. It gives the voters time to elect a leader first.
const learnerTimeoutFactor = 4

// maxShortTimeouts bounds the timeouts of Config.StartTicks. Members that restart together
// may take some tries until a majority of them runs.
const maxShortTimeouts = 12

// Node is the consensus state machine of one member. It is not safe for
// concurrent use.
type Node struct {
	cfg  Config
	id   MemberID
	disk DiskID

	term   uint64
	vote   MemberID
	role   Role
	leader MemberID
	log    entryLog

	// electionElapsed is the number of ticks since the last message from a
	// leader, or on the leader since its last quorum check.
	electionElapsed  int
	heartbeatElapsed int
	// electionTimeout is the current randomized timeout in ticks.
	electionTimeout int
	// shortTimeouts counts the timeouts of StartTicks, and heardLeader means that a
	// leader was heard since the start. Either ends them.
	shortTimeouts int
	heardLeader   bool

	// votes holds the replies to this member's (pre-)vote requests.
	votes map[MemberID]bool
	// progress is non-nil on the leader only.
	progress map[MemberID]*progress
	confirm  confirmRounds
	incoming *incomingSnapshot

	// restoringSnapshot is a received snapshot that the caller has not yet
	// restored.
	restoringSnapshot *Snapshot
	// messages and confirmed are the output for the next Ready.
	messages  []Message
	confirmed []ConfirmResult
	// savedHardState is the HardState of the last Advance.
	savedHardState HardState
}

// New returns a node with the persisted state in cfg. It starts as a follower;
// the only voter of a group starts an election on its first tick.
func New(cfg Config) *Node {
	cfg.setDefaults()
	n := &Node{
		cfg: cfg, id: cfg.ID, disk: cfg.Disk,
		term: cfg.HardState.Term, vote: cfg.HardState.Vote,
		log: newEntryLog(cfg.Snapshot, cfg.Entries, cfg.HardState.Commit),
	}
	n.savedHardState = n.hardState()
	n.becomeFollower(n.term, None)
	if n.electable() && n.membership().VoterCount() == 1 {
		n.electionElapsed = n.electionTimeout
	}
	return n
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.committed}
}

func (n *Node) membership() Membership { return n.log.membership().Membership }

// electable reports whether this member, with this disk, is a voter in any
// effective membership. A voter whose removal is not committed yet still
// counts, since it may be the only member that can win an election.
func (n *Node) electable() bool {
	return slices.ContainsFunc(n.log.effectiveMemberships(), func(m indexedMembership) bool {
		return m.Contains(n.id, n.disk) && m.IsVoter(n.id)
	})
}

// canVote reports whether this member may grant votes. A learner may, since its
// promotion may be committed before it receives the entry; the candidate's
// membership decides whether the vote counts.
func (n *Node) canVote() bool {
	return slices.ContainsFunc(n.log.effectiveMemberships(), func(m indexedMembership) bool {
		return m.Contains(n.id, n.disk)
	})
}

func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	least := n.cfg.ElectionTicks
	if !n.heardLeader && n.shortTimeouts < maxShortTimeouts && n.electable() {
		n.shortTimeouts++
		least = n.cfg.StartTicks
	}
	n.electionTimeout = least + n.cfg.Random.IntN(least)
}

func (n *Node) becomeFollower(term uint64, leader MemberID) {
	if term > n.term {
		n.term = term
		n.vote = None
	}
	n.role = Follower
	n.leader = leader
	n.heardLeader = n.heardLeader || leader != None
	n.progress = nil
	n.votes = nil
	n.abortConfirms()
	n.resetElectionTimer()
}

func (n *Node) becomePreCandidate() {
	n.role = PreCandidate
	n.leader = None
	n.votes = map[MemberID]bool{n.id: true}
	n.resetElectionTimer()
}

func (n *Node) becomeCandidate() {
	n.role = Candidate
	n.leader = None
	n.term++
	n.vote = n.id
	n.votes = map[MemberID]bool{n.id: true}
	n.resetElectionTimer()
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.heardLeader = true
	n.votes = nil
	n.incoming = nil
	n.electionElapsed = 0
	n.heartbeatElapsed = 0
	n.confirm = confirmRounds{}
	n.progress = make(map[MemberID]*progress)
	n.syncProgress()
	n.appendEntry(Entry{Kind: EntryEmpty})
	n.broadcastAppend()
}

// Tick advances the node's logical clock by one tick.
func (n *Node) Tick() {
	n.electionElapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.restoringSnapshot == nil && n.electionDue() {
		n.startPreVote()
	}
}

// electionDue reports whether this member should start an election. A learner
// does so only after learnerTimeoutFactor election timeouts: if the leader is
// lost, a learner may hold entries that no voter has, so that it grants no voter
// its vote. It does not count towards its own quorum, and steps down once it
// has committed its entries.
func (n *Node) electionDue() bool {
	if n.electable() {
		return n.electionElapsed >= n.electionTimeout
	}
	return n.canVote() && n.electionElapsed >= learnerTimeoutFactor*n.electionTimeout
}

func (n *Node) tickLeader() {
	for id, p := range n.progress {
		if id != n.id {
			p.silentTicks++
		}
	}
	if n.electionElapsed >= n.cfg.ElectionTicks {
		n.electionElapsed = 0
		if !n.checkQuorum() {
			n.becomeFollower(n.term, None)
			return
		}
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.broadcastHeartbeat()
	}
}

// send queues a message. It sets the sender, the current term if m.Term is 0,
// and the receiver's disk if m.ToDisk is empty.
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

// reply queues an answer to the member and disk that sent m.
func (n *Node) reply(m, answer Message) {
	answer.To, answer.ToDisk = m.From, m.FromDisk
	n.send(answer)
}

func (n *Node) appendEntry(e Entry) uint64 {
	e.Term = n.term
	e.Index = n.log.lastIndex() + 1
	n.log.add(e)
	return e.Index
}

// Propose appends a command to the leader's log and returns its index and term.
// The command is committed once an entry with this index and term is. Errors:
// ErrNotLeader, ErrTooManyUncommitted.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.log.lastIndex()-n.log.committed >= uint64(n.cfg.MaxUncommitted) {
		return 0, 0, ErrTooManyUncommitted
	}
	index = n.appendEntry(Entry{Kind: EntryCommand, Data: data})
	return index, n.term, nil
}

// ProposeMembershipChange appends a membership change to the leader's log. The
// new membership takes effect when it is appended, and is reverted if the entry
// is truncated. Errors: ErrNotLeader, *MembershipError.
func (n *Node) ProposeMembershipChange(c MembershipChange) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	next, err := n.membership().apply(c)
	if err != nil {
		return 0, 0, err
	}
	if err := n.checkChange(c); err != nil {
		return 0, 0, err
	}
	index = n.appendEntry(Entry{Kind: EntryMembership, Membership: &next})
	n.syncProgress()
	return index, n.term, nil
}

func (n *Node) checkChange(c MembershipChange) error {
	if !n.hasCommittedInTerm() {
		return &MembershipError{Reason: TermNotCommitted, ID: c.Member.ID}
	}
	if n.log.membership().index > n.log.committed {
		return &MembershipError{Reason: ChangePending, ID: c.Member.ID}
	}
	p := n.progress[c.Member.ID]
	if c.Kind == Promote && p != nil && p.match < n.log.committed {
		return &MembershipError{Reason: LearnerBehind, ID: c.Member.ID}
	}
	if c.Kind == Promote && p != nil && !p.recentlyActive() {
		return &MembershipError{Reason: LearnerInactive, ID: c.Member.ID}
	}
	if c.Kind == Remove && !n.hasQuorumWithout(c.Member.ID) {
		return &MembershipError{Reason: QuorumLost, ID: c.Member.ID}
	}
	return nil
}

// hasQuorumWithout reports whether a majority of the voters would be recently
// active if a member were removed.
func (n *Node) hasQuorumWithout(removed MemberID) bool {
	rest := n.membership().without(removed)
	count := 0
	for _, m := range rest.Members {
		if !m.Learner && (m.ID == n.id || n.progress[m.ID].recentlyActive()) {
			count++
		}
	}
	return count >= rest.Quorum()
}

// hasCommittedInTerm reports whether an entry of the current term is committed.
func (n *Node) hasCommittedInTerm() bool {
	t, ok := n.log.term(n.log.committed)
	return ok && t == n.term
}

// Compact records a snapshot that the caller took and persisted at an applied
// index, and discards the entries up to and including keep, and more if those
// between keep and the snapshot's index are larger than maxBytes.
func (n *Node) Compact(s Snapshot, keep, maxBytes uint64) {
	n.log.compact(s, max(keep, n.log.indexBefore(s.Index, maxBytes)))
}

// MembershipAt returns the membership as of an applied index. The index must not
// be below the latest snapshot's.
func (n *Node) MembershipAt(index uint64) Membership { return n.log.membershipAt(index) }
