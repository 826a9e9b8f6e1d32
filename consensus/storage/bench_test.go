package storage

import (
	"fmt"
	"testing"

	"github.com/tidwall/wal"

	"github.com/peridotmux/peridotmux/consensus"
)

const (
	benchDataBytes   = 256
	benchKeepEntries = 10_000
)

func benchEntries(first uint64, n int) []consensus.Entry {
	entries := make([]consensus.Entry, n)
	for i := range entries {
		entries[i] = consensus.Entry{
			Index: first + uint64(i), Term: 1, Kind: consensus.EntryCommand, Data: make([]byte, benchDataBytes),
		}
	}
	return entries
}

// appender is the common interface of the compared libraries. Each append is
// synced.
type appender interface {
	append(b *testing.B, entries []consensus.Entry)
	drop(b *testing.B, to uint64)
	close()
}

type boltAppender struct{ *Store }

func (a boltAppender) append(b *testing.B, entries []consensus.Entry) {
	if err := a.Save(consensus.HardState{Term: 1}, entries); err != nil {
		b.Fatal(err)
	}
}

func (a boltAppender) drop(b *testing.B, to uint64) {
	s := consensus.Snapshot{}
	s.Index = to
	if err := a.SaveSnapshot(s); err != nil {
		b.Fatal(err)
	}
}

func (a boltAppender) close() { _ = a.Close() }

type walAppender struct{ *wal.Log }

func (a walAppender) append(b *testing.B, entries []consensus.Entry) {
	var batch wal.Batch
	for _, e := range entries {
		r, err := encodeEntry(e)
		if err != nil {
			b.Fatal(err)
		}
		batch.Write(e.Index, r)
	}
	if err := a.WriteBatch(&batch); err != nil {
		b.Fatal(err)
	}
}

func (a walAppender) drop(b *testing.B, to uint64) {
	if err := a.TruncateFront(to); err != nil {
		b.Fatal(err)
	}
}

func (a walAppender) close() { _ = a.Close() }

func openAppender(b *testing.B, library, dir string) appender {
	b.Helper()
	if library == "wal" {
		l, err := wal.Open(dir, nil)
		if err != nil {
			b.Fatal(err)
		}
		return walAppender{l}
	}
	s, _, err := Open(dir)
	if err != nil {
		b.Fatal(err)
	}
	return boltAppender{s}
}

// BenchmarkSyncedAppend compares synced appends to bbolt and to a write-ahead log
// library, at several batch sizes.
func BenchmarkSyncedAppend(b *testing.B) {
	for _, library := range []string{"bbolt", "wal"} {
		for _, batch := range []int{1, 16, 64, 256} {
			b.Run(fmt.Sprintf("%s/batch=%d", library, batch), func(b *testing.B) {
				a := openAppender(b, library, b.TempDir())
				defer a.close()
				next, dropped := uint64(1), uint64(0)
				for b.Loop() {
					a.append(b, benchEntries(next, batch))
					next += uint64(batch)
					if next-dropped > 2*benchKeepEntries {
						dropped = next - benchKeepEntries
						a.drop(b, dropped)
					}
				}
				b.ReportMetric(float64(next-1)/b.Elapsed().Seconds(), "entries/s")
			})
		}
	}
}

// readAll reads the whole log, as after a restart, and returns the number of
// entries.
func readAll(b *testing.B, library, dir string) int {
	if library == "bbolt" {
		s, state, err := Open(dir)
		if err != nil {
			b.Fatal(err)
		}
		_ = s.Close()
		return len(state.Entries)
	}
	l, err := wal.Open(dir, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	last, err := l.LastIndex()
	if err != nil {
		b.Fatal(err)
	}
	for i := uint64(1); i <= last; i++ {
		r, err := l.Read(i)
		if err != nil {
			b.Fatal(err)
		}
		if _, ok := decodeEntry(i, r); !ok {
			b.Fatal("entry is unreadable")
		}
	}
	return int(last)
}

// BenchmarkRecovery compares reading the whole log after a restart.
func BenchmarkRecovery(b *testing.B) {
	for _, library := range []string{"bbolt", "wal"} {
		for _, length := range []int{1_000, 10_000, 100_000} {
			b.Run(fmt.Sprintf("%s/entries=%d", library, length), func(b *testing.B) {
				dir := b.TempDir()
				a := openAppender(b, library, dir)
				for first := 1; first <= length; first += 1000 {
					a.append(b, benchEntries(uint64(first), 1000))
				}
				a.close()
				for b.Loop() {
					if n := readAll(b, library, dir); n != length {
						b.Fatalf("%d entries, want %d", n, length)
					}
				}
			})
		}
	}
}
