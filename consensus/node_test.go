package consensus_test

import (
	"errors"
	"testing"

	"github.com/peridotmux/peridotmux/consensus"
)

// calmSim is a group without random faults.
func calmSim(n int) *sim {
	s := newSim(1, n, false)
	s.calm = true
	return s
}

func (s *sim) ticks(n int) {
	for range n {
		s.tick()
	}
}

// elected returns the leader once there is one that committed an entry.
func (s *sim) elected(t *testing.T) *simProcess {
	t.Helper()
	for range 100 * simElectionTicks {
		if l := s.leader(); l != nil && l.node.Status().CommitIndex > 1 {
			return l
		}
		s.tick()
	}
	t.Fatal("no leader")
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
	s := calmSim(1)
	s.tick()
	p := s.processes[0]
	s.propose(p)
	s.confirm(p)
	s.work(p)
	if len(s.acked) != 1 || s.confirmed != 1 || len(s.network) > 0 {
		t.Errorf("acknowledged %d, confirmed %d, sent %d messages; want 1, 1, 0", len(s.acked), s.confirmed, len(s.network))
	}
}

func TestMemberThatReturnsDoesNotDisturbTheLeader(t *testing.T) {
	s := calmSim(3)
	l := s.elected(t)
	term := l.node.Term()
	for range 5 {
		s.isolate(s.follower().id)
		s.ticks(10 * simElectionTicks)
		clear(s.cut)
		s.ticks(5 * simElectionTicks)
	}
	if !l.node.IsLeader() || l.node.Term() != term {
		t.Errorf("the leader was disturbed: term %d, was %d", l.node.Term(), term)
	}
}

func TestLeaderWithoutMajorityStepsDown(t *testing.T) {
	s := calmSim(3)
	l := s.elected(t)
	s.isolate(l.id)
	s.ticks(2*simElectionTicks + 1)
	if l.node.IsLeader() {
		t.Error("a leader that can't reach a majority still leads after two election timeouts")
	}
}

func TestWipedDiskDoesNotCount(t *testing.T) {
	s := calmSim(3)
	l := s.elected(t)
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
	s.ticks(10 * simElectionTicks)
	if got := l.node.Status().CommitIndex; got != before {
		t.Errorf("an entry was committed with the acknowledgement of a wiped disk: %d, was %d", got, before)
	}
	if s.leader() != nil {
		t.Error("a leader was elected, or stayed, with the vote of a wiped disk")
	}
}

func TestWipedMemberReturnsAsLearnerAndBearsASecondLoss(t *testing.T) {
	s := calmSim(3)
	for range 3 {
		for range 10 {
			s.propose(s.elected(t))
			s.ticks(3)
		}
		s.compact(s.leader())
		s.loseDisk(s.follower())
		s.converge()
	}
}

// newLeader is member 1 of three, just elected in term 3 by member 2, with an
// entry of term 2 in its log. What it asks for is done, but no entry of its
// own term is acknowledged.
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
	n.Step(fromSecond(consensus.Message{Type: consensus.MsgPreVoteReply, Term: 3}))
	n.Step(fromSecond(consensus.Message{Type: consensus.MsgVoteReply, Term: 3}))
	if !n.IsLeader() {
		t.Fatal("not elected")
	}
	perform(n)
	return n
}

func fromSecond(m consensus.Message) consensus.Message {
	m.From, m.FromDisk, m.To, m.ToDisk = 2, "b", 1, "a"
	return m
}

// perform does all that a node asks for, and returns what it confirmed.
func perform(n *consensus.Node) []consensus.ConfirmResult {
	var confirmed []consensus.ConfirmResult
	for n.HasReady() {
		r := n.Ready()
		confirmed = append(confirmed, r.Confirmed...)
		n.Advance(r)
	}
	return confirmed
}

