package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/pb"
)

func entry(index, term uint64, data string) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Kind: consensus.EntryCommand, Data: []byte(data)}
}

func membership() consensus.Membership {
	return consensus.NewMembership(
		consensus.Member{ID: 1, Disk: "a", Name: "vm1", Addr: "127.0.0.1:1"},
		consensus.Member{ID: 2, Disk: "b", Learner: true},
	)
}

func open(t testing.TB, dir string) (*Store, State) {
	t.Helper()
	s, state, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, state
}

// crashCopy returns a copy of the folder as a crash now would leave it.
func crashCopy(t testing.TB, dir string) string {
	t.Helper()
	to := t.TempDir()
	data, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(to, fileName), data, fileMode); err != nil {
		t.Fatal(err)
	}
	return to
}

// fill writes a state with a snapshot and replaced entries, and returns it.
func fill(t testing.TB, s *Store) State {
	t.Helper()
	must := func(err error) {
		if err != nil {
			t.Helper()
			t.Fatal(err)
		}
	}
	_, err := s.Bootstrap(membership(), true)
	must(err)
	for i := uint64(2); i <= 200; i++ {
		must(s.Save(consensus.HardState{Term: 2, Vote: 1, Commit: i - 1}, []consensus.Entry{entry(i, 2, fmt.Sprint("old", i))}))
	}
	snap := consensus.Snapshot{Data: []byte("state as of 100")}
	snap.Index, snap.Term, snap.Membership = 100, 2, membership()
	must(s.SaveSnapshot(snap))
	hard := consensus.HardState{Term: 3, Vote: 2, Commit: 150}
	tail := []consensus.Entry{entry(160, 3, "new160"), entry(161, 3, "new161")}
	must(s.Save(hard, tail))
	first := membership()
	want := State{Disk: consensus.DiskID(s.manifest.GetDisk()), HardState: hard, Snapshot: snap, FirstMembership: &first}
	for i := uint64(101); i < 160; i++ {
		want.Entries = append(want.Entries, entry(i, 2, fmt.Sprint("old", i)))
	}
	want.Entries = append(want.Entries, tail...)
	return want
}

func TestStateSurvivesACrash(t *testing.T) {
	dir := t.TempDir()
	s, empty := open(t, dir)
	if empty.Initialized() || empty.Disk == "" {
		t.Errorf("a new folder has the state %+v", empty)
	}
	want := fill(t, s)
	if _, got := open(t, crashCopy(t, dir)); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	snap := consensus.Snapshot{Data: []byte("state as of 500")}
	snap.Index, snap.Term, snap.Membership = 500, 4, membership()
	if err := s.InstallSnapshot(consensus.HardState{Term: 4, Commit: 500}, snap); err != nil {
		t.Fatal(err)
	}
	_, got := open(t, crashCopy(t, dir))
	if got.Snapshot.Index != 500 || len(got.Entries) != 0 || got.Disk != want.Disk {
		t.Errorf("after an installed snapshot: %+v", got)
	}
}

func TestFoldersHaveDifferentIdentities(t *testing.T) {
	_, a := open(t, t.TempDir())
	_, b := open(t, t.TempDir())
	if a.Disk == b.Disk {
		t.Errorf("two folders have the identity %s", a.Disk)
	}
}

func TestFolderInUseIsRefused(t *testing.T) {
	dir := t.TempDir()
	open(t, dir)
	_, _, err := Open(dir)
	var inUse *OpenError
	if !errors.As(err, &inUse) {
		t.Errorf("got %v, want an OpenError", err)
	}
}

// TestDamageIsNeverSilent changes one bit, or cuts the file, at many places:
// the folder either opens with all it held or is refused as damaged.
func TestDamageIsNeverSilent(t *testing.T) {
	const flips, cuts = 1000, 100
	dir := t.TempDir()
	s, _ := open(t, dir)
	want := fill(t, s)
	whole, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, 2))
	refused := 0
	check := func(what string, data []byte) {
		got, err := readDamaged(t, data)
		var damaged *DamagedError
		switch {
		case errors.As(err, &damaged):
			refused++
		case err != nil:
			t.Errorf("%s: %v, want a DamagedError", what, err)
		case !reflect.DeepEqual(got, want):
			t.Errorf("%s: the folder opens with another state", what)
		}
	}
	flip := func(at, bit int) {
		data := append([]byte(nil), whole...)
		data[at] ^= 1 << bit
		check(fmt.Sprint("bit ", bit, " of byte ", at, " changed"), data)
	}
	for range flips {
		flip(random.IntN(len(whole)), random.IntN(8))
	}
	// A wrong count in a page's header once made a file seem empty.
	for page := 0; page < len(whole); page += os.Getpagesize() {
		for bit := range 8 * pageHeaderBytes {
			flip(page+bit/8, bit%8)
		}
	}
	for range cuts {
		length := 1 + random.IntN(len(whole)-1)
		check(fmt.Sprint("cut to ", length), whole[:length])
	}
	t.Logf("%d damaged files refused", refused)
	if refused == 0 {
		t.Error("no damage was noticed")
	}
}

