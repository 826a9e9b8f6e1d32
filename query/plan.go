package query

import (
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/api"
)

// Candidate is an owner that may be sent a shard's sub-request.
type Candidate struct {
	OwnerShare
	State OwnerState
}

// ShardPlan is the plan for one shard of a query.
type ShardPlan struct {
	Route      *Route
	Candidates []Candidate
	// Missing is set if no sub-request can be sent for the shard.
	Missing api.MissingReason
}

// Plan holds the shards of a query and the index version it uses. The version
// is 0 if none is known.
type Plan struct {
	Shards  []ShardPlan
	Version uint64
}

// Candidates returns the owners of a route with their last reported state.
func Candidates(r *Route, states *OwnerStates) []Candidate {
	out := make([]Candidate, len(r.Shares))
	for i, s := range r.Shares {
		out[i] = Candidate{OwnerShare: s, State: states.State(r.Shard, s.Owner)}
	}
	return out
}

// serves reports whether the owner has reported that it serves version v.
func (c *Candidate) serves(v uint64) bool { return slices.Contains(c.State.Versions, v) }

// versionsKnown reports whether the owner has reported any index versions.
func (c *Candidate) versionsKnown() bool { return len(c.State.Versions) > 0 }

// ShardsWithUnknownVersions returns the indexes of the shards that aren't
// missing but whose owners have not reported any index version.
func ShardsWithUnknownVersions(shards []ShardPlan) []int {
	var out []int
	for i := range shards {
		if shards[i].Missing == "" && !slices.ContainsFunc(shards[i].Candidates, func(c Candidate) bool { return c.versionsKnown() }) {
			out = append(out, i)
		}
	}
	return out
}

// ChooseVersion returns the newest index version that every shard which isn't
// missing serves with at least half of its slots; if there is none, the newest
// that each serves at all; else the one that most shards serve, the newest in a
// tie. It returns 0 if no version is known.
func ChooseVersion(shards []ShardPlan) uint64 {
	asked := 0
	majority := make(map[uint64]int)
	some := make(map[uint64]int)
	for i := range shards {
		if shards[i].Missing == "" {
			asked++
			shards[i].countVersions(majority, some)
		}
	}
	if v := newest(majority, asked); v != 0 {
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

// countVersions increments the count of each version that the shard serves: in
// some if it serves it at all, in majority if with at least half of its slots.
func (p *ShardPlan) countVersions(majority, some map[uint64]int) {
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
			majority[v]++
		}
	}
}

// newest returns the newest version with a count of at least n, 0 if there is
// none or n is 0.
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
	// failureAvoidTime is how long an owner is avoided after it was unreachable
	// or had no lease.
	failureAvoidTime = 300 * time.Millisecond
	// queueStaleAfter is the age at which a reported queue is no longer used.
	queueStaleAfter = time.Second
	// latePenaltyTime is how long an owner's weight is multiplied by
	// latePenaltyFactor after a late sub-request.
	latePenaltyTime   = time.Second
	latePenaltyFactor = 0.5
	// lastResortWeight is the weight of owners that are used only if there is no
	// other.
	lastResortWeight = 1e-9
)

// ChooseOwner returns the index of the owner to use for version v, or -1 if
// none can serve it. Owners listed in tried are skipped. draw is uniform in
// [0, 1): owners are chosen at random in proportion to their weights, because all
// routers decide independently on slightly outdated states, and choosing the
// best owner would send all of their load to the same one.
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

// eligible reports whether the owner at the given position may be used for
// version v. An owner whose versions are unknown may be.
func (c *Candidate) eligible(v uint64, tried []int, position int) bool {
	return !slices.Contains(tried, position) && (!c.versionsKnown() || c.serves(v))
}

// weight increases with the owner's slots and decreases with its queue length
// per slot.
func (c *Candidate) weight(now time.Time) float64 {
	if now.Sub(c.State.FailedAt) < failureAvoidTime {
		return lastResortWeight
	}
	w := float64(max(c.Slots, 1))
	if now.Sub(c.State.UpdatedAt) <= queueStaleAfter {
		slots := float64(c.State.Slots)
		if slots == 0 {
			return lastResortWeight
		}
		wait := 1 + float64(c.State.Queued)/slots
		w = slots / (wait * wait)
	}
	if now.Sub(c.State.LateAt) < latePenaltyTime {
		w *= latePenaltyFactor
	}
	return w
}
