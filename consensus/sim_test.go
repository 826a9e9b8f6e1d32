package consensus_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/peridotmux/peridotmux/consensus"
)

const (
	simElectionTicks  = 10
	simHeartbeatTicks = 2
	simTrailing       = 3
	commandBytes      = 4
)

// violation is what a simulation panics with if a rule is broken.
type violation string

func violated(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }

// simDisk is a data folder: what was written, and what of it a crash leaves.
type simDisk struct {
	id              consensus.DiskID
	hard            consensus.HardState
	snapshot        consensus.Snapshot
	entries         []consensus.Entry
	syncedHard      consensus.HardState
	syncedSnapshot  consensus.Snapshot
	syncedEntries   []consensus.Entry
	ignoresSyncCall bool
}

func (d *simDisk) write(r consensus.Ready) {
	d.hard = r.HardState
	if r.Snapshot != nil {
		d.snapshot, d.entries = *r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		keep := slices.IndexFunc(d.entries, func(e consensus.Entry) bool { return e.Index >= r.Entries[0].Index })
		if keep >= 0 {
			d.entries = d.entries[:keep:keep]
		}
		d.entries = append(d.entries[:len(d.entries):len(d.entries)], r.Entries...)
	}
}

func (d *simDisk) sync() {
	if d.ignoresSyncCall {
		return
	}
	d.syncedHard, d.syncedSnapshot, d.syncedEntries = d.hard, d.snapshot, d.entries
}

func (d *simDisk) crash() {
	d.hard, d.snapshot, d.entries = d.syncedHard, d.syncedSnapshot, d.syncedEntries
}

// simProcess is a member's process; its node is nil while it is down.
type simProcess struct {
	id       consensus.MemberID
	disk     *simDisk
	node     *consensus.Node
	commands []byte
	applied  uint64
	term     uint64
	asked    map[uint64]uint64
}

type simMessage struct {
	consensus.Message
	due int
}

type logKey struct{ index, term uint64 }

type logValue struct {
	prevTerm uint64
	content  string
}

// sim is a group under virtual time.
type sim struct {
	random    *rand.Rand
	now       int
	processes []*simProcess
	network   []simMessage
	cut       map[[2]consensus.MemberID]bool
	calm      bool
	noSync    bool
	disks     int
	requests  uint64
	proposed  uint32

	leaders   map[uint64]consensus.MemberID
	logs      map[logKey]logValue
	ledger    map[uint64]consensus.Entry
	committed uint64
	acked     map[uint64]logKey
	waits     map[logKey]bool
	confirmed int
}

func newSim(seed uint64, n int, noSync bool) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 1)), noSync: noSync,
		cut: map[[2]consensus.MemberID]bool{}, leaders: map[uint64]consensus.MemberID{},
		logs: map[logKey]logValue{}, ledger: map[uint64]consensus.Entry{},
		acked: map[uint64]logKey{}, waits: map[logKey]bool{},
	}
	var members []consensus.Member
	for i := range n {
		id := consensus.MemberID(i + 1)
		p := &simProcess{id: id, disk: s.newDisk()}
		s.processes = append(s.processes, p)
		members = append(members, consensus.Member{ID: id, Disk: p.disk.id})
	}
	hard, entries := consensus.BootstrapState(consensus.NewMembership(members...))
	for _, p := range s.processes {
		p.disk.syncedHard, p.disk.syncedEntries = hard, entries
		s.start(p)
	}
	return s
}

func (s *sim) newDisk() *simDisk {
	s.disks++
	return &simDisk{id: consensus.DiskID(fmt.Sprint("disk", s.disks)), ignoresSyncCall: s.noSync}
}

func (s *sim) start(p *simProcess) {
	p.disk.crash()
	d := p.disk
	p.commands = slices.Clone(d.snapshot.Data)
	p.applied, p.term = d.snapshot.Index, d.snapshot.Term
	p.asked = map[uint64]uint64{}
	p.node = consensus.New(consensus.Config{
		ID: p.id, Disk: d.id, ElectionTicks: simElectionTicks, HeartbeatTicks: simHeartbeatTicks,
		MaxAppendBytes: 100, MaxInflight: 3, SnapshotChunkBytes: 24,
		Random:    rand.New(rand.NewPCG(s.random.Uint64(), 2)),
		HardState: d.hard, Snapshot: d.snapshot, Entries: d.entries,
	})
}

func (s *sim) crash(p *simProcess) {
	p.node = nil
	p.disk.crash()
}

func (s *sim) loseDisk(p *simProcess) {
	s.crash(p)
	p.disk = s.newDisk()
}

func (s *sim) chance(percent int) bool { return !s.calm && s.random.IntN(100) < percent }

func (s *sim) send(m consensus.Message) {
	if s.cut[[2]consensus.MemberID{m.From, m.To}] || s.chance(2) {
		return
	}
	copies := 1
	if s.chance(3) {
		copies = 2
	}
	for range copies {
		delay := 1
		if !s.calm {
			delay += s.random.IntN(3)
		}
		if s.chance(3) {
			delay += s.random.IntN(40)
		}
		s.network = append(s.network, simMessage{m, s.now + delay})
	}
}

// tick lets one unit of virtual time pass.
func (s *sim) tick() {
	s.now++
	var due []consensus.Message
	s.network = slices.DeleteFunc(s.network, func(m simMessage) bool {
		if m.due <= s.now {
			due = append(due, m.Message)
		}
		return m.due <= s.now
	})
	if !s.calm {
		s.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	}
	for _, m := range due {
		p := s.processes[m.To-1]
		if p.node != nil && !s.cut[[2]consensus.MemberID{m.From, m.To}] {
			p.node.Step(m)
			if s.chance(70) {
				s.work(p)
			}
		}
	}
	for _, p := range s.processes {
		if p.node != nil && !s.chance(5) {
			p.node.Tick()
		}
		s.work(p)
	}
}

