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
	// FirstMembership is the membership that this member formed the group with, if it did.
	FirstMembership *consensus.Membership
}

// Initialized tells whether the member has any state of its group.
func (s State) Initialized() bool {
	return s.HardState.Term > 0 || len(s.Entries) > 0 || s.Snapshot.Index > 0
}

// Store writes a member's state. It isn't safe for use by several goroutines.
type Store struct {
	path     string
	engine   Engine
	manifest *pb.Manifest
	failed   error
}

// Open opens the data folder. A new folder gets a random identity.
func Open(dir string) (*Store, State, error) {
	e, err := openBolt(dir)
	if err != nil {
		return nil, State{}, err
	}
	return OpenWithEngine(dir, e)
}

// OpenWithEngine opens a store on an engine, and closes the engine if that fails.
func OpenWithEngine(path string, e Engine) (*Store, State, error) {
	s := &Store{path: path, engine: e, manifest: &pb.Manifest{}}
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
	if !unsealMessage([]byte(keyManifest), named[keyManifest], s.manifest) {
		return State{}, s.damaged("the manifest is unreadable", 0)
	}
	state := stateOf(s.manifest)
	if state.Snapshot.Index > 0 {
		data, ok := unseal([]byte(keySnapshot), named[keySnapshot])
		if !ok {
			return State{}, s.damaged("the snapshot is unreadable", 0)
		}
		state.Snapshot.Data = data
	}
	state.Entries, err = s.loadEntries(state.Snapshot.Index, records)
	if err != nil {
		return State{}, err
	}
	last := state.Snapshot.Index + uint64(len(state.Entries))
	if last != s.manifest.GetLast() {
		return State{}, s.damaged("the last entry is not the one that was written", s.manifest.GetLast())
	}
	return state, nil
}

func stateOf(m *pb.Manifest) State {
	state := State{
		Disk: consensus.DiskID(m.GetDisk()),
		HardState: consensus.HardState{
			Term: m.GetTerm(), Vote: consensus.MemberID(m.GetVote()), Commit: m.GetCommit(),
		},
	}
	if m.GetFirst() != nil {
		first := codec.MembershipFromPB(m.GetFirst())
		state.FirstMembership = &first
	}
	if m.GetSnapshot() != nil {
		state.Snapshot.SnapshotMeta = codec.SnapshotMetaFromPB(m.GetSnapshot())
	}
	return state
}

func (s *Store) create() (State, error) {
	raw := make([]byte, diskIDBytes)
	if _, err := rand.Read(raw); err != nil {
		return State{}, &OpenError{Path: s.path, Cause: err}
	}
	s.manifest.Disk = hex.EncodeToString(raw)
	if err := s.write(Batch{}); err != nil {
		return State{}, err
	}
	return stateOf(s.manifest), nil
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
	return &DamagedError{Path: s.path, Reason: what, Index: index}
}

// Bootstrap makes this store one of the first members of a new group. The
// member that forms the group gives formed, the others take its membership.
func (s *Store) Bootstrap(m consensus.Membership, formed bool) (State, error) {
	if s.manifest.GetLast() > 0 {
		return State{}, &NotEmptyError{Path: s.path}
	}
	if formed {
		s.manifest.First = codec.MembershipToPB(m)
	}
	hard, entries := consensus.BootstrapState(m)
	if err := s.Save(hard, entries); err != nil {
		return State{}, err
	}
	state := stateOf(s.manifest)
	state.Entries = entries
	return state, nil
}

// Save writes entries, in place of those from the first one's index on, and
// the hard state. It returns nil only once they are synced.
func (s *Store) Save(h consensus.HardState, entries []consensus.Entry) error {
	var b Batch
	for _, e := range entries {
		r, err := encodeEntry(e)
		if err != nil {
			return s.fail(err)
		}
		b.Entries = append(b.Entries, Record{Index: e.Index, Data: r})
	}
	if k := len(entries); k > 0 {
		if first := entries[0].Index; first <= s.manifest.GetLast() {
			b.TruncateFrom = first
		}
		s.manifest.Last = entries[k-1].Index
	}
	s.setHardState(h)
	return s.write(b)
}

func (s *Store) setHardState(h consensus.HardState) {
	s.manifest.Term, s.manifest.Vote, s.manifest.Commit = h.Term, uint64(h.Vote), h.Commit
}

// SaveSnapshot writes a snapshot that this member made, and drops the entries
// up to it.
func (s *Store) SaveSnapshot(snap consensus.Snapshot) error {
	b := s.snapshotBatch(snap)
	b.DropThrough = snap.Index
	return s.write(b)
}

// InstallSnapshot writes a snapshot that a leader sent, in place of all entries.
func (s *Store) InstallSnapshot(h consensus.HardState, snap consensus.Snapshot) error {
	b := s.snapshotBatch(snap)
	b.TruncateFrom = 1
	s.manifest.Last = snap.Index
	s.setHardState(h)
	return s.write(b)
}

func (s *Store) snapshotBatch(snap consensus.Snapshot) Batch {
	s.manifest.Snapshot = codec.SnapshotMetaToPB(snap.SnapshotMeta)
	return Batch{Named: map[string][]byte{keySnapshot: seal([]byte(keySnapshot), snap.Data)}}
}

// write writes a batch with the manifest.
func (s *Store) write(b Batch) error {
	if s.failed != nil {
		return s.failed
	}
	r, err := sealMessage([]byte(keyManifest), s.manifest)
	if err != nil {
		return s.fail(err)
	}
	if b.Named == nil {
		b.Named = make(map[string][]byte)
	}
	b.Named[keyManifest] = r
	if err := s.engine.Write(b); err != nil {
		return s.fail(err)
	}
	return nil
}

func (s *Store) fail(err error) error {
	if s.failed == nil {
		s.failed = &WriteError{Cause: err}
	}
	return s.failed
}

// Close closes the store.
func (s *Store) Close() error { return s.engine.Close() }
