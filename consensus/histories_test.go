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
	// convergeTicks bounds the time to agreement once all faults have ended.
	convergeTicks = 4000
	brokenTries   = 300
	noAgreement   = violation("no agreement, though all faults ended")
)

// alive returns a random process that is up or down, nil if there is none.
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

// mayLose tells whether each membership keeps a majority of whole disks.
func (s *sim) mayLose(lost *simProcess) bool {
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

// repair does one step of what an operator does about lost disks: remove the
// old one, add the new one as a learner, promote it.
func (s *sim) repair() {
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
	if !s.mayLose(p) {
		return
	}
	_, _, _ = l.node.ProposeMembershipChange(consensus.MembershipChange{Kind: consensus.Remove, Member: consensus.Member{ID: p.id}})
}

// fault makes one random event.
func (s *sim) fault() {
	up, down := s.pick(true), s.pick(false)
	switch dice := s.random.IntN(100); {
	case dice < 6 && up != nil:
		s.crash(up)
	case dice < 20 && down != nil:
		s.start(down)
	case dice < 23 && up != nil && s.mayLose(up):
		s.loseDisk(up)
	case dice < 28:
		from, to := s.random.IntN(len(s.processes)), s.random.IntN(len(s.processes))
		s.cut[[2]consensus.MemberID{consensus.MemberID(from + 1), consensus.MemberID(to + 1)}] = true
	case dice < 32:
		s.isolate(consensus.MemberID(s.random.IntN(len(s.processes)) + 1))
	case dice < 40:
		clear(s.cut)
	case dice < 52:
		s.repair()
	case dice < 54:
		s.removeRandom()
	case dice < 62 && up != nil:
		s.compact(up)
	}
}

func (s *sim) isolate(id consensus.MemberID) {
	for _, p := range s.processes {
		s.cut[[2]consensus.MemberID{id, p.id}] = true
		s.cut[[2]consensus.MemberID{p.id, id}] = true
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

// agreed tells whether all are voters with their disks and hold the same.
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

// converge ends all faults and checks that the group recovers with all that
// was acknowledged.
func (s *sim) converge() {
	s.calm = true
	clear(s.cut)
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
			s.repair()
		}
	}
	for index, k := range s.acked {
		if e, ok := s.ledger[index]; !ok || e.Term != k.term {
			violated("acknowledged entry %d is lost", index)
		}
	}
	want := string(s.commandsUpTo(s.leader().applied))
	for _, p := range s.processes {
		if string(p.commands) != want {
			violated("member %d holds other commands than were committed", p.id)
		}
	}
}

// runHistory returns what was violated, nil if nothing was.
func runHistory(seed uint64, noSync bool) (s *sim, broken any) {
	sizes := []int{1, 3, 3, 5, 5, 7}
	s = newSim(seed, sizes[seed%uint64(len(sizes))], noSync)
	defer func() { broken = recover() }()
	// Histories differ in how many steps bring a fault.
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
				disks += s.disks - len(s.processes)
				leaders += len(s.leaders)
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
		t.Error("the histories exercise too little")
	}
}

func TestHistoriesFindDroppedSync(t *testing.T) {
	for seed := range uint64(brokenTries) {
		if _, broken := runHistory(seed+1, true); broken != nil && broken != noAgreement {
			t.Logf("history %d: %v", seed+1, broken)
			return
		}
	}
	t.Errorf("%d histories on disks that lose synced data show no violation", brokenTries)
}