// work does what a node asks for; a crash may come before or after the sync.
func (s *sim) work(p *simProcess) {
	for p.node != nil && p.node.HasReady() {
		s.note(p)
		r := p.node.Ready()
		p.disk.write(r)
		if s.random.IntN(2000) == 0 && !s.calm {
			s.crash(p)
			return
		}
		if r.MustSync {
			p.disk.sync()
		}
		s.checkEntries(p, r.Entries)
		if s.random.IntN(2000) == 0 && !s.calm {
			s.crash(p)
			return
		}
		s.restore(p, r.Snapshot)
		for _, m := range r.Messages {
			s.send(m)
		}
		s.apply(p, r.Committed)
		p.node.Advance(r)
		s.checkConfirmed(p, r.Confirmed)
	}
}

// note checks that a term has one leader, and notes what is committed.
func (s *sim) note(p *simProcess) {
	st := p.node.Status()
	s.committed = max(s.committed, st.CommitIndex)
	if st.Role != consensus.Leader {
		return
	}
	if l, ok := s.leaders[st.Term]; ok && l != p.id {
		violated("term %d has the leaders %d and %d", st.Term, l, p.id)
	}
	s.leaders[st.Term] = p.id
}

// checkEntries checks log matching: an index and a term name one entry, and
// one entry before it.
func (s *sim) checkEntries(p *simProcess, entries []consensus.Entry) {
	for _, e := range entries {
		v := logValue{content: fmt.Sprint(e.Kind, string(e.Data), e.Membership)}
		if i := slices.IndexFunc(p.disk.entries, func(x consensus.Entry) bool { return x.Index == e.Index-1 }); i >= 0 {
			v.prevTerm = p.disk.entries[i].Term
		} else if p.disk.snapshot.Index == e.Index-1 {
			v.prevTerm = p.disk.snapshot.Term
		}
		k := logKey{e.Index, e.Term}
		if old, ok := s.logs[k]; ok && old != v {
			violated("entry %v differs at member %d: %v and %v", k, p.id, old, v)
		}
		s.logs[k] = v
	}
}

func (s *sim) apply(p *simProcess, entries []consensus.Entry) {
	for _, e := range entries {
		if e.Index != p.applied+1 {
			violated("member %d applies %d after %d", p.id, e.Index, p.applied)
		}
		old, ok := s.ledger[e.Index]
		if ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
			violated("committed entry %d changed from term %d to %d", e.Index, old.Term, e.Term)
		}
		s.ledger[e.Index] = e
		k := logKey{e.Index, e.Term}
		if s.waits[k] {
			s.acked[e.Index] = k
		}
		if e.Kind == consensus.EntryCommand {
			p.commands = append(p.commands, e.Data...)
		}
		p.applied, p.term = e.Index, e.Term
	}
}

func (s *sim) restore(p *simProcess, snap *consensus.Snapshot) {
	if snap == nil {
		return
	}
	if snap.Index <= p.applied {
		violated("member %d goes back from %d to %d", p.id, p.applied, snap.Index)
	}
	if want := s.commandsUpTo(snap.Index); string(want) != string(snap.Data) {
		violated("the snapshot of %d at member %d differs from what was committed", snap.Index, p.id)
	}
	p.commands = slices.Clone(snap.Data)
	p.applied, p.term = snap.Index, snap.Term
}

func (s *sim) commandsUpTo(index uint64) []byte {
	var out []byte
	for i := uint64(1); i <= index; i++ {
		if e := s.ledger[i]; e.Kind == consensus.EntryCommand {
			out = append(out, e.Data...)
		}
	}
	return out
}

func (s *sim) propose(p *simProcess) {
	s.proposed++
	data := binary.BigEndian.AppendUint32(nil, s.proposed)
	if index, term, err := p.node.Propose(data); err == nil {
		s.waits[logKey{index, term}] = true
	}
}

func (s *sim) confirm(p *simProcess) {
	for _, x := range s.processes {
		if x.node != nil {
			s.committed = max(s.committed, x.node.Status().CommitIndex)
		}
	}
	s.requests++
	if p.node.Confirm(s.requests) == nil {
		p.asked[s.requests] = s.committed
	}
}

func (s *sim) checkConfirmed(p *simProcess, done []consensus.ConfirmResult) {
	for _, d := range done {
		want, ok := p.asked[d.Request]
		delete(p.asked, d.Request)
		if !ok || d.Lost {
			continue
		}
		s.confirmed++
		if d.Index < want {
			violated("member %d was confirmed %d, but %d was committed before it asked", p.id, d.Index, want)
		}
	}
}

func (s *sim) compact(p *simProcess) {
	if p.applied <= p.disk.snapshot.Index {
		return
	}
	snap := consensus.Snapshot{Data: slices.Clone(p.commands)}
	snap.Index, snap.Term, snap.Membership = p.applied, p.term, p.node.MembershipAt(p.applied)
	p.disk.snapshot = snap
	p.disk.entries = slices.DeleteFunc(slices.Clone(p.disk.entries), func(e consensus.Entry) bool { return e.Index <= snap.Index })
	p.disk.sync()
	p.node.Compact(snap, snap.Index-min(snap.Index, simTrailing))
}
