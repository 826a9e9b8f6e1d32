package admission

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/workspace"
)

// topicName identifies the topic on the wire.
const topicName = "admission"

// maxCachedGroups bounds the groups that a Gate keeps. Configurations have a few; old
// ones accumulate as configurations change.
const maxCachedGroups = 256

// maxPending is how long queries may wait to be reported. Gateways report once in up to
// 0.8 s.
const maxPending = 2 * time.Second

// describeInterval is the time between two descriptions of a group that the leader
// doesn't list as known.
const describeInterval = time.Second

// Gate decides on the queries of one gateway, by what the leader of control found. It
// implements outlier.Topic. It is safe for concurrent use.
type Gate struct {
	// state is nil while nothing is known.
	state atomic.Pointer[state]
	// observed means that a target reported its capacity.
	observed atomic.Bool

	mu      sync.Mutex
	pending *report
	// pendingSince is when the first query was offered that isn't reported yet.
	pendingSince time.Time
	groups       map[*route.Gather]*Group
	// describedAt is when each group that the leader doesn't know was last described.
	describedAt map[GroupID]time.Time
}

// NewGate returns a gate that admits all queries until a state is applied.
func NewGate() *Gate {
	return &Gate{
		pending: newReport(), groups: make(map[*route.Gather]*Group), describedAt: make(map[GroupID]time.Time),
	}
}

// Query is a query to decide on.
type Query struct {
	ID        string
	Gather    *route.Gather
	Objective time.Duration
	// Priority is the rank of the query; 0 is the highest.
	Priority  int
	Workspace workspace.Name
}

// Decision is the decision on one query.
type Decision struct {
	Admitted bool
	// LeaveOut are the indexes of the shards that the query leaves out, in ascending
	// order.
	LeaveOut []int
	// Scarce is the number of its shards without spare capacity.
	Scarce int
}

// Decide counts a query as offered and decides on it.
func (g *Gate) Decide(q *Query, now time.Time) Decision {
	if g.state.Load() == nil && !g.observed.Load() {
		// No target reports its capacity, so that nothing is to be counted either.
		return Decision{Admitted: true}
	}
	group := g.offer(q, now)
	s := g.state.Load()
	if s == nil || len(s.scarce)+len(s.held) == 0 {
		return Decision{Admitted: true}
	}
	d, expected := s.decide(group, q, now)
	if expected < 1 {
		count := offered{expectedRefused: 1 - expected}
		if !d.Admitted {
			count.refused = 1
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.pending.offer(q.class(group), count)
	}
	return d
}

func (q *Query) class(g *Group) offerClass {
	return offerClass{group: g.ID, priority: q.Priority, workspace: q.Workspace}
}

// decide decides on a query of a group and returns the fraction of such queries that are
// admitted.
func (s *state) decide(group *Group, q *Query, now time.Time) (Decision, float64) {
	var shares []float64
	var indexes []int
	for i, name := range group.Services {
		if share, scarce := s.share(name, q, now); scarce {
			shares = append(shares, share)
			indexes = append(indexes, i)
		}
	}
	if len(shares) == 0 {
		return Decision{Admitted: true}, 1
	}
	plan := NewPlan(shares, len(group.Services), group.MayLack)
	d := Decision{Scarce: len(shares)}
	d.Admitted, d.LeaveOut = plan.Decide(Position(q.ID))
	for i, j := range d.LeaveOut {
		d.LeaveOut[i] = indexes[j]
	}
	return d, plan.Admitted
}

// offer counts a query as offered and returns its group.
func (g *Gate) offer(q *Query, now time.Time) *Group {
	g.mu.Lock()
	defer g.mu.Unlock()
	group := g.groups[q.Gather]
	if group == nil {
		group = NewGroup(q.Gather.Shards, len(q.Gather.Shards)-q.Gather.MinParts())
		if len(g.groups) >= maxCachedGroups {
			clear(g.groups)
		}
		g.groups[q.Gather] = group
	}
	switch {
	case len(g.pending.offers) == 0:
		g.pendingSince = now
	case now.Sub(g.pendingSince) > maxPending:
		// Control couldn't be reached. Old queries reported together later would look like
		// a burst.
		g.pending, g.pendingSince = newReport(), now
	}
	g.pending.offer(q.class(group), offered{queries: 1, objectives: q.Objective})
	g.describe(group, now)
	return group
}

// describe adds the description of a group to the next report if the leader doesn't know
// it. g.mu must be held.
func (g *Gate) describe(group *Group, now time.Time) {
	if s := g.state.Load(); s != nil && s.known[group.ID] {
		return
	}
	if at, described := g.describedAt[group.ID]; described && now.Sub(at) < describeInterval {
		return
	}
	if len(g.describedAt) >= maxCachedGroups {
		clear(g.describedAt)
	}
	g.describedAt[group.ID] = now
	g.pending.describe(group)
}

// Observe adds an observation of a target that reports its load.
func (g *Gate) Observe(t discovery.TargetID, o Observation) {
	g.observed.Store(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending.observe(t, o)
}

// HasCapacity reports whether a service has spare capacity, as far as is known.
func (g *Gate) HasCapacity(s route.ServiceName, now time.Time) bool {
	st := g.state.Load()
	if st == nil {
		return true
	}
	return !st.isScarce(s, now)
}

// ScarceService is a service without spare capacity. Admitted describes which queries it
// takes, for operators.
type ScarceService struct {
	Service  route.ServiceName
	Admitted string
}

// Scarce returns the services without spare capacity, sorted by name.
func (g *Gate) Scarce(now time.Time) []ScarceService {
	s := g.state.Load()
	if s == nil {
		return nil
	}
	out := make([]ScarceService, 0, len(s.scarce))
	for name, l := range s.scarce {
		out = append(out, ScarceService{Service: name, Admitted: l.String()})
	}
	for name, h := range s.held {
		if h.live(now) {
			out = append(out, ScarceService{Service: name, Admitted: h.String() + ", without control"})
		}
	}
	slices.SortFunc(out, func(a, b ScarceService) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// Name implements outlier.Topic.
func (*Gate) Name() string { return topicName }

// Report implements outlier.Topic.
func (g *Gate) Report() []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pending.empty() {
		return nil
	}
	out := g.pending.encode()
	g.pending = newReport()
	return out
}

// Apply implements outlier.Topic.
func (g *Gate) Apply(message []byte) { g.apply(message, time.Now()) }

func (g *Gate) apply(message []byte, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.state.Load()
	if len(message) == 0 {
		// The next member that takes reports may not know any group.
		clear(g.describedAt)
		g.state.Store(before.hold(now))
		return
	}
	next := decodeState(message)
	if next.learning {
		next.held = before.heldBeside(next, now)
	}
	g.state.Store(next)
}

// RetryAfter returns when the caller of a refused query may retry. The times of all
// callers are spread evenly, by their queries' ids, from least up to a third of the time
// that the caller has left, beyond which callers don't wait, and most at the latest.
func RetryAfter(id string, left, least, most time.Duration) time.Duration {
	const callerShare = 3
	span := max(min(left/callerShare, most)-least, 0)
	// The suffix makes the time independent of the query's position, since all refused
	// queries are at high positions.
	return least + time.Duration(Position(id+"/retry")*float64(span))
}
