package query

import (
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/api"
)

// Candidate is an owner that a shard may be asked at.
type Candidate struct {
	Share
	State OwnerState
}

// ShardPlan is the plan for one shard of a query.
type ShardPlan struct {
	Route      *Route
	Candidates []Candidate
	// Missing is set if the shard can't be asked.
	Missing api.MissingReason
}

// Plan fixes what a query asks: its shards and one index version.
type Plan struct {
	Shards  []ShardPlan
	Version uint64
}

// Candidates returns the owners of a route with what is known of them.
func Candidates(r *Route, l *Learned) []Candidate {
	out := make([]Candidate, len(r.Shares))
	for i, s := range r.Shares {
		out[i] = Candidate{Share: s, State: l.State(r.Shard, s.Owner)}
	}
	return out
}

// serves reports whether the owner can answer from version v as far as known.
func (c *Candidate) serves(v uint64) bool { return slices.Contains(c.State.Versions, v) }

// known reports whether any reply told the owner's versions.
func (c *Candidate) known() bool { return len(c.State.Versions) > 0 }

// Unknown returns the positions of shards that can be asked but of which no
// version is known.
func Unknown(shards []ShardPlan) []int {
	var out []int
	for i := range shards {
		if shards[i].Missing == "" && !slices.ContainsFunc(shards[i].Candidates, func(c Candidate) bool { return c.known() }) {
			out = append(out, i)
		}
	}
	return out
}

// ChooseVersion returns the newest index version that every askable shard can
// serve with at least half of its slots; else the newest that each can serve at
// all; else the one that most shards can serve, the newest of equals. It is 0
// if no version is known.
func ChooseVersion(shards []ShardPlan) uint64 {
	asked := 0
	broad := make(map[uint64]int)
	some := make(map[uint64]int)
	for i := range shards {
		if shards[i].Missing == "" {
			asked++
			shards[i].count(broad, some)
		}
	}
	if v := newest(broad, asked); v != 0 {
		return v
	}
	if v := newest(some, asked); v != 0 {
		return v
	}
	most := 0
	for _, n := range some {
		most = max(most, n)
	}
	return newest(some, most)
}

// count adds one for each version the shard can serve: to some if at all, to
// broad if with at least half of its slots.
func (p *ShardPlan) count(broad, some map[uint64]int) {
	total := 0
	slots := make(map[uint64]int, 4)
	for i := range p.Candidates {
		c := &p.Candidates[i]
		total += c.Slots
		for _, v := range c.State.Versions {
			slots[v] += c.Slots
		}
	}
	for v, n := range slots {
		some[v]++
		if 2*n >= total {
			broad[v]++
		}
	}
}

// newest returns the newest version counted at least n times, 0 if none is.
func newest(counts map[uint64]int, n int) uint64 {
	var best uint64
	for v, c := range counts {
		if c >= n && n > 0 && v > best {
			best = v
		}
	}
	return best
}

const (
	// failedFor is how long an owner that couldn't be reached is avoided.
	failedFor = 300 * time.Millisecond
	// staleAfter is the age at which a learned queue no longer counts.
	staleAfter = time.Second
	// firstBias is how much longer, in proportion, the first owner's queue may
	// be before another owner is asked.
	firstBias = 1.5
)

// ChooseOwner returns the position of the owner to ask for version v, or -1 if
// none can serve it. Tried owners are left out. The first owner is asked unless
// its queue is longer in proportion to its slots.
func ChooseOwner(cs []Candidate, v uint64, tried []int, now time.Time) int {
	best, bestLoad := -1, 0.0
	for i := range cs {
		c := &cs[i]
		if slices.Contains(tried, i) || (c.known() && !c.serves(v)) {
			continue
		}
		load := c.load(now)
		if i > 0 {
			load = load*firstBias + tieBreak
		}
		if now.Sub(c.State.Late) < lateFor {
			load += lateLoad
		}
		if now.Sub(c.State.Failed) < failedFor {
			load += failedLoad
		}
		if best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}

const (
	// tieBreak prefers the first owner when nothing waits anywhere.
	tieBreak = 0.25
	// lateFor is how long a late sub-request counts against an owner, lateLoad
	// how much.
	lateFor  = time.Second
	lateLoad = 2.0
	// failedLoad puts owners that failed of late behind all others.
	failedLoad = 1e6
)

// load returns the jobs that wait a slot, as far as known.
func (c *Candidate) load(now time.Time) float64 {
	if now.Sub(c.State.At) > staleAfter {
		return 0
	}
	slots := c.State.Slots
	if slots == 0 {
		return failedLoad / 2
	}
	return float64(c.State.Queued) / float64(slots)
}
