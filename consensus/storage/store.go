package storage

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/codec"
	"github.com/peridotmux/peridotmux/consensus/pb"
)

const diskIDBytes = 16

// State is what a store held when it was opened.
type State struct {
	Disk      consensus.DiskID
	HardState consensus.HardState
	Snapshot  consensus.Snapshot
	Entries   []consensus.Entry
	// First is the membership that this member formed the group with, if it did.
	First *consensus.Membership
}

// Initialized tells whether the member has any state of its group.
func (s State) Initialized() bool {
	return s.HardState.Term > 0 || len(s.Entries) > 0 || s.Snapshot.Index > 0
}

// Store writes a member's state. It isn't safe for use by several goroutines.
type Store struct {
	path   string
	engine Engine
	last   uint64
	failed error
}

// Open opens the data folder. A new folder gets a random identity.
func Open(dir string) (*Store, State, error) {
	e, err := openBolt(dir)
	if err != nil {
		return nil, State{}, err
	}
	return OpenEngine(dir, e)
}

// OpenEngine opens a store on an engine, and closes the engine if that fails.
func OpenEngine(path string, e Engine) (*Store, State, error) {
	s := &Store{path: path, engine: e}
	state, err := s.load()
	if err != nil {
		_ = e.Close()
		return nil, State{}, err
	}
	return s, state, nil
}

func (s *Store) load() (State, error) {
	named, records, err := s.engine.Load()
	if err != nil {
		return State{}, err
	}
	if len(named) == 0 {
		if len(records) > 0 {
			return State{}, s.damaged("there are entries without an identity", records[0].Index)
		}
		return s.create()
	}
	state, err := s.loadNamed(named)
	if err != nil {
		return State{}, err
	}
	state.Entries, err = s.loadEntries(state.Snapshot.Index, records)
	if err != nil {
		return State{}, err
	}
	s.last = state.Snapshot.Index + uint64(len(state.Entries))
	if state.HardState.Commit > s.last {
		return State{}, s.damaged("committed entries are missing", state.HardState.Commit)
	}
	return state, nil
}

func (s *Store) create() (State, error) {
	raw := make([]byte, diskIDBytes)
	if _, err := rand.Read(raw); err != nil {
		return State{}, &OpenError{Path: s.path, Cause: err}
	}
	id := hex.EncodeToString(raw)
	b := Batch{Named: map[string][]byte{keyDisk: seal([]byte(keyDisk), []byte(id))}}
	if err := s.write(b); err != nil {
		return State{}, err
	}
	return State{Disk: consensus.DiskID(id)}, nil
}

func (s *Store) loadNamed(named map[string][]byte) (State, error) {
	var state State
	disk, ok := unseal([]byte(keyDisk), named[keyDisk])
	if !ok {
		return state, s.damaged("the identity is unreadable", 0)
	}
	state.Disk = consensus.DiskID(disk)
	if r, ok := named[keyHardState]; ok {
		m := &pb.HardState{}
		if !unsealMessage([]byte(keyHardState), r, m) {
			return state, s.damaged("the hard state is unreadable", 0)
		}
		state.HardState = consensus.HardState{
			Term: m.GetTerm(), Vote: consensus.MemberID(m.GetVote()), Commit: m.GetCommit(),
		}
	}
	if r, ok := named[keyFirst]; ok {
		m := &pb.Membership{}
		if !unsealMessage([]byte(keyFirst), r, m) {
			return state, s.damaged("the first membership is unreadable", 0)
		}
		first := codec.MembershipFromPB(m)
		state.First = &first
	}
	if r, ok := named[keySnapshotMeta]; ok {
		m := &pb.SnapshotMeta{}
		data, dataOK := unseal([]byte(keySnapshotData), named[keySnapshotData])
		if !dataOK || !unsealMessage([]byte(keySnapshotMeta), r, m) {
			return state, s.damaged("the snapshot is unreadable", 0)
		}
		state.Snapshot = consensus.Snapshot{SnapshotMeta: codec.MetaFromPB(m), Data: data}
	}
	return state, nil
}

