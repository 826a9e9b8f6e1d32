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

// copyAfterCrash returns a copy of the folder in the state that a crash at this
// time would leave.
func copyAfterCrash(t testing.TB, dir string) string {
	t.Helper()
	to := t.TempDir()
	data, err := os.ReadFile(filepath.Join(dir, boltFileName))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(to, boltFileName), data, fileMode); err != nil {
		t.Fatal(err)
	}
	return to
}

// fill writes a state that includes a snapshot and replaced entries, and returns
// it.
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

// Guards against acknowledged state that is lost in a crash: the file is copied
// without closing the store, after its own and after an installed snapshot.
func TestStateSurvivesACrash(t *testing.T) {
	dir := t.TempDir()
	s, empty := open(t, dir)
	if empty.Initialized() || empty.Disk == "" {
		t.Errorf("new folder has state %+v", empty)
	}
	want := fill(t, s)
	if _, got := open(t, copyAfterCrash(t, dir)); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	snap := consensus.Snapshot{Data: []byte("state as of 500")}
	snap.Index, snap.Term, snap.Membership = 500, 4, membership()
	if err := s.InstallSnapshot(consensus.HardState{Term: 4, Commit: 500}, snap); err != nil {
		t.Fatal(err)
	}
	_, got := open(t, copyAfterCrash(t, dir))
	if got.Snapshot.Index != 500 || len(got.Entries) != 0 || got.Disk != want.Disk {
		t.Errorf("after an installed snapshot: %+v", got)
	}
}

func TestFoldersHaveDifferentIdentities(t *testing.T) {
	_, a := open(t, t.TempDir())
	_, b := open(t, t.TempDir())
	if a.Disk == b.Disk {
		t.Errorf("two folders have the same identity %s", a.Disk)
	}
}

// Guards against two processes writing to the same data folder.
func TestFolderInUseIsRejected(t *testing.T) {
	dir := t.TempDir()
	open(t, dir)
	_, _, err := Open(dir)
	var inUse *OpenError
	if !errors.As(err, &inUse) {
		t.Errorf("got %v, want an OpenError", err)
	}
}

// TestDamagedFileIsNeverMisread changes one bit of the file, or truncates it, in
// many places. The folder must either open with its whole state or be rejected as
// damaged.
func TestDamagedFileIsNeverMisread(t *testing.T) {
	const flips, cuts = 1000, 100
	dir := t.TempDir()
	s, _ := open(t, dir)
	want := fill(t, s)
	whole, err := os.ReadFile(filepath.Join(dir, boltFileName))
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, 2))
	rejected := 0
	check := func(what string, data []byte) {
		got, err := readDamaged(t, data)
		var damaged *DamagedError
		switch {
		case errors.As(err, &damaged):
			rejected++
		case err != nil:
			t.Errorf("%s: %v, want a DamagedError", what, err)
		case !reflect.DeepEqual(got, want):
			t.Errorf("%s: folder opened with another state", what)
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
	// A wrong count in a page's header can make a file appear empty.
	for page := 0; page < len(whole); page += os.Getpagesize() {
		for bit := range 8 * pageHeaderBytes {
			flip(page+bit/8, bit%8)
		}
	}
	for range cuts {
		length := 1 + random.IntN(len(whole)-1)
		check(fmt.Sprint("truncated to ", length), whole[:length])
	}
	t.Logf("%d damaged files rejected", rejected)
	if rejected == 0 {
		t.Error("no damage was detected")
	}
}

// readDamaged does the same as Open, without copying the contents to a new file,
// which would only add the time of a sync.
func readDamaged(t *testing.T, data []byte) (State, error) {
	path := filepath.Join(t.TempDir(), boltFileName)
	if err := os.WriteFile(path, data, fileMode); err != nil {
		t.Fatal(err)
	}
	found, err := readBolt(path)
	if err != nil {
		return State{}, err
	}
	s := &Store{path: path, engine: &boltEngine{loaded: found}, manifest: &pb.Manifest{}}
	return s.load()
}

// Guards against a log with missing entries that a bbolt file with consistent
// pages may hold.
func TestLostEntriesAreDetected(t *testing.T) {
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
			_, _, err := Open(copyAfterCrash(t, dir))
			var damaged *DamagedError
			if !errors.As(err, &damaged) {
				t.Errorf("got %v, want a DamagedError", err)
			}
		})
	}
}

// faultyEngine returns err from Write if it is set. With writeFirst, it does the
// write before.
type faultyEngine struct {
	Engine
	err        error
	writeFirst bool
	writes     int
}

func (f *faultyEngine) Write(b Batch) error {
	f.writes++
	if f.err == nil {
		return f.Engine.Write(b)
	}
	if f.writeFirst {
		_ = f.Engine.Write(b)
	}
	return f.err
}

// After a failed write the state on disk is unknown, so the store must reject
// further writes. A restart must find the state before or after that write.
func TestNothingIsWrittenAfterAFailure(t *testing.T) {
	cases := []struct {
		name       string
		err        error
		writeFirst bool
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
			f.err, f.writeFirst = c.err, c.writeFirst
			hard := consensus.HardState{Term: 9}
			err = s.Save(hard, []consensus.Entry{entry(162, 9, "x")})
			var failed *WriteError
			if !errors.As(err, &failed) || !errors.Is(err, c.err) {
				t.Errorf("got %v, want a WriteError of %v", err, c.err)
			}
			f.err, f.writes = nil, 0
			if err := s.Save(hard, nil); !errors.As(err, &failed) || f.writes > 0 {
				t.Errorf("after a failed write: got %v and %d writes, want a WriteError and none", err, f.writes)
			}
			_ = s.Close()
			_, got := open(t, dir)
			if got.HardState != want.HardState && (!c.writeFirst || got.HardState != hard) {
				t.Errorf("unexpected hard state after a restart: %+v", got.HardState)
			}
		})
	}
}

// FuzzDecodeEntry checks that decodeEntry does not panic, and that a decoded entry
// has the index of its key and does not change when it is encoded again.
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
		// A valid checksum, so that the fuzzer reaches the code after it.
		f.Add(e.Index, addChecksum(indexKey(e.Index), append([]byte(nil), r[checksumBytes+1:]...)))
	}
	f.Fuzz(func(t *testing.T, index uint64, record []byte) {
		if len(record) >= checksumBytes {
			decodeEntry(index, addChecksum(indexKey(index), record[checksumBytes:]))
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
			t.Fatalf("%+v was decoded as %+v", e, back)
		}
	})
}
