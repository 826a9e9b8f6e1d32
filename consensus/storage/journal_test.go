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

func openAgain(t *testing.T, dir string) (*Store, State) {
	t.Helper()
	s, state, err := OpenJournal(dir)
	if err != nil {
		t.Fatal(err)
	}
	return s, state
}

func mustDo(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// filled returns a folder with entries 1 to n, written one by one.
func filled(t *testing.T, n uint64) string {
	t.Helper()
	dir := t.TempDir()
	s, _ := openAgain(t, dir)
	for i := uint64(1); i <= n; i++ {
		mustDo(t, s.Save(consensus.HardState{Term: 1, Vote: 2, Commit: i - 1}, []consensus.Entry{entry(i, 1, fmt.Sprint("command ", i))}))
	}
	mustDo(t, s.Close())
	return dir
}

func TestJournalHoldsWhatWasWritten(t *testing.T) {
	dir := filled(t, 5)
	s, state := openAgain(t, dir)
	if len(state.Entries) != 5 || state.HardState != (consensus.HardState{Term: 1, Vote: 2, Commit: 4}) || state.Disk == "" {
		t.Fatalf("%+v", state)
	}
	// Entries 4 and 5 are replaced, then all up to 3 are covered by a snapshot.
	mustDo(t, s.Save(consensus.HardState{Term: 2}, []consensus.Entry{entry(4, 2, "other")}))
	mustDo(t, s.SaveSnapshot(consensus.Snapshot{SnapshotMeta: consensus.SnapshotMeta{Index: 3, Term: 1}, Data: []byte("snapshot")}))
	mustDo(t, s.Close())
	s, again := openAgain(t, dir)
	defer func() { _ = s.Close() }()
	if again.Disk != state.Disk || len(again.Entries) != 1 || string(again.Entries[0].Data) != "other" || string(again.Snapshot.Data) != "snapshot" {
		t.Fatalf("%+v", again)
	}
}

// A frame that was cut short was never acknowledged: all before it is there,
// and the journal takes more.
func TestTornLastFrameIsDropped(t *testing.T) {
	dir := filled(t, 5)
	path := filepath.Join(dir, journalName)
	whole, err := os.ReadFile(path)
	mustDo(t, err)
	four := filled(t, 4)
	s, want := openAgain(t, four)
	mustDo(t, s.Close())
	shorter := len(whole) - 1
	for cut := shorter; ; cut-- {
		mustDo(t, os.WriteFile(path, whole[:cut], fileMode))
		s, state, err := OpenJournal(dir)
		mustDo(t, err)
		if len(state.Entries) == 3 {
			mustDo(t, s.Close())
			break
		}
		if !reflect.DeepEqual(state.Entries, want.Entries) {
			t.Fatalf("cut at %d of %d: %d entries", cut, len(whole), len(state.Entries))
		}
		mustDo(t, s.Save(consensus.HardState{Term: 1}, []consensus.Entry{entry(5, 1, "again")}))
		mustDo(t, s.Close())
		s, state = openAgain(t, dir)
		mustDo(t, s.Close())
		if len(state.Entries) != 5 || string(state.Entries[4].Data) != "again" {
			t.Fatalf("after a cut at %d: %d entries", cut, len(state.Entries))
		}
	}
}

// Damage before the last frame is never taken for a torn one.
func TestDamageInTheJournalIsNeverSilent(t *testing.T) {
	dir := filled(t, 6)
	path := filepath.Join(dir, journalName)
	whole, err := os.ReadFile(path)
	mustDo(t, err)
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
		mustDo(t, os.WriteFile(path, bad, fileMode))
		s, _, err := OpenJournal(dir)
		var damaged *DamagedError
		if !errors.As(err, &damaged) {
			if err == nil {
				_ = s.Close()
			}
			t.Fatalf("byte %d of %d changed: %v", at, len(whole), err)
		}
	}
}

// The file is written anew once most of it is outdated.
func TestJournalStaysSmall(t *testing.T) {
	dir := t.TempDir()
	s, _ := openAgain(t, dir)
	big := make([]byte, 256<<10)
	for i := uint64(1); i <= 200; i++ {
		e := entry(i, 1, "")
		e.Data = big
		mustDo(t, s.Save(consensus.HardState{Term: 1}, []consensus.Entry{e}))
		mustDo(t, s.SaveSnapshot(consensus.Snapshot{SnapshotMeta: consensus.SnapshotMeta{Index: i, Term: 1}, Data: []byte("s")}))
	}
	mustDo(t, s.Close())
	info, err := os.Stat(filepath.Join(dir, journalName))
	mustDo(t, err)
	if info.Size() > 2*compactBytes {
		t.Fatalf("%d bytes for next to nothing", info.Size())
	}
	s, state := openAgain(t, dir)
	defer func() { _ = s.Close() }()
	if state.Snapshot.Index != 200 || len(state.Entries) != 0 {
		t.Fatalf("snapshot %d, %d entries", state.Snapshot.Index, len(state.Entries))
	}
}

// Both engines hold the same after the same writes.
func TestJournalAgainstBolt(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 20 {
		dirs := []string{t.TempDir(), t.TempDir()}
		open := func(i int) (*Store, State) {
			f := Open
			if i == 1 {
				f = OpenJournal
			}
			s, state, err := f(dirs[i])
			mustDo(t, err)
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
				mustDo(t, s.Save(h, entries))
			}
			if last > snap && random.IntN(6) == 0 {
				snap += random.Uint64N(last-snap) + 1
				for _, s := range stores {
					mustDo(t, s.SaveSnapshot(consensus.Snapshot{SnapshotMeta: consensus.SnapshotMeta{Index: snap, Term: 1}, Data: []byte{1}}))
				}
			}
		}
		var states [2]State
		for i, s := range stores {
			mustDo(t, s.Close())
			s, states[i] = open(i)
			mustDo(t, s.Close())
			states[i].Disk = ""
		}
		if !reflect.DeepEqual(states[0], states[1]) {
			t.Fatalf("bolt %+v, journal %+v", states[0], states[1])
		}
	}
}
