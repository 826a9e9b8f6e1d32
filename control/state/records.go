package state

import (
	"slices"
	"sort"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

// compactSlack is the number of outdated changes that are kept before the list
// of changes is compacted.
const compactSlack = 1024

// change notes that a log index wrote a record.
type change struct {
	version uint64
	key     string
}

// recordStore holds the replicated records with the order of their changes, so
// that a delta costs what has changed and not what there is.
type recordStore struct {
	records map[string]*pb.Record
	// changes is ordered by version; entries whose record was written again
	// later are outdated.
	changes    []change
	tombstones int
	// horizon is the newest version whose tombstone was dropped. A delta from
	// below it would miss a deletion.
	horizon uint64
	limit   int
}

func newRecordStore(limit int) *recordStore {
	return &recordStore{records: make(map[string]*pb.Record), limit: limit}
}

// put writes rec, which must not change afterwards.
func (s *recordStore) put(rec *pb.Record) {
	if old, ok := s.records[rec.GetKey()]; ok && old.GetDeleted() {
		s.tombstones--
	}
	if rec.GetDeleted() {
		s.tombstones++
	}
	s.records[rec.GetKey()] = rec
	s.changes = append(s.changes, change{rec.GetVersion(), rec.GetKey()})
	s.trim()
}

// trim drops the oldest tombstones above the limit and outdated changes.
func (s *recordStore) trim() {
	if s.tombstones > s.limit {
		s.dropTombstones(s.limit / 2)
	}
	if len(s.changes) > 2*len(s.records)+compactSlack {
		s.compact()
	}
}

func (s *recordStore) dropTombstones(keep int) {
	for _, c := range s.changes {
		if s.tombstones <= keep {
			break
		}
		rec, ok := s.records[c.key]
		if !ok || !rec.GetDeleted() || rec.GetVersion() != c.version {
			continue
		}
		delete(s.records, c.key)
		s.horizon = c.version
		s.tombstones--
	}
	s.compact()
}

func (s *recordStore) compact() {
	s.changes = slices.DeleteFunc(s.changes, func(c change) bool {
		rec, ok := s.records[c.key]
		return !ok || rec.GetVersion() != c.version
	})
	// A record written twice at one index leaves two equal entries.
	s.changes = slices.Compact(s.changes)
}

// newest returns the version that was written last.
func (s *recordStore) newest() uint64 {
	if len(s.changes) == 0 {
		return s.horizon
	}
	return s.changes[len(s.changes)-1].version
}

// since returns the records with a version above index. It reports false if
// only all records tell what changed.
func (s *recordStore) since(index uint64) ([]*pb.Record, bool) {
	if index < s.horizon {
		return nil, false
	}
	from := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].version > index })
	var out []*pb.Record
	seen := make(map[string]bool)
	for _, c := range s.changes[from:] {
		rec, ok := s.records[c.key]
		if !ok || rec.GetVersion() != c.version || seen[c.key] {
			continue
		}
		seen[c.key] = true
		out = append(out, rec)
	}
	return out, true
}

// live returns the records that aren't deleted, in the order of their keys.
func (s *recordStore) live() []*pb.Record {
	out := make([]*pb.Record, 0, len(s.records))
	for _, rec := range s.records {
		if !rec.GetDeleted() {
			out = append(out, rec)
		}
	}
	slices.SortFunc(out, compareKeys)
	return out
}

// all returns the records and tombstones in the order of their versions.
func (s *recordStore) all() []*pb.Record {
	s.compact()
	out := make([]*pb.Record, 0, len(s.changes))
	for _, c := range s.changes {
		out = append(out, s.records[c.key])
	}
	return out
}

func compareKeys(a, b *pb.Record) int {
	if a.GetKey() < b.GetKey() {
		return -1
	}
	return 1
}
