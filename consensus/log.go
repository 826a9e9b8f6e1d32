package consensus

// recordedMembership is a membership and the index that set it.
type recordedMembership struct {
	index uint64
	Membership
}

// entryLog holds the entries after base in memory.
type entryLog struct {
	// snapshot is the latest one; it covers at least all up to base.
	snapshot Snapshot
	base     uint64
	baseTerm uint64
	entries  []Entry
	// stable is the last index that was persisted.
	stable    uint64
	committed uint64
	applied   uint64
	// memberships holds those that can still be current: the last committed
	// one, and later ones that may yet be cut off.
	memberships []recordedMembership
}

func newEntryLog(s Snapshot, entries []Entry, commit uint64) entryLog {
	l := entryLog{snapshot: s, base: s.Index, baseTerm: s.Term, committed: s.Index, applied: s.Index}
	l.memberships = []recordedMembership{{s.Index, s.Membership}}
	for _, e := range entries {
		if e.Index > l.base {
			l.add(e)
		}
	}
	l.stable = l.last()
	l.committed = max(l.committed, min(commit, l.last()))
	return l
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, false if it isn't held.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

func (l *entryLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || (term == own && index >= l.last())
}

// slice returns entries from index on, at least one if there is one, and more
// up to maxBytes.
func (l *entryLog) slice(from uint64, maxBytes int) []Entry {
	if from > l.last() || from <= l.base {
		return nil
	}
	rest := l.entries[from-l.base-1:]
	size := 0
	for i := range rest {
		size += rest[i].Size()
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

func (l *entryLog) between(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	return l.entries[from-l.base-1 : to-l.base : to-l.base]
}

func (l *entryLog) add(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind == EntryMembership && e.Membership != nil {
		l.memberships = append(l.memberships, recordedMembership{e.Index, *e.Membership})
	}
}

// merge adds entries that follow a matching one, and cuts off what conflicts.
func (l *entryLog) merge(entries []Entry) {
	for i, e := range entries {
		if l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.committed {
			panic(&InvariantError{Reason: "a committed entry would be replaced", Index: e.Index})
		}
		if e.Index <= l.last() {
			l.cut(e.Index)
		}
		for _, rest := range entries[i:] {
			l.add(rest)
		}
		return
	}
}

// cut removes the entries from index on.
func (l *entryLog) cut(from uint64) {
	// A new array, since a Ready may still hold the old one.
	l.entries = append([]Entry(nil), l.entries[:from-l.base-1]...)
	l.stable = min(l.stable, from-1)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= from {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

func (l *entryLog) membership() recordedMembership {
	return l.memberships[len(l.memberships)-1]
}

// inForce returns the last committed membership and those after it.
func (l *entryLog) inForce() []recordedMembership {
	first := len(l.memberships) - 1
	for first > 0 && l.memberships[first].index > l.committed {
		first--
	}
	return l.memberships[first:]
}

// membershipAt returns the membership that was current at index.
func (l *entryLog) membershipAt(index uint64) Membership {
	for i := len(l.memberships) - 1; i > 0; i-- {
		if l.memberships[i].index <= index {
			return l.memberships[i].Membership
		}
	}
	return l.memberships[0].Membership
}

func (l *entryLog) commitTo(index uint64) {
	l.committed = max(l.committed, min(index, l.last()))
}

// compact takes in a snapshot of own making and drops the entries before keep.
func (l *entryLog) compact(s Snapshot, keep uint64) {
	l.snapshot = s
	for len(l.memberships) > 1 && l.memberships[1].index <= s.Index {
		l.memberships = l.memberships[1:]
	}
	keep = min(keep, s.Index)
	if keep <= l.base {
		return
	}
	t, _ := l.term(keep)
	l.entries = append([]Entry(nil), l.entries[keep-l.base:]...)
	l.base, l.baseTerm = keep, t
}

// restore replaces all by a snapshot.
func (l *entryLog) restore(s Snapshot) {
	*l = newEntryLog(s, nil, s.Index)
}
