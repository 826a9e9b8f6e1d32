package standin

import (
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/topology"
)

// State says how a search that a target began came to its end.
type State string

// Ends of searches.
const (
	Running   State = "running"
	Answered  State = "answered"
	Cancelled State = "cancelled"
	TooLate   State = "too-late"
	Lost      State = "lost"
)

// Entry is one search that a target began.
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

// Ledger is what one target began and finished. It survives restarts.
type Ledger struct {
	mu      sync.Mutex
	entries []Entry
	totals  Totals
}

// Totals are the counts of a Ledger.
type Totals struct {
	MaxInFlight int `json:"most_in_flight"`
	// ColdOverloads counts searches begun while a cold target already held all
	// that it can carry.
	ColdOverloads int `json:"cold_overloads"`
	Shed          int `json:"shed"`
	// RefusedConnections counts connections over the cap.
	RefusedConnections int `json:"refused_connections"`
	MaxConnections     int `json:"most_connections"`
}

// Entries returns a copy of all entries in the order of their start.
func (l *Ledger) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Entry(nil), l.entries...)
}

// Totals returns the counts.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}

// begin adds an entry and returns its place.
func (l *Ledger) begin(e Entry, inFlight int, overload bool) int {
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

func (l *Ledger) end(place int, end State, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[place].State = end
	l.entries[place].EndedAt = now
}

func (l *Ledger) count(edit func(*Totals)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	edit(&l.totals)
}