// readDamaged does what Open does up to the copy of what it found, which would
// only sync a new file.
func readDamaged(t *testing.T, data []byte) (State, error) {
	path := filepath.Join(t.TempDir(), fileName)
	if err := os.WriteFile(path, data, fileMode); err != nil {
		t.Fatal(err)
	}
	found, err := readBolt(path)
	if err != nil {
		return State{}, err
	}
	s := &Store{path: path, engine: &boltEngine{found: found}, manifest: &pb.Manifest{}}
	return s.load()
}

func TestLostEntriesAreNoticed(t *testing.T) {
	cases := []struct {
		name string
		drop uint64
	}{{"first", 101}, {"middle", 130}, {"last", 161}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			s, _ := open(t, dir)
			fill(t, s)
			b := Batch{TruncateFrom: c.drop}
			for i := c.drop + 1; i <= 161; i++ {
				r, err := encodeEntry(entry(i, 3, "x"))
				if err != nil {
					t.Fatal(err)
				}
				b.Entries = append(b.Entries, Record{i, r})
			}
			if err := s.engine.Write(b); err != nil {
				t.Fatal(err)
			}
			_, _, err := Open(crashCopy(t, dir))
			var damaged *DamagedError
			if !errors.As(err, &damaged) {
				t.Errorf("got %v, want a DamagedError", err)
			}
		})
	}
}

// faultyEngine fails its writes with an error, before or after they are done.
type faultyEngine struct {
	Engine
	err    error
	after  bool
	writes int
}

func (f *faultyEngine) Write(b Batch) error {
	f.writes++
	if f.err == nil {
		return f.Engine.Write(b)
	}
	if f.after {
		_ = f.Engine.Write(b)
	}
	return f.err
}

func TestNothingIsWrittenAfterAFailure(t *testing.T) {
	cases := []struct {
		name  string
		err   error
		after bool
	}{
		{"full disk", syscall.ENOSPC, false},
		{"short write", syscall.EIO, false},
		{"failed sync", syscall.EIO, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			bolt, err := openBolt(dir)
			if err != nil {
				t.Fatal(err)
			}
			f := &faultyEngine{Engine: bolt}
			s, _, err := OpenWithEngine(dir, f)
			if err != nil {
				t.Fatal(err)
			}
			want := fill(t, s)
			f.err, f.after = c.err, c.after
			hard := consensus.HardState{Term: 9}
			err = s.Save(hard, []consensus.Entry{entry(162, 9, "x")})
			var failed *WriteError
			if !errors.As(err, &failed) || !errors.Is(err, c.err) {
				t.Errorf("got %v, want a FailedError of %v", err, c.err)
			}
			f.err, f.writes = nil, 0
			if err := s.Save(hard, nil); !errors.As(err, &failed) || f.writes > 0 {
				t.Errorf("after a failure: %v, %d writes; want a FailedError and none", err, f.writes)
			}
			_ = s.Close()
			_, got := open(t, dir)
			if got.HardState != want.HardState && (!c.after || got.HardState != hard) {
				t.Errorf("after a restart: %+v", got.HardState)
			}
		})
	}
}

func FuzzDecodeEntry(f *testing.F) {
	first := membership()
	for _, e := range []consensus.Entry{
		entry(1, 1, ""), entry(7, 3, "data"),
		{Index: 2, Term: 2},
		{Index: 3, Term: 2, Kind: consensus.EntryMembership, Membership: &first},
	} {
		r, err := encodeEntry(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(e.Index, r)
		f.Add(e.Index+1, r)
		f.Add(e.Index, r[:len(r)-1])
		// With a fitting checksum, so that the fuzzer gets past it.
		f.Add(e.Index, seal(indexKey(e.Index), append([]byte(nil), r[checksumBytes+1:]...)))
	}
	f.Fuzz(func(t *testing.T, index uint64, record []byte) {
		if len(record) >= checksumBytes {
			decodeEntry(index, seal(indexKey(index), record[checksumBytes:]))
		}
		e, ok := decodeEntry(index, record)
		if !ok {
			return
		}
		if e.Index != index {
			t.Fatalf("entry %d under the key %d", e.Index, index)
		}
		again, err := encodeEntry(e)
		if err != nil {
			t.Fatal(err)
		}
		if back, ok := decodeEntry(index, again); !ok || !reflect.DeepEqual(back, e) {
			t.Fatalf("%+v becomes %+v", e, back)
		}
	})
}
