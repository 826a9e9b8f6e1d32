// Package controltest has a fake of the replicated log for tests.
package controltest

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/control"
)

// InjectedError is the cause of failures that a test asked for.
type InjectedError string

// Error describes the failure.
func (e InjectedError) Error() string { return string(e) }

// errLost is the cause of an unknown outcome.
const errLost = InjectedError("the answer was lost")

// Group is a log whose entries are applied at once to all of its members.
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

	// The rest is guarded by the group's lock.
	applied uint64
	cut     bool
	// unknown counts the next proposals whose outcome is told as unknown.
	unknown int
	commit  bool
	changed chan struct{}
}

// New returns a group with one member for each state machine. The first leads.
func New(machines ...control.StateMachine) *Group {
	g := &Group{term: 1}
	for _, sm := range machines {
		g.members = append(g.members, &Log{group: g, sm: sm, changed: make(chan struct{})})
	}
	return g
}

// Member returns member i.
func (g *Group) Member(i int) *Log { return g.members[i] }

// SetAddr sets the rpc address that member i is told under.
func (g *Group) SetAddr(i int, addr string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[i].addr = addr
	g.wake()
}

// SetLeader makes member i the leader, or nobody if i is negative.
func (g *Group) SetLeader(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = i
	g.term++
	g.wake()
}

// SetIsolated cuts member i off, or joins it again. While it is cut off it applies
// nothing, and its calls wait until their contexts end.
func (g *Group) SetIsolated(i int, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[i]
	m.cut = cut
	m.catchUp()
	g.wake()
}

// LoseResponses makes the next n proposals at member i end with an unknown
// outcome; they are committed or not as commit says.
func (g *Group) LoseResponses(i, n int, commit bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[i].unknown = n
	g.members[i].commit = commit
}

func (g *Group) wake() {
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

// catchUp applies what the member lacks.
func (l *Log) catchUp() any {
	var result any
	for !l.cut && l.applied < uint64(len(l.group.entries)) {
		l.applied++
		result = l.sm.Apply(l.applied, l.group.entries[l.applied-1])
	}
	return result
}

// Propose implements control.Log.
func (l *Log) Propose(ctx context.Context, data []byte) (any, error) {
	g := l.group
	g.mu.Lock()
	if l.cut {
		g.mu.Unlock()
		<-ctx.Done()
		return nil, &control.UnknownOutcomeError{Cause: ctx.Err()}
	}
	defer g.mu.Unlock()
	if g.leader < 0 || g.members[g.leader] != l {
		return nil, &control.NotLeaderError{LeaderAddr: g.leaderAddr()}
	}
	if l.unknown > 0 && !l.commit {
		l.unknown--
		return nil, &control.UnknownOutcomeError{Cause: errLost}
	}
	g.entries = append(g.entries, data)
	var result any
	for _, m := range g.members {
		r := m.catchUp()
		if m == l {
			result = r
		}
	}
	if l.unknown > 0 {
		l.unknown--
		return nil, &control.UnknownOutcomeError{Cause: errLost}
	}
	return result, nil
}

// Confirm implements control.Log.
func (l *Log) Confirm(ctx context.Context) (uint64, time.Time, error) {
	begun := time.Now()
	l.group.mu.Lock()
	cut, noLeader, index := l.cut, l.group.leader < 0, l.applied
	l.group.mu.Unlock()
	if cut || noLeader {
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
		Leads:      g.leader >= 0 && g.members[g.leader] == l && !l.cut,
		Term:       g.term,
		LeaderAddr: g.leaderAddr(),
		Changed:    l.changed,
	}
}
