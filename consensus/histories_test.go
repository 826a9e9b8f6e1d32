package consensus_test

import (
	"flag"
	"runtime"
	"sync"
	"testing"

	"github.com/peridotmux/peridotmux/consensus"
)

var (
	historyCount = flag.Int("histories", 300, "number of generated histories")
	historySeed  = flag.Uint64("history-seed", 1, "seed of the first history")
)

const (
	historySteps = 200
	// convergeTicks limits the time to convergence after all faults have ended.
	convergeTicks   = 4000
	noSyncHistories = 300
	noAgreement     = violation("group did not converge after all faults ended")
)

// pick returns a random process that is up or down, nil if there is none.
func (s *sim) pick(up bool) *simProcess {
	var found []*simProcess
	for _, p := range s.processes {
		if (p.node != nil) == up {
			found = append(found, p)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[s.random.IntN(len(found))]
}

func (s *sim) leader() *simProcess {
	var found *simProcess
	for _, p := range s.processes {
		if p.node != nil && p.node.IsLeader() && (found == nil || p.node.Term() > found.node.Term()) {
			found = p
		}
	}
	return found
}

// canLose reports whether every process's membership would keep a majority of
// intact disks if one is lost. It is false while any process is down.
func (s *sim) canLose(lost *simProcess) bool {
	for _, p := range s.processes {
		if p.node == nil {
			return false
		}
		m := p.node.Membership()
		whole := 0
		for _, x := range m.Members {
			if x.ID != lost.id && !x.Learner && s.processes[x.ID-1].disk.id == x.Disk {
				whole++
			}
		}
		if len(m.Members) > 0 && whole < m.Quorum() {
			return false
		}
	}
	return true
}

// repairStep does the next step of an operator's procedure after a disk loss:
// remove the member with the old disk, add it with the new disk as a learner,
// promote it.
func (s *sim) repairStep() {
	l := s.leader()
	if l == nil {
		return
	}
	m := l.node.Membership()
	for _, p := range s.processes {
		x, listed := m.Find(p.id)
		change := consensus.MembershipChange{Kind: consensus.Promote, Member: consensus.Member{ID: p.id, Disk: p.disk.id}}
		switch {
		case !listed:
			change.Kind = consensus.AddLearner
		case x.Disk != p.disk.id:
			change.Kind = consensus.Remove
		case !x.Learner:
			continue
		}
		if _, _, err := l.node.ProposeMembershipChange(change); err == nil {
			return
		}
	}
}

func (s *sim) removeRandom() {
	l := s.leader()
	if l == nil || l.node.Membership().VoterCount() <= 2 {
		return
	}
	p := s.processes[s.random.IntN(len(s.processes))]
	if !s.canLose(p) {
		return
	}
	_, _, _ = l.node.ProposeMembershipChange(consensus.MembershipChange{Kind: consensus.Remove, Member: consensus.Member{ID: p.id}})
}

// fault injects one random fault or repair.
func (s *sim) fault() {
	up, down := s.pick(true), s.pick(false)
	switch roll := s.random.IntN(100); {
	case roll < 6 && up != nil:
		s.crash(up)
	case roll < 20 && down != nil:
		s.start(down)
	case roll < 23 && up != nil && s.canLose(up):
		s.loseDisk(up)
	case roll < 28:
		from, to := s.random.IntN(len(s.processes)), s.random.IntN(len(s.processes))
		s.blocked[[2]consensus.MemberID{consensus.MemberID(from + 1), consensus.MemberID(to + 1)}] = true
	case roll < 32:
		s.isolate(consensus.MemberID(s.random.IntN(len(s.processes)) + 1))
	case roll < 40:
		clear(s.blocked)
	case roll < 52:
		s.repairStep()
	case roll < 54:
		s.removeRandom()
	case roll < 62 && up != nil:
		s.compact(up)
	}
}

func (s *sim) isolate(id consensus.MemberID) {
	for _, p := range s.processes {
		s.blocked[[2]consensus.MemberID{id, p.id}] = true
		s.blocked[[2]consensus.MemberID{p.id, id}] = true
	}
}

func (s *sim) step() {
	for _, p := range s.processes {
		if p.node == nil {
			continue
		}
		if p.node.IsLeader() && s.random.IntN(2) == 0 {
			s.propose(p)
		}
		if s.random.IntN(8) == 0 {
			s.confirm(p)
		}
	}
	for range 1 + s.random.IntN(6) {
		s.tick()
	}
}

// agreed reports whether all processes are voters with their current disks and
// have applied the same entries.
func (s *sim) agreed() bool {
	l := s.leader()
	if l == nil || l.applied < s.committed {
		return false
	}
	m := l.node.Membership()
	for _, p := range s.processes {
		if !m.Contains(p.id, p.disk.id) || !m.IsVoter(p.id) || p.applied != l.applied {
			return false
		}
	}
	return true
}

// converge ends all faults and checks that the group recovers without losing an
// acknowledged entry.
func (s *sim) converge() {
	s.faultless = true
	clear(s.blocked)
	for _, p := range s.processes {
		if p.node == nil {
			s.start(p)
		}
	}
	for i := 0; !s.agreed(); i++ {
		if i == convergeTicks {
			panic(noAgreement)
		}
		s.tick()
		if i%10 == 0 {
			s.repairStep()
		}
	}
	for index, k := range s.acked {
		if e, ok := s.committedEntries[index]; !ok || e.Term != k.term {
			violate("acknowledged entry %d is lost", index)
		}
	}
	want := string(s.commandsUpTo(s.leader().applied))
	for _, p := range s.processes {
		if string(p.commands) != want {
			violate("commands of member %d differ from the committed ones", p.id)
		}
	}
}

// runHistory runs the history of a seed and returns the violation, nil if there
// was none. With noSync, disks lose all writes in a crash.
func runHistory(seed uint64, noSync bool) (s *sim, broken any) {
	sizes := []int{1, 3, 3, 5, 5, 7}
	s = newSim(seed, sizes[seed%uint64(len(sizes))], noSync)
	defer func() { broken = recover() }()
	// Percentage of steps with a fault; it differs between histories.
	faults := []int{10, 30, 60, 100}[s.random.IntN(4)]
	for range historySteps {
		if s.chance(faults) {
			s.fault()
		}
		s.step()
	}
	s.converge()
	return s, nil
}

// TestGeneratedHistoriesAreSafe guards against violations of the protocol's
// safety: two leaders in a term, diverging logs, lost acknowledged entries, or
// confirmations that miss a committed entry. It runs random histories of
// crashes, partitions, lost disks, membership changes and compactions.
func TestGeneratedHistoriesAreSafe(t *testing.T) {
	seeds := make(chan uint64)
	var mu sync.Mutex
	var acked, confirmed, disks, leaders int
	var wg sync.WaitGroup
	for range max(1, runtime.GOMAXPROCS(0)/2) {
		wg.Go(func() {
			for seed := range seeds {
				s, broken := runHistory(seed, false)
				if broken != nil {
					t.Errorf("history %d: %v", seed, broken)
				}
				mu.Lock()
				acked += len(s.acked)
				confirmed += s.confirmed
				disks += s.diskCount - len(s.processes)
				leaders += len(s.leaderOfTerm)
				mu.Unlock()
			}
		})
	}
	for i := range *historyCount {
		seeds <- *historySeed + uint64(i)
	}
	close(seeds)
	wg.Wait()
	t.Logf("%d histories of %d steps: %d commands acknowledged, %d confirmations, %d disks lost, %d leaders",
		*historyCount, historySteps, acked, confirmed, disks, leaders)
	if acked == 0 || confirmed == 0 || (disks == 0 && *historyCount > 100) {
		t.Error("histories did not acknowledge, confirm or lose disks often enough")
	}
}

// TestHistoriesDetectMissingSync checks that the histories can detect a
// violation at all: on disks that ignore sync, a crash loses acknowledged state.
func TestHistoriesDetectMissingSync(t *testing.T) {
	for seed := range uint64(noSyncHistories) {
		if _, broken := runHistory(seed+1, true); broken != nil && broken != noAgreement {
			t.Logf("history %d: %v", seed+1, broken)
			return
		}
	}
	t.Errorf("no violation in %d histories on disks that lose synced data", noSyncHistories)
}
