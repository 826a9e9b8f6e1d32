package storage

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/codec"
	"github.com/peridotmux/peridotmux/consensus/pb"
)

const diskIDBytes = 16

// State is the state that a store held when it was opened.
type State struct {
	Disk      consensus.DiskID
	HardState consensus.HardState
	Snapshot  consensus.Snapshot
	Entries   []consensus.Entry
	// FirstMembership is the first membership if this member formed the group,
	// or nil.
	FirstMembership *consensus.Membership
}

// Initialized reports whether the data folder holds any state of a group.
func (s State) Initialized() bool {
	return s.HardState.Term > 0 || len(s.Entries) > 0 || s.Snapshot.Index > 0
}

// Store persists a member's state. It is not safe for concurrent use. After a
// failed write, all writes return the same *WriteError. If a write found no space and
// the engine can try it again, it returns a *NoSpaceError instead, and Retry must
// succeed before the next write.
type Store struct {
	path     string
	engine   Engine
	manifest *pb.Manifest
	writeErr error
	// unwritten means that the last write found no space.
	unwritten bool
}

// Open opens a data folder that is stored as a bbolt file, and returns the state
// in it. A new folder gets a random identity. Errors: *DamagedError, *OpenError,
// *WriteError.
func Open(dir string) (*Store, State, error) {
	e, err := openBolt(dir)
	if err != nil {
		return nil, State{}, err
	}
	return OpenWithEngine(dir, e)
}

// OpenWithEngine opens a store on an engine. It closes the engine on failure.
// path is for error messages only.
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
			return State{}, s.damagedError("entries without a manifest", records[0].Index)
		}
		return s.createManifest()
	}
	if !unmarshalRecord([]byte(keyManifest), named[keyManifest], s.manifest) {
		return State{}, s.damagedError("the manifest is unreadable", 0)
	}
	state := stateFromManifest(s.manifest)
	if state.Snapshot.Index > 0 {
		data, ok := stripChecksum([]byte(keySnapshot), named[keySnapshot])
		if !ok {
			return State{}, s.damagedError("the snapshot is unreadable", 0)
		}
		state.Snapshot.Data = data
	}
	state.Entries, err = s.loadEntries(state.Snapshot.Index, records)
	if err != nil {
		return State{}, err
	}
	last := state.Snapshot.Index + uint64(len(state.Entries))
	if last != s.manifest.GetLast() {
		return State{}, s.damagedError("the last entry does not match the manifest", s.manifest.GetLast())
	}
	return state, nil
}

func stateFromManifest(m *pb.Manifest) State {
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

// createManifest persists a random identity for a new data folder.
func (s *Store) createManifest() (State, error) {
	raw := make([]byte, diskIDBytes)
	if _, err := rand.Read(raw); err != nil {
		return State{}, &OpenError{Path: s.path, Cause: err}
	}
	s.manifest.Disk = hex.EncodeToString(raw)
	if err := s.write(Batch{}); err != nil {
		return State{}, err
	}
	return stateFromManifest(s.manifest), nil
}

// loadEntries returns the entries after the snapshot, or a *DamagedError if one is
// unreadable or missing.
func (s *Store) loadEntries(after uint64, records []Record) ([]consensus.Entry, error) {
	var entries []consensus.Entry
	next := after + 1
	for _, r := range records {
		if r.Index <= after {
			continue
		}
		e, ok := decodeEntry(r.Index, r.Data)
		if !ok {
			return nil, s.damagedError("the entry is unreadable", r.Index)
		}
		if r.Index != next {
			return nil, s.damagedError("an entry is missing", next)
		}
		entries = append(entries, e)
		next++
	}
	return entries, nil
}

func (s *Store) damagedError(what string, index uint64) error {
	return &DamagedError{Path: s.path, Reason: what, Index: index}
}

// Bootstrap persists the initial state of a new group's member, and returns it.
// formed is true on the member that forms the group; the others use the
// membership of that member. Errors: *NotEmptyError, *WriteError.
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
	state := stateFromManifest(s.manifest)
	state.Entries = entries
	return state, nil
}

// Save writes the hard state and entries, which replace all entries from the first
// one's index on. It returns nil only once they are synced.
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

// SaveSnapshot writes a snapshot that this member took, and removes the entries up
// to and including its index.
func (s *Store) SaveSnapshot(snap consensus.Snapshot) error {
	b := s.snapshotBatch(snap)
	b.DropThrough = snap.Index
	return s.write(b)
}

// InstallSnapshot writes a snapshot received from a leader, and removes all
// entries.
func (s *Store) InstallSnapshot(h consensus.HardState, snap consensus.Snapshot) error {
	b := s.snapshotBatch(snap)
	b.TruncateFrom = 1
	s.manifest.Last = snap.Index
	s.setHardState(h)
	return s.write(b)
}

func (s *Store) snapshotBatch(snap consensus.Snapshot) Batch {
	s.manifest.Snapshot = codec.SnapshotMetaToPB(snap.SnapshotMeta)
	return Batch{Named: map[string][]byte{keySnapshot: addChecksum([]byte(keySnapshot), snap.Data)}}
}

// write writes a batch together with the manifest.
func (s *Store) write(b Batch) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	r, err := marshalRecord([]byte(keyManifest), s.manifest)
	if err != nil {
		return s.fail(err)
	}
	if b.Named == nil {
		b.Named = make(map[string][]byte)
	}
	b.Named[keyManifest] = r
	if s.unwritten {
		return s.fail(&NoSpaceError{})
	}
	return s.finishWrite(s.engine.Write(b))
}

// Retry tries the write that returned a *NoSpaceError again. Errors as of that write.
func (s *Store) Retry() error {
	engine, ok := s.engine.(RetryEngine)
	if s.writeErr != nil || !ok || !s.unwritten {
		return s.writeErr
	}
	return s.finishWrite(engine.Retry())
}

// finishWrite returns the error of a write by the engine as one of the store.
func (s *Store) finishWrite(err error) error {
	_, canRetry := s.engine.(RetryEngine)
	s.unwritten = err != nil && canRetry && isNoSpace(err)
	switch {
	case err == nil:
		return nil
	case s.unwritten:
		return &NoSpaceError{Cause: err}
	default:
		return s.fail(err)
	}
}

// fail records the first write error and returns it.
func (s *Store) fail(err error) error {
	if s.writeErr == nil {
		s.writeErr = &WriteError{Cause: err}
	}
	return s.writeErr
}

// Close closes the files of the store and releases the lock on the folder.
func (s *Store) Close() error { return s.engine.Close() }
