package state

import (
	"slices"
	"sort"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

// compactSlack is the number of outdated changes beyond twice the number of
// records that triggers a compaction of the change list.
const compactSlack = 1024

// change records that the entry at index version wrote the record key.
type change struct {
	version uint64
	key     string
}

// recordStore holds the replicated records and the order of their changes, so
// that the cost of a delta depends on the number of changes and not on the
// number of records.
type recordStore struct {
	records map[string]*pb.Record
	// changes is ordered by version. An entry is outdated once its record was
	// written again.
	changes    []change
	tombstones int
	// horizon is the newest version whose tombstone was dropped. A delta from
	// an older index would miss a deletion.
	horizon uint64
	limit   int
}

func newRecordStore(limit int) *recordStore {
	return &recordStore{records: make(map[string]*pb.Record), limit: limit}
}

// put stores rec, which must not be modified afterwards.
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

// trim drops the oldest tombstones beyond the limit and compacts the change
// list.
func (s *recordStore) trim() {
	if s.tombstones > s.limit {
		s.dropTombstones(s.limit / 2)
	}
	if len(s.changes) > 2*len(s.records)+compactSlack {
		s.compact()
	}
}

// dropTombstones drops the oldest tombstones until keep are left.
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

// compact removes outdated changes.
func (s *recordStore) compact() {
	s.changes = slices.DeleteFunc(s.changes, func(c change) bool {
		rec, ok := s.records[c.key]
		return !ok || rec.GetVersion() != c.version
	})
	// A record written twice at one index leaves two equal entries.
	s.changes = slices.Compact(s.changes)
}

// newest returns the version of the last write.
func (s *recordStore) newest() uint64 {
	if len(s.changes) == 0 {
		return s.horizon
	}
	return s.changes[len(s.changes)-1].version
}

// since returns the records with a version above index. It returns false if the
// deletions since then are no longer known and a snapshot is needed.
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

// live returns the records that are not tombstones, sorted by key.
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
