package query

import (
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/api"
)

// Candidate is an owner that a shard may be asked at.
type Candidate struct {
	OwnerShare
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
func Candidates(r *Route, l *OwnerStates) []Candidate {
	out := make([]Candidate, len(r.Shares))
	for i, s := range r.Shares {
		out[i] = Candidate{OwnerShare: s, State: l.State(r.Shard, s.Owner)}
	}
	return out
}

// serves reports whether the owner can answer from version v as far as known.
func (c *Candidate) serves(v uint64) bool { return slices.Contains(c.State.Versions, v) }

// known reports whether any reply told the owner's versions.
func (c *Candidate) known() bool { return len(c.State.Versions) > 0 }

// ShardsWithUnknownVersions returns the positions of shards that can be asked but of which no
// version is known.
func ShardsWithUnknownVersions(shards []ShardPlan) []int {
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
	// lateFor is how long a late sub-request counts against an owner, lateWeight
	// how much.
	lateFor    = time.Second
	lateWeight = 0.5
	// lastResort is the weight of owners that had better not be asked.
	lastResort = 1e-9
)

// ChooseOwner returns the position of the owner to ask for version v, or -1 if
// none can serve it. Tried owners are left out. Draw is uniform in [0, 1): the
// owners are asked in proportion to their weights, since every entry decides by
// itself on news that are a little old, and would send all to one owner if it
// asked the best.
func ChooseOwner(cs []Candidate, v uint64, tried []int, draw float64, now time.Time) int {
	total := 0.0
	for i := range cs {
		if cs[i].eligible(v, tried, i) {
			total += cs[i].weight(now)
		}
	}
	last, left := -1, draw*total
	for i := range cs {
		if !cs[i].eligible(v, tried, i) {
			continue
		}
		last = i
		left -= cs[i].weight(now)
		if left < 0 {
			return i
		}
	}
	return last
}

func (c *Candidate) eligible(v uint64, tried []int, position int) bool {
	return !slices.Contains(tried, position) && (!c.known() || c.serves(v))
}

// weight grows with the owner's open slots and falls with its queue for them.
func (c *Candidate) weight(now time.Time) float64 {
	if now.Sub(c.State.FailedAt) < failedFor {
		return lastResort
	}
	w := float64(max(c.Slots, 1))
	if now.Sub(c.State.UpdatedAt) <= staleAfter {
		slots := float64(c.State.Slots)
		if slots == 0 {
			return lastResort
		}
		wait := 1 + float64(c.State.Queued)/slots
		w = slots / (wait * wait)
	}
	if now.Sub(c.State.LateAt) < lateFor {
		w *= lateWeight
	}
	return w
}