// loadEntries returns the entries after the snapshot.
func (s *Store) loadEntries(after uint64, records []Record) ([]consensus.Entry, error) {
	var entries []consensus.Entry
	next := after + 1
	for _, r := range records {
		if r.Index <= after {
			continue
		}
		e, ok := decodeEntry(r.Index, r.Data)
		if !ok {
			return nil, s.damaged("the entry is unreadable", r.Index)
		}
		if r.Index != next {
			return nil, s.damaged("an entry is missing", next)
		}
		entries = append(entries, e)
		next++
	}
	return entries, nil
}

func (s *Store) damaged(what string, index uint64) error {
	return &DamagedError{Path: s.path, What: what, Index: index}
}

// Bootstrap makes this store one of the first members of a new group. The
// member that forms the group gives formed, the others take its membership.
func (s *Store) Bootstrap(m consensus.Membership, formed bool) (State, error) {
	if s.last > 0 {
		return State{}, &NotEmptyError{Path: s.path}
	}
	hard, entries := consensus.Bootstrapped(m)
	b, err := entryBatch(hard, entries)
	if err != nil {
		return State{}, err
	}
	if formed {
		r, err := sealMessage([]byte(keyFirst), codec.MembershipToPB(m))
		if err != nil {
			return State{}, err
		}
		b.Named[keyFirst] = r
	}
	if err := s.write(b); err != nil {
		return State{}, err
	}
	return s.load()
}

// Save writes entries, in place of those from the first one's index on, and
// the hard state. It returns nil only once they are synced.
func (s *Store) Save(h consensus.HardState, entries []consensus.Entry) error {
	b, err := entryBatch(h, entries)
	if err != nil {
		return s.fail(err)
	}
	if len(entries) > 0 {
		if first := entries[0].Index; first <= s.last {
			b.CutFrom = first
		}
	}
	if err := s.write(b); err != nil {
		return err
	}
	if k := len(entries); k > 0 {
		s.last = entries[k-1].Index
	}
	return nil
}

func entryBatch(h consensus.HardState, entries []consensus.Entry) (Batch, error) {
	r, err := sealMessage([]byte(keyHardState), &pb.HardState{Term: h.Term, Vote: uint64(h.Vote), Commit: h.Commit})
	if err != nil {
		return Batch{}, err
	}
	b := Batch{Named: map[string][]byte{keyHardState: r}}
	for _, e := range entries {
		r, err := encodeEntry(e)
		if err != nil {
			return Batch{}, err
		}
		b.Entries = append(b.Entries, Record{Index: e.Index, Data: r})
	}
	return b, nil
}

// SaveSnapshot writes a snapshot that this member made, and drops the entries
// up to it.
func (s *Store) SaveSnapshot(snap consensus.Snapshot) error {
	b, err := snapshotBatch(snap)
	if err != nil {
		return s.fail(err)
	}
	b.DropTo = snap.Index
	return s.write(b)
}

// Install writes a snapshot that a leader sent, in place of all entries.
func (s *Store) Install(h consensus.HardState, snap consensus.Snapshot) error {
	b, err := snapshotBatch(snap)
	if err != nil {
		return s.fail(err)
	}
	hard, err := entryBatch(h, nil)
	if err != nil {
		return s.fail(err)
	}
	b.Named[keyHardState] = hard.Named[keyHardState]
	b.CutFrom = 1
	if err := s.write(b); err != nil {
		return err
	}
	s.last = snap.Index
	return nil
}

func snapshotBatch(snap consensus.Snapshot) (Batch, error) {
	meta, err := sealMessage([]byte(keySnapshotMeta), codec.MetaToPB(snap.SnapshotMeta))
	if err != nil {
		return Batch{}, err
	}
	data := seal([]byte(keySnapshotData), snap.Data)
	return Batch{Named: map[string][]byte{keySnapshotMeta: meta, keySnapshotData: data}}, nil
}

func (s *Store) write(b Batch) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.engine.Write(b); err != nil {
		return s.fail(err)
	}
	return nil
}

func (s *Store) fail(err error) error {
	if s.failed == nil {
		s.failed = &FailedError{Cause: err}
	}
	return s.failed
}

// Close closes the store.
func (s *Store) Close() error { return s.engine.Close() }
