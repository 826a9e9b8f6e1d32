package consensus_test

import (
	"errors"
	"testing"

	"github.com/peridotmux/peridotmux/consensus"
)

// newFaultlessSim returns a simulated group without random faults.
func newFaultlessSim(n int) *sim {
	s := newSim(1, n, false)
	s.faultless = true
	return s
}

func (s *sim) runTicks(n int) {
	for range n {
		s.tick()
	}
}

// waitForLeader runs the group until a leader has committed an entry, and
// returns it.
func (s *sim) waitForLeader(t *testing.T) *simProcess {
	t.Helper()
	for range 100 * simElectionTicks {
		if l := s.leader(); l != nil && l.node.Status().CommitIndex > 1 {
			return l
		}
		s.tick()
	}
	t.Fatal("no leader elected")
	return nil
}

func (s *sim) follower() *simProcess {
	l := s.leader()
	for _, p := range s.processes {
		if p != l && p.node != nil {
			return p
		}
	}
	return nil
}

func TestSingleMemberCommitsWithoutMessages(t *testing.T) {
	s := newFaultlessSim(1)
	s.tick()
	p := s.processes[0]
	s.propose(p)
	s.confirm(p)
	s.processReady(p)
	if len(s.acked) != 1 || s.confirmed != 1 || len(s.network) > 0 {
		t.Errorf("got %d acknowledged, %d confirmed, %d messages; want 1, 1, 0", len(s.acked), s.confirmed, len(s.network))
	}
}

// Guards against a member that was partitioned off, and timed out meanwhile,
// forcing an election with a higher term when it returns.
func TestReturningMemberDoesNotDisruptLeader(t *testing.T) {
	s := newFaultlessSim(3)
	l := s.waitForLeader(t)
	term := l.node.Term()
	for range 5 {
		s.isolate(s.follower().id)
		s.runTicks(10 * simElectionTicks)
		clear(s.blocked)
		s.runTicks(5 * simElectionTicks)
	}
	if !l.node.IsLeader() || l.node.Term() != term {
		t.Errorf("leader was replaced or its term changed: term %d, was %d", l.node.Term(), term)
	}
}

func TestLeaderWithoutMajorityStepsDown(t *testing.T) {
	s := newFaultlessSim(3)
	l := s.waitForLeader(t)
	s.isolate(l.id)
	s.runTicks(2*simElectionTicks + 1)
	if l.node.IsLeader() {
		t.Error("leader without a reachable majority has not stepped down after two election timeouts")
	}
}

// Guards against the loss of committed entries when a member returns under its
// ID with an empty disk: its acknowledgements and votes must not count.
func TestWipedDiskDoesNotCountTowardsQuorum(t *testing.T) {
	s := newFaultlessSim(3)
	l := s.waitForLeader(t)
	wiped := s.follower()
	s.loseDisk(wiped)
	s.start(wiped)
	for _, p := range s.processes {
		if p != l && p != wiped {
			s.crash(p)
		}
	}
	before := l.node.Status().CommitIndex
	s.propose(l)
	s.runTicks(10 * simElectionTicks)
	if got := l.node.Status().CommitIndex; got != before {
		t.Errorf("entry committed with the acknowledgement of a wiped disk: commit index %d, was %d", got, before)
	}
	if s.leader() != nil {
		t.Error("a member leads although its quorum includes a wiped disk")
	}
}

// Each lost disk is replaced through a learner before the next one is lost, so
// no acknowledged entry may be lost, also not from compacted logs.
func TestGroupSurvivesRepeatedDiskLossWithRepair(t *testing.T) {
	s := newFaultlessSim(3)
	for range 3 {
		for range 10 {
			s.propose(s.waitForLeader(t))
			s.runTicks(3)
		}
		s.compact(s.leader())
		s.loseDisk(s.follower())
		s.converge()
	}
}

// newLeader returns member 1 of three, just elected in term 3 by member 2, with
// an entry of term 2 in its log. Its pending work is done, but no entry of its
// own term is acknowledged yet.
func newLeader(t *testing.T) *consensus.Node {
	t.Helper()
	hard, entries := consensus.BootstrapState(consensus.NewMembership(
		consensus.Member{ID: 1, Disk: "a"}, consensus.Member{ID: 2, Disk: "b"}, consensus.Member{ID: 3, Disk: "c"},
	))
	entries = append(entries, consensus.Entry{Index: 2, Term: 2, Kind: consensus.EntryCommand})
	hard.Term = 2
	n := consensus.New(consensus.Config{ID: 1, Disk: "a", HardState: hard, Entries: entries})
	for n.Status().Role != consensus.PreCandidate {
		n.Tick()
	}
	n.Step(fromMember2(consensus.Message{Type: consensus.MsgPreVoteReply, Term: 3}))
	n.Step(fromMember2(consensus.Message{Type: consensus.MsgVoteReply, Term: 3}))
	if !n.IsLeader() {
		t.Fatal("not elected")
	}
	processReady(n)
	return n
}

