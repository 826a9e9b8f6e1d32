package consensus

// indexedMembership is a membership and the index of the entry that set it.
type indexedMembership struct {
	index uint64
	Membership
}

// entryLog is the log in memory: the entries after compactedIndex. The entries
// up to it are discarded.
type entryLog struct {
	// snapshot is the latest snapshot; its index is at least compactedIndex.
	snapshot       Snapshot
	compactedIndex uint64
	compactedTerm  uint64
	entries        []Entry
	// stable is the last persisted index.
	stable    uint64
	committed uint64
	applied   uint64
	// memberships holds, by ascending index, the membership of the snapshot and
	// all later ones. Uncommitted ones may still be truncated.
	memberships []indexedMembership
}

func newEntryLog(s Snapshot, entries []Entry, commit uint64) entryLog {
	l := entryLog{snapshot: s, compactedIndex: s.Index, compactedTerm: s.Term, committed: s.Index, applied: s.Index}
	l.memberships = []indexedMembership{{s.Index, s.Membership}}
	for _, e := range entries {
		if e.Index > l.compactedIndex {
			l.add(e)
		}
	}
	l.stable = l.lastIndex()
	l.committed = max(l.committed, min(commit, l.lastIndex()))
	return l
}

func (l *entryLog) lastIndex() uint64 { return l.compactedIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index, false if the log does not hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.compactedIndex {
		return l.compactedTerm, true
	}
	if index < l.compactedIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.compactedIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// isUpToDate reports whether a log that ends with the given index and term is at
// least as complete as this one, by Raft's rule for granting votes.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || (term == own && index >= l.lastIndex())
}

// slice returns the entries from an index on, up to maxBytes in total but at
// least one if there is any. It returns none if they are discarded.
func (l *entryLog) slice(from uint64, maxBytes int) []Entry {
	if from > l.lastIndex() || from <= l.compactedIndex {
		return nil
	}
	return l.upToBytes(from, l.lastIndex(), maxBytes)
}

// upToBytes returns the first entries in [from, to], up to maxBytes in total but at
// least one if there is any.
func (l *entryLog) upToBytes(from, to uint64, maxBytes int) []Entry {
	all := l.between(from, to)
	size := 0
	for i := range all {
		size += all[i].Size()
		if i > 0 && size > maxBytes {
			return all[:i:i]
		}
	}
	return all
}

// between returns the entries in [from, to].
func (l *entryLog) between(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	return l.entries[from-l.compactedIndex-1 : to-l.compactedIndex : to-l.compactedIndex]
}

func (l *entryLog) add(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind == EntryMembership && e.Membership != nil {
		l.memberships = append(l.memberships, indexedMembership{e.Index, *e.Membership})
	}
}

// merge appends entries that follow a matching entry, and truncates conflicting
// ones first.
func (l *entryLog) merge(entries []Entry) {
	for i, e := range entries {
		if l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.committed {
			panic(&InvariantError{Reason: "a committed entry would be replaced", Index: e.Index})
		}
		if e.Index <= l.lastIndex() {
			l.truncate(e.Index)
		}
		for _, rest := range entries[i:] {
			l.add(rest)
		}
		return
	}
}

// truncate removes the entries from an index on, and reverts their memberships.
func (l *entryLog) truncate(from uint64) {
	// Copy, since a Ready may still reference the old array.
	l.entries = append([]Entry(nil), l.entries[:from-l.compactedIndex-1]...)
	l.stable = min(l.stable, from-1)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= from {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

func (l *entryLog) membership() indexedMembership {
	return l.memberships[len(l.memberships)-1]
}

// effectiveMemberships returns the last committed membership and the uncommitted
// ones after it.
func (l *entryLog) effectiveMemberships() []indexedMembership {
	first := len(l.memberships) - 1
	for first > 0 && l.memberships[first].index > l.committed {
		first--
	}
	return l.memberships[first:]
}

// membershipAt returns the membership as of index.
func (l *entryLog) membershipAt(index uint64) Membership {
	for i := len(l.memberships) - 1; i > 0; i-- {
		if l.memberships[i].index <= index {
			return l.memberships[i].Membership
		}
	}
	return l.memberships[0].Membership
}

func (l *entryLog) commitTo(index uint64) {
	l.committed = max(l.committed, min(index, l.lastIndex()))
}

// compact records a snapshot that this member took and discards the entries up
// to and including keep.
func (l *entryLog) compact(s Snapshot, keep uint64) {
	l.snapshot = s
	for len(l.memberships) > 1 && l.memberships[1].index <= s.Index {
		l.memberships = l.memberships[1:]
	}
	keep = min(keep, s.Index)
	if keep <= l.compactedIndex {
		return
	}
	t, _ := l.term(keep)
	l.entries = append([]Entry(nil), l.entries[keep-l.compactedIndex:]...)
	l.compactedIndex, l.compactedTerm = keep, t
}

// indexBefore returns the lowest index after which the entries up to and including
// through have at most maxBytes in total.
func (l *entryLog) indexBefore(through, maxBytes uint64) uint64 {
	size := uint64(0)
	for through > l.compactedIndex {
		size += uint64(l.entries[through-l.compactedIndex-1].Size()) //nolint:gosec // A size isn't negative.
		if size > maxBytes {
			break
		}
		through--
	}
	return through
}

// restore replaces the whole log by a snapshot.
func (l *entryLog) restore(s Snapshot) {
	*l = newEntryLog(s, nil, s.Index)
}
