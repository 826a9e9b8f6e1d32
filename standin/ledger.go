package standin

import (
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/topology"
)

// State is the state of a search that a target started: running, or how it
// ended.
type State string

// States of searches. Lost means that the process ended during the search.
const (
	Running   State = "running"
	Answered  State = "answered"
	Cancelled State = "cancelled"
	TooLate   State = "too-late"
	Lost      State = "lost"
)

// Entry records one search that a target started. EndedAt is zero while the
// search runs.
type Entry struct {
	Attempt   string           `json:"attempt"`
	RequestID string           `json:"request_id"`
	Shard     topology.ShardID `json:"shard"`
	Version   uint64           `json:"version"`
	BodyHash  string           `json:"body_hash"`
	StartedAt time.Time        `json:"begun"`
	EndedAt   time.Time        `json:"ended"`
	State     State            `json:"end"`
}

// Ledger records the searches that one target started and finished. It outlives
// restarts of the target's process and is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	entries []Entry
	totals  Totals
}

// Totals are the counters of a Ledger. MaxInFlight and MaxConnections are the
// highest numbers seen at the same time.
type Totals struct {
	MaxInFlight int `json:"most_in_flight"`
	// ColdOverloads counts searches started while a cold target already ran as
	// many as its current limit.
	ColdOverloads int `json:"cold_overloads"`
	Shed          int `json:"shed"`
	// RefusedConnections counts connections reset for exceeding the limit.
	RefusedConnections int `json:"refused_connections"`
	MaxConnections     int `json:"most_connections"`
}

// Entries returns a copy of all entries, ordered by start.
func (l *Ledger) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Entry(nil), l.entries...)
}

// Totals returns the current counters.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}

// start adds an entry and returns its index for finish.
func (l *Ledger) start(e Entry, inFlight int, overload bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.State = Running
	l.entries = append(l.entries, e)
	l.totals.MaxInFlight = max(l.totals.MaxInFlight, inFlight)
	if overload {
		l.totals.ColdOverloads++
	}
	return len(l.entries) - 1
}

// finish records how and when the search at index ended.
func (l *Ledger) finish(index int, state State, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[index].State = state
	l.entries[index].EndedAt = now
}

// updateTotals calls edit with the totals while holding the lock.
func (l *Ledger) updateTotals(edit func(*Totals)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	edit(&l.totals)
}