func TestNewLeaderWaitsForAnEntryOfItsTerm(t *testing.T) {
	n := newLeader(t)
	if err := n.Confirm(1); err != nil {
		t.Fatal(err)
	}
	n.Step(fromSecond(consensus.Message{Type: consensus.MsgHeartbeatReply, Term: 3, Round: 1}))
	n.Step(fromSecond(consensus.Message{Type: consensus.MsgAppendReply, Term: 3, Index: 2}))
	if got := perform(n); len(got) > 0 {
		t.Errorf("confirmed %v before an entry of the own term was committed", got)
	}
	if got := n.Status().CommitIndex; got != 1 {
		t.Errorf("an entry of an older term was committed by counting: %d", got)
	}
	_, _, err := n.ProposeMembershipChange(consensus.MembershipChange{Kind: consensus.Remove, Member: consensus.Member{ID: 3}})
	var refused *consensus.MembershipError
	if !errors.As(err, &refused) || refused.Reason != consensus.TermNotCommitted {
		t.Errorf("got %v, want %q", err, consensus.TermNotCommitted)
	}
	n.Step(fromSecond(consensus.Message{Type: consensus.MsgAppendReply, Term: 3, Index: 3}))
	n.Step(fromSecond(consensus.Message{Type: consensus.MsgHeartbeatReply, Term: 3, Round: 1}))
	if got := perform(n); len(got) != 1 || got[0].Index != 3 {
		t.Errorf("confirmed %v, want index 3", got)
	}
}

func TestRepliesFromAnotherDiskDoNotCount(t *testing.T) {
	n := newLeader(t)
	forged := fromSecond(consensus.Message{Type: consensus.MsgAppendReply, Term: 3, Index: 3})
	forged.FromDisk = "x"
	n.Step(forged)
	perform(n)
	if got := n.Status().CommitIndex; got != 1 {
		t.Errorf("committed %d with the acknowledgement of another disk", got)
	}
	hard, entries := consensus.BootstrapState(n.Membership())
	idle := consensus.New(consensus.Config{ID: 1, Disk: "a", HardState: hard, Entries: entries})
	forged.Type = consensus.MsgVote
	idle.Step(forged)
	if got := idle.Term(); got != hard.Term {
		t.Errorf("a candidate with another disk moved the term to %d", got)
	}
	misled := fromSecond(consensus.Message{Type: consensus.MsgHeartbeat, Term: 9})
	misled.ToDisk = "an older disk of this member"
	n.Step(misled)
	if got := n.Term(); got != 3 {
		t.Errorf("a message to another disk moved the term to %d", got)
	}
}

func TestMemberDeafToTheLeaderDoesNotDisturbIt(t *testing.T) {
	s := calmSim(3)
	l := s.elected(t)
	term := l.node.Term()
	deaf := s.follower()
	s.cut[[2]consensus.MemberID{l.id, deaf.id}] = true
	s.ticks(20 * simElectionTicks)
	for _, p := range s.processes {
		if p.node.Term() != term {
			t.Errorf("member %d is in term %d, was %d", p.id, p.node.Term(), term)
		}
	}
}

func TestLearnerWithTheLongestLogStandsInTheEnd(t *testing.T) {
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
		t.Errorf("a learner stands after %d ticks, want 4 election timeouts", waited)
	}
	fromThird := func(m consensus.Message) consensus.Message {
		m.From, m.FromDisk, m.To, m.ToDisk = 3, "c", 1, "a"
		return m
	}
	n.Step(fromSecond(consensus.Message{Type: consensus.MsgPreVoteReply, Term: 2}))
	if n.Status().Role != consensus.PreCandidate {
		t.Error("a learner's own vote counts")
	}
	n.Step(fromThird(consensus.Message{Type: consensus.MsgPreVoteReply, Term: 2}))
	n.Step(fromSecond(consensus.Message{Type: consensus.MsgVoteReply, Term: 2}))
	n.Step(fromThird(consensus.Message{Type: consensus.MsgVoteReply, Term: 2}))
	perform(n)
	n.Step(fromSecond(consensus.Message{Type: consensus.MsgAppendReply, Term: 2, Index: 2}))
	if !n.IsLeader() || n.Status().CommitIndex != 1 {
		t.Error("the learner doesn't lead, or commits with its own acknowledgement")
	}
	n.Step(fromThird(consensus.Message{Type: consensus.MsgAppendReply, Term: 2, Index: 2}))
	if n.IsLeader() || n.Status().CommitIndex != 2 {
		t.Error("the learner leads on after it committed what it held")
	}
}

