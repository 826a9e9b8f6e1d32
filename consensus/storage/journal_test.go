package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/peridotmux/peridotmux/consensus"
)

func mustOpenJournal(t *testing.T, dir string) (*Store, State) {
	t.Helper()
	s, state, err := OpenJournal(dir)
	if err != nil {
		t.Fatal(err)
	}
	return s, state
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// newJournal returns a folder with a journal of entries 1 to n, each written in
// its own frame.
func newJournal(t *testing.T, n uint64) string {
	t.Helper()
	dir := t.TempDir()
	s, _ := mustOpenJournal(t, dir)
	for i := uint64(1); i <= n; i++ {
		must(t, s.Save(consensus.HardState{Term: 1, Vote: 2, Commit: i - 1}, []consensus.Entry{entry(i, 1, fmt.Sprint("command ", i))}))
	}
	must(t, s.Close())
	return dir
}

// A reopened journal must hold the identity, hard state, entries and snapshot that
// were written, also after entries were replaced or covered by a snapshot.
func TestJournalRestoresState(t *testing.T) {
	dir := newJournal(t, 5)
	s, state := mustOpenJournal(t, dir)
	if len(state.Entries) != 5 || state.HardState != (consensus.HardState{Term: 1, Vote: 2, Commit: 4}) || state.Disk == "" {
		t.Fatalf("%+v", state)
	}
	// Replace entries 4 and 5, then cover all up to 3 by a snapshot.
	must(t, s.Save(consensus.HardState{Term: 2}, []consensus.Entry{entry(4, 2, "other")}))
	must(t, s.SaveSnapshot(consensus.Snapshot{SnapshotMeta: consensus.SnapshotMeta{Index: 3, Term: 1}, Data: []byte("snapshot")}))
	must(t, s.Close())
	s, again := mustOpenJournal(t, dir)
	defer func() { _ = s.Close() }()
	if again.Disk != state.Disk || len(again.Entries) != 1 || string(again.Entries[0].Data) != "other" || string(again.Snapshot.Data) != "snapshot" {
		t.Fatalf("%+v", again)
	}
}

// A crash during a write leaves a torn last frame, which was never acknowledged.
// All frames before it must be kept, and the journal must accept further writes.
func TestTornLastFrameIsDropped(t *testing.T) {
	dir := newJournal(t, 5)
	path := filepath.Join(dir, journalFileName)
	whole, err := os.ReadFile(path)
	must(t, err)
	four := newJournal(t, 4)
	s, want := mustOpenJournal(t, four)
	must(t, s.Close())
	shorter := len(whole) - 1
	for cut := shorter; ; cut-- {
		must(t, os.WriteFile(path, whole[:cut], fileMode))
		s, state, err := OpenJournal(dir)
		must(t, err)
		if len(state.Entries) == 3 {
			must(t, s.Close())
			break
		}
		if !reflect.DeepEqual(state.Entries, want.Entries) {
			t.Fatalf("truncated at %d of %d bytes: %d entries", cut, len(whole), len(state.Entries))
		}
		must(t, s.Save(consensus.HardState{Term: 1}, []consensus.Entry{entry(5, 1, "again")}))
		must(t, s.Close())
		s, state = mustOpenJournal(t, dir)
		must(t, s.Close())
		if len(state.Entries) != 5 || string(state.Entries[4].Data) != "again" {
			t.Fatalf("write after truncation at %d bytes: %d entries", cut, len(state.Entries))
		}
	}
}

// Guards against silent data loss: damage before the last frame must not be
// mistaken for a torn last frame.
func TestJournalDamageIsAlwaysDetected(t *testing.T) {
	dir := newJournal(t, 6)
	path := filepath.Join(dir, journalFileName)
	whole, err := os.ReadFile(path)
	must(t, err)
	last := len(whole)
	for at := 0; at < len(whole); {
		last = at
		_, at = nextFrame(whole, at)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		at := random.IntN(last)
		bad := append([]byte(nil), whole...)
		bad[at] ^= 1 << random.IntN(8)
		must(t, os.WriteFile(path, bad, fileMode))
		s, _, err := OpenJournal(dir)
		var damaged *DamagedError
		if !errors.As(err, &damaged) {
			if err == nil {
				_ = s.Close()
			}
			t.Fatalf("byte %d of %d changed: got error %v, want a DamagedError", at, len(whole), err)
		}
	}
}

// Guards against unlimited growth: the file must be rewritten once most of it is
// outdated.
func TestJournalIsRewrittenWhenLarge(t *testing.T) {
	dir := t.TempDir()
	s, _ := mustOpenJournal(t, dir)
	big := make([]byte, 256<<10)
	for i := uint64(1); i <= 200; i++ {
		e := entry(i, 1, "")
		e.Data = big
		must(t, s.Save(consensus.HardState{Term: 1}, []consensus.Entry{e}))
		must(t, s.SaveSnapshot(consensus.Snapshot{SnapshotMeta: consensus.SnapshotMeta{Index: i, Term: 1}, Data: []byte("s")}))
	}
	must(t, s.Close())
	info, err := os.Stat(filepath.Join(dir, journalFileName))
	must(t, err)
	if info.Size() > 2*minRewriteBytes {
		t.Fatalf("journal of %d bytes with almost no live records", info.Size())
	}
	s, state := mustOpenJournal(t, dir)
	defer func() { _ = s.Close() }()
	if state.Snapshot.Index != 200 || len(state.Entries) != 0 {
		t.Fatalf("snapshot %d, %d entries", state.Snapshot.Index, len(state.Entries))
	}
}

// Guards against differences between the engines: after the same random writes,
// both must restore the same state.
func TestJournalMatchesBolt(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 20 {
		dirs := []string{t.TempDir(), t.TempDir()}
		open := func(i int) (*Store, State) {
			f := Open
			if i == 1 {
				f = OpenJournal
			}
			s, state, err := f(dirs[i])
			must(t, err)
			return s, state
		}
		var stores [2]*Store
		for i := range stores {
			stores[i], _ = open(i)
		}
		last, snap := uint64(0), uint64(0)
		for range 30 {
			from := snap + 1
			if last > snap {
				from += random.Uint64N(last - snap + 1)
			}
			var entries []consensus.Entry
			for i := from; i < from+random.Uint64N(4); i++ {
				entries = append(entries, entry(i, 1, fmt.Sprint(i, random.Int())))
				last = i
			}
			h := consensus.HardState{Term: random.Uint64N(9) + 1}
			for _, s := range stores {
				must(t, s.Save(h, entries))
			}
			if last > snap && random.IntN(6) == 0 {
				snap += random.Uint64N(last-snap) + 1
				for _, s := range stores {
					must(t, s.SaveSnapshot(consensus.Snapshot{SnapshotMeta: consensus.SnapshotMeta{Index: snap, Term: 1}, Data: []byte{1}}))
				}
			}
		}
		var states [2]State
		for i, s := range stores {
			must(t, s.Close())
			s, states[i] = open(i)
			must(t, s.Close())
			states[i].Disk = ""
		}
		if !reflect.DeepEqual(states[0], states[1]) {
			t.Fatalf("bolt %+v, journal %+v", states[0], states[1])
		}
	}
}