func fromMember2(m consensus.Message) consensus.Message {
	m.From, m.FromDisk, m.To, m.ToDisk = 2, "b", 1, "a"
	return m
}

// processReady does all pending work of a node and returns its confirm results.
func processReady(n *consensus.Node) []consensus.ConfirmResult {
	var confirmed []consensus.ConfirmResult
	for n.HasReady() {
		r := n.Ready()
		confirmed = append(confirmed, r.Confirmed...)
		n.Advance(r)
	}
	return confirmed
}

// Guards against a new leader acting on an outdated commit index: before an entry
// of its own term is committed, it must not confirm reads, commit older entries
// by counting, or change the membership.
func TestNewLeaderWaitsForCommitInItsTerm(t *testing.T) {
	n := newLeader(t)
	if err := n.Confirm(1); err != nil {
		t.Fatal(err)
	}
	n.Step(fromMember2(consensus.Message{Type: consensus.MsgHeartbeatReply, Term: 3, Round: 1}))
	n.Step(fromMember2(consensus.Message{Type: consensus.MsgAppendReply, Term: 3, Index: 2}))
	if got := processReady(n); len(got) > 0 {
		t.Errorf("confirmed %v before an entry of the leader's term was committed", got)
	}
	if got := n.Status().CommitIndex; got != 1 {
		t.Errorf("entry of an older term committed by counting: commit index %d", got)
	}
	_, _, err := n.ProposeMembershipChange(consensus.MembershipChange{Kind: consensus.Remove, Member: consensus.Member{ID: 3}})
	var refused *consensus.MembershipError
	if !errors.As(err, &refused) || refused.Reason != consensus.TermNotCommitted {
		t.Errorf("got %v, want %q", err, consensus.TermNotCommitted)
	}
	n.Step(fromMember2(consensus.Message{Type: consensus.MsgAppendReply, Term: 3, Index: 3}))
	n.Step(fromMember2(consensus.Message{Type: consensus.MsgHeartbeatReply, Term: 3, Round: 1}))
	if got := processReady(n); len(got) != 1 || got[0].Index != 3 {
		t.Errorf("confirmed %v, want index 3", got)
	}
}

// Guards against messages from or to another data folder under the same member
// ID: they must not commit an entry or raise the term.
func TestMessagesOfOtherDisksAreIgnored(t *testing.T) {
	n := newLeader(t)
	forged := fromMember2(consensus.Message{Type: consensus.MsgAppendReply, Term: 3, Index: 3})
	forged.FromDisk = "x"
	n.Step(forged)
	processReady(n)
	if got := n.Status().CommitIndex; got != 1 {
		t.Errorf("commit index %d after an acknowledgement from another disk, want 1", got)
	}
	hard, entries := consensus.BootstrapState(n.Membership())
	idle := consensus.New(consensus.Config{ID: 1, Disk: "a", HardState: hard, Entries: entries})
	forged.Type = consensus.MsgVote
	idle.Step(forged)
	if got := idle.Term(); got != hard.Term {
		t.Errorf("candidate with another disk raised the term to %d", got)
	}
	misled := fromMember2(consensus.Message{Type: consensus.MsgHeartbeat, Term: 9})
	misled.ToDisk = "an older disk of this member"
	n.Step(misled)
	if got := n.Term(); got != 3 {
		t.Errorf("message to another disk raised the term to %d", got)
	}
}

// Guards against a partial partition: a member that receives nothing from the
// leader, but still reaches the others, must not force an election.
func TestMemberCutOffFromLeaderDoesNotDisruptIt(t *testing.T) {
	s := newFaultlessSim(3)
	l := s.waitForLeader(t)
	term := l.node.Term()
	deaf := s.follower()
	s.blocked[[2]consensus.MemberID{l.id, deaf.id}] = true
	s.runTicks(20 * simElectionTicks)
	for _, p := range s.processes {
		if p.node.Term() != term {
			t.Errorf("member %d is in term %d, was %d", p.id, p.node.Term(), term)
		}
	}
}