func TestMembershipChangesAreRefused(t *testing.T) {
	s := calmSim(3)
	l := s.elected(t)
	s.ticks(20)
	learner := consensus.Member{ID: 4, Disk: "disk of 4"}
	if _, _, err := l.node.ProposeMembershipChange(consensus.MembershipChange{Kind: consensus.AddLearner, Member: learner}); err != nil {
		t.Fatal(err)
	}
	pending := []consensus.MembershipChange{{Kind: consensus.Remove, Member: learner}}
	s.processes = append(s.processes, &simProcess{id: 4, disk: &simDisk{id: "unused"}})
	cases := []struct {
		name    string
		changes []consensus.MembershipChange
		want    consensus.MembershipReason
	}{
		{"while another is pending", pending, consensus.ChangePending},
		{"an id in use", []consensus.MembershipChange{{Kind: consensus.AddLearner, Member: learner}}, consensus.MemberExists},
		{"without a disk", []consensus.MembershipChange{{Kind: consensus.AddLearner, Member: consensus.Member{ID: 5}}}, consensus.MemberIncomplete},
		{"a learner that lacks entries", []consensus.MembershipChange{{Kind: consensus.Promote, Member: learner}}, consensus.LearnerBehind},
		{"a voter", []consensus.MembershipChange{{Kind: consensus.Promote, Member: consensus.Member{ID: 1}}}, consensus.NoSuchLearner},
		{"an unknown member", []consensus.MembershipChange{{Kind: consensus.Remove, Member: consensus.Member{ID: 9}}}, consensus.NoSuchMember},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, change := range c.changes {
				_, _, err := l.node.ProposeMembershipChange(change)
				var refused *consensus.MembershipError
				if !errors.As(err, &refused) || refused.Reason != c.want {
					t.Errorf("got %v, want %q", err, c.want)
				}
			}
		})
		s.ticks(5)
	}
}

func TestRemovalThatLeavesNoMajorityIsRefused(t *testing.T) {
	s := calmSim(3)
	l := s.elected(t)
	silent := s.follower()
	s.crash(silent)
	s.ticks(3 * simElectionTicks)
	for _, p := range s.processes {
		if p == l || p == silent {
			continue
		}
		_, _, err := l.node.ProposeMembershipChange(consensus.MembershipChange{Kind: consensus.Remove, Member: consensus.Member{ID: p.id}})
		var refused *consensus.MembershipError
		if !errors.As(err, &refused) || refused.Reason != consensus.QuorumLost {
			t.Errorf("got %v, want %q", err, consensus.QuorumLost)
		}
	}
	if _, _, err := l.node.ProposeMembershipChange(consensus.MembershipChange{Kind: consensus.Remove, Member: consensus.Member{ID: silent.id}}); err != nil {
		t.Errorf("the silent member can't be removed: %v", err)
	}
}

func TestMessagesAreBounded(t *testing.T) {
	const appendBytes, chunkBytes, inflight = 100, 24, 3
	s := calmSim(3)
	l := s.elected(t)
	behind := s.follower()
	s.crash(behind)
	for range 50 {
		s.propose(l)
		s.tick()
	}
	s.ticks(5)
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
				t.Fatalf("an append of %d bytes, bound %d", m.Size(), appendBytes)
			}
			if m.Chunk == nil {
				continue
			}
			chunks++
			if len(m.Chunk.Data) > chunkBytes {
				t.Fatalf("a chunk of %d bytes, bound %d", len(m.Chunk.Data), chunkBytes)
			}
		}
		for id, k := range appends {
			if k > inflight {
				t.Fatalf("%d appends under way to %d, bound %d", k, id, inflight)
			}
		}
	}
	if chunks < 2 || behind.applied != l.applied {
		t.Errorf("%d chunks seen, applied %d of %d", chunks, behind.applied, l.applied)
	}
}

func TestConcurrentConfirmationsShareARound(t *testing.T) {
	const calls = 100
	s := calmSim(3)
	l := s.elected(t)
	s.ticks(10)
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
