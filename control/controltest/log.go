// Package controltest provides an in-memory fake of the replicated log, and
// deployments, for tests.
package controltest

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/control"
)

// InjectedError is the cause of a failure injected by a test.
type InjectedError string

// Error describes the failure.
func (e InjectedError) Error() string { return string(e) }

// errResponseLost is the cause of an injected unknown outcome.
const errResponseLost = InjectedError("the response was lost")

// Group is a log whose entries are applied immediately to all of its members
// that are not isolated.
type Group struct {
	mu      sync.Mutex
	entries [][]byte
	members []*Log
	leader  int
	term    uint64
}

// Log is one member of a Group. It implements control.Log.
type Log struct {
	group *Group
	addr  string
	sm    control.StateMachine

	// The fields from here on are guarded by the group's mutex.
	applied  uint64
	isolated bool
	// lostResponses is the number of next proposals that end with an unknown
	// outcome, and commitLost whether they are committed.
	lostResponses int
	commitLost    bool
	changed       chan struct{}
}

// New returns a group with one member for each state machine. Member 0 leads.
func New(machines ...control.StateMachine) *Group {
	g := &Group{term: 1}
	for _, sm := range machines {
		g.members = append(g.members, &Log{group: g, sm: sm, changed: make(chan struct{})})
	}
	return g
}

// Member returns the member with index i.
func (g *Group) Member(i int) *Log { return g.members[i] }

// SetAddr sets the rpc address under which member i is known as the leader.
func (g *Group) SetAddr(i int, addr string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[i].addr = addr
	g.notifyLeadership()
}

// SetLeader makes member i the leader of a new term. If i is negative, the
// group has no leader.
func (g *Group) SetLeader(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = i
	g.term++
	g.notifyLeadership()
}

// SetIsolated isolates member i, or reconnects it. An isolated member applies
// nothing, and its calls block until their contexts end.
func (g *Group) SetIsolated(i int, isolated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[i]
	m.isolated = isolated
	m.catchUp()
	g.notifyLeadership()
}

// LoseResponses makes the next n proposals at member i end with an unknown
// outcome. They are committed if commit is true, and dropped otherwise.
func (g *Group) LoseResponses(i, n int, commit bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[i].lostResponses = n
	g.members[i].commitLost = commit
}

// notifyLeadership closes the Changed channels of all members. The caller holds
// mu.
func (g *Group) notifyLeadership() {
	for _, m := range g.members {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

func (g *Group) leaderAddr() string {
	if g.leader < 0 {
		return ""
	}
	return g.members[g.leader].addr
}

// catchUp applies the entries that the member has not applied, and returns the
// result of the last one.
func (l *Log) catchUp() any {
	var result any
	for !l.isolated && l.applied < uint64(len(l.group.entries)) {
		l.applied++
		result = l.sm.Apply(l.applied, l.group.entries[l.applied-1])
	}
	return result
}

// Propose implements control.Log.
func (l *Log) Propose(ctx context.Context, data []byte) (any, error) {
	g := l.group
	g.mu.Lock()
	if l.isolated {
		g.mu.Unlock()
		<-ctx.Done()
		return nil, &control.UnknownOutcomeError{Cause: ctx.Err()}
	}
	defer g.mu.Unlock()
	if g.leader < 0 || g.members[g.leader] != l {
		return nil, &control.NotLeaderError{LeaderAddr: g.leaderAddr()}
	}
	if l.lostResponses > 0 && !l.commitLost {
		l.lostResponses--
		return nil, &control.UnknownOutcomeError{Cause: errResponseLost}
	}
	g.entries = append(g.entries, data)
	var result any
	for _, m := range g.members {
		r := m.catchUp()
		if m == l {
			result = r
		}
	}
	if l.lostResponses > 0 {
		l.lostResponses--
		return nil, &control.UnknownOutcomeError{Cause: errResponseLost}
	}
	return result, nil
}

// Confirm implements control.Log.
func (l *Log) Confirm(ctx context.Context) (uint64, time.Time, error) {
	begun := time.Now()
	l.group.mu.Lock()
	isolated, noLeader, index := l.isolated, l.group.leader < 0, l.applied
	l.group.mu.Unlock()
	if isolated || noLeader {
		<-ctx.Done()
		return 0, time.Time{}, errors.Join(&control.NotLeaderError{}, ctx.Err())
	}
	return index, begun, nil
}

// Leadership implements control.Log.
func (l *Log) Leadership() control.Leadership {
	g := l.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return control.Leadership{
		Leads:      g.leader >= 0 && g.members[g.leader] == l && !l.isolated,
		Term:       g.term,
		LeaderAddr: g.leaderAddr(),
		Changed:    l.changed,
	}
}