// If the leader is lost, a learner may be the only member with the longest log,
// so that it grants no voter its vote. It then has to lead until its entries are
// committed, without counting towards the quorum itself.
func TestLearnerWithLongestLogCampaigns(t *testing.T) {
	const ticks = 10
	hard, entries := consensus.BootstrapState(consensus.NewMembership(
		consensus.Member{ID: 1, Disk: "a", Learner: true}, consensus.Member{ID: 2, Disk: "b"}, consensus.Member{ID: 3, Disk: "c"},
	))
	n := consensus.New(consensus.Config{ID: 1, Disk: "a", HardState: hard, Entries: entries, ElectionTicks: ticks})
	waited := 0
	for n.Status().Role == consensus.Follower && waited < 100*ticks {
		n.Tick()
		waited++
	}
	if waited < 4*ticks || waited > 8*ticks {
		t.Errorf("learner started an election after %d ticks, want 4 election timeouts", waited)
	}
	fromMember3 := func(m consensus.Message) consensus.Message {
		m.From, m.FromDisk, m.To, m.ToDisk = 3, "c", 1, "a"
		return m
	}
	n.Step(fromMember2(consensus.Message{Type: consensus.MsgPreVoteReply, Term: 2}))
	if n.Status().Role != consensus.PreCandidate {
		t.Error("learner counted its own vote")
	}
	n.Step(fromMember3(consensus.Message{Type: consensus.MsgPreVoteReply, Term: 2}))
	n.Step(fromMember2(consensus.Message{Type: consensus.MsgVoteReply, Term: 2}))
	n.Step(fromMember3(consensus.Message{Type: consensus.MsgVoteReply, Term: 2}))
	processReady(n)
	n.Step(fromMember2(consensus.Message{Type: consensus.MsgAppendReply, Term: 2, Index: 2}))
	if !n.IsLeader() || n.Status().CommitIndex != 1 {
		t.Error("learner does not lead, or committed an entry with its own acknowledgement")
	}
	n.Step(fromMember3(consensus.Message{Type: consensus.MsgAppendReply, Term: 2, Index: 2}))
	if n.IsLeader() || n.Status().CommitIndex != 2 {
		t.Error("learner did not step down after its entries were committed")
	}
}

// A member that restarts far behind gets a snapshot and then many entries. No
// message may exceed the configured limits.
func TestMessagesAreBounded(t *testing.T) {
	const appendBytes, chunkBytes, inflight = 100, 24, 3
	s := newFaultlessSim(3)
	l := s.waitForLeader(t)
	behind := s.follower()
	s.crash(behind)
	for range 50 {
		s.propose(l)
		s.tick()
	}
	s.runTicks(5)
	s.compact(l)
	s.start(behind)
	chunks := 0
	for i := range 300 {
		if i == 150 {
			for range 60 {
				s.propose(l)
			}
		}
		s.tick()
		appends := map[consensus.MemberID]int{}
		for _, m := range s.network {
			if m.Type == consensus.MsgAppend && len(m.Entries) > 0 {
				appends[m.To]++
			}
			if len(m.Entries) > 1 && m.Size() > appendBytes+32 {
				t.Fatalf("append message of %d bytes, limit %d", m.Size(), appendBytes)
			}
			if m.Chunk == nil {
				continue
			}
			chunks++
			if len(m.Chunk.Data) > chunkBytes {
				t.Fatalf("snapshot chunk of %d bytes, limit %d", len(m.Chunk.Data), chunkBytes)
			}
		}
		for id, k := range appends {
			if k > inflight {
				t.Fatalf("%d appends in flight to member %d, limit %d", k, id, inflight)
			}
		}
	}
	if chunks < 2 || behind.applied != l.applied {
		t.Errorf("got %d chunks, want at least 2; applied %d of %d", chunks, behind.applied, l.applied)
	}
}

// Guards against one heartbeat round per Confirm call, which would flood the
// group with heartbeats under concurrent reads.
func TestConcurrentConfirmationsShareARound(t *testing.T) {
	const calls = 100
	s := newFaultlessSim(3)
	l := s.waitForLeader(t)
	s.runTicks(10)
	rounds := map[uint64]bool{}
	for range calls {
		s.confirm(l)
		s.confirm(s.follower())
	}
	for range 20 {
		for _, m := range s.network {
			if m.Type == consensus.MsgHeartbeat {
				rounds[m.Round] = true
			}
		}
		s.tick()
	}
	if s.confirmed != 2*calls || len(rounds) > 4 {
		t.Errorf("%d confirmations in %d rounds, want %d in at most 4", s.confirmed, len(rounds), 2*calls)
	}
}

// A member's silence must be counted from its last reply, and in a new term from its
// start: a new leader must not count what only its predecessor saw.
func TestSilenceIsCountedSinceLastReplyInTerm(t *testing.T) {
	s := newFaultlessSim(3)
	l := s.waitForLeader(t)
	silent := s.follower()
	s.crash(silent)
	s.runTicks(10 * simElectionTicks)
	if got := l.node.Status().SilentTicks[silent.id]; got < 9*simElectionTicks {
		t.Fatalf("a crashed member is silent for %d ticks after %d", got, 10*simElectionTicks)
	}
	s.start(silent)
	s.runTicks(3 * simElectionTicks)
	if got := l.node.Status().SilentTicks[silent.id]; got > simElectionTicks {
		t.Errorf("a member that replies is silent for %d ticks", got)
	}

	s.crash(silent)
	s.runTicks(10 * simElectionTicks)
	s.start(silent)
	s.crash(l)
	next := s.waitForLeader(t)
	if got := next.node.Status().SilentTicks[l.id]; got > 5*simElectionTicks {
		t.Errorf("at the start of a term a member is silent for %d ticks already", got)
	}
}
