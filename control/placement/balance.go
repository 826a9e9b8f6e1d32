package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// balance moves and swaps roles while a router owns more than the slack allows
// above the mean, or less than it allows below, until the shares are even
// enough or the budget is spent. Each change makes the shares more even, so the
// loop terminates. It stops at the budget instead of planning more moves than
// are made now.
func (p *planner) balance(shards []Shard, all []roles) {
	if len(p.usable) < 2 {
		return
	}
	byRouter := p.rolesByRouter(all)
	exhausted := make(map[int]bool)
	// The first change may exceed the budget.
	remaining := math.MaxInt
	for remaining > 0 {
		from, to := p.mostAndLeastLoaded(exhausted)
		if from < 0 || !p.imbalanced(from, to) {
			return
		}
		n := p.moveRole(shards, all, byRouter, from, to, remaining)
		if n == 0 {
			n = p.swapRoles(shards, all, byRouter, from, remaining)
		}
		if n == 0 {
			exhausted[from] = true
		}
		if n > 0 {
			remaining = min(remaining, p.in.Budget) - n
		}
	}
}

// roleRef identifies one of the two ownership roles of a shard: that of its
// first or of its second owner.
type roleRef struct {
	shard  int
	second bool
}

// rolesByRouter returns the roles that each router holds, by router index.
func (p *planner) rolesByRouter(all []roles) [][]roleRef {
	out := make([][]roleRef, len(p.in.Routers))
	for i, r := range all {
		out[r.first] = append(out[r.first], roleRef{shard: i})
		if r.second >= 0 {
			out[r.second] = append(out[r.second], roleRef{shard: i, second: true})
		}
	}
	return out
}

// mostAndLeastLoaded returns the routers with the most and the fewest targets.
// Routers in exhausted, from which nothing can be moved, are not considered for
// most. It returns -1 for most if none is left.
func (p *planner) mostAndLeastLoaded(exhausted map[int]bool) (most, least int) {
	most, least = -1, -1
	for _, r := range p.usable {
		if !exhausted[r] && (most < 0 || p.owned[r] > p.owned[most]) {
			most = r
		}
		if least < 0 || p.owned[r] < p.owned[least] {
			least = r
		}
	}
	return most, least
}

// imbalanced reports whether from is above the mean, or to below it, by more
// than the slack.
func (p *planner) imbalanced(from, to int) bool {
	mean := p.mean()
	slack := max(slackTargets, mean*slackRatio)
	return float64(p.owned[from]) > mean+slack || float64(p.owned[to]) < mean-slack
}

// mean returns the mean number of targets per usable router.
func (p *planner) mean() float64 {
	total := 0
	for _, r := range p.usable {
		total += p.owned[r]
	}
	return float64(total) / float64(len(p.usable))
}

// moveRole moves one role from router from to router to, the one with the
// highest score for it. It returns the number of targets moved, 0 if no role
// can be moved.
func (p *planner) moveRole(shards []Shard, all []roles, byRouter [][]roleRef, from, to, remaining int) int {
	best, bestScore := -1, uint64(0)
	for i, ref := range byRouter[from] {
		if p.size(shards, ref) > remaining || !p.canMove(shards, all, ref, from, to) {
			continue
		}
		score := p.score(xxhash.Sum64String(string(shards[ref.shard].ID)), to)
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return 0
	}
	ref := byRouter[from][best]
	byRouter[from] = append(byRouter[from][:best], byRouter[from][best+1:]...)
	byRouter[to] = append(byRouter[to], ref)
	n := p.size(shards, ref)
	p.owned[from] -= n
	p.owned[to] += n
	if ref.second {
		all[ref.shard].second = to
	} else {
		all[ref.shard].first = to
	}
	return n
}

// swapRoles swaps the owners of one shard of which from is the first owner, so
// that from becomes the second. Among the shards it picks the one whose other
// owner has the fewest targets. It returns the number of targets moved, 0 if no
// swap helps. Swaps balance data centres between which no role can be moved.
func (p *planner) swapRoles(shards []Shard, all []roles, byRouter [][]roleRef, from, remaining int) int {
	best, least := -1, 0
	for i, ref := range byRouter[from] {
		other := all[ref.shard].second
		if ref.second || other < 0 {
			continue
		}
		gain := p.size(shards, ref) - p.size(shards, roleRef{ref.shard, true})
		helps := gain > 0 && gain <= remaining && p.owned[other]+gain < p.owned[from]
		if helps && (best < 0 || p.owned[other] < least) {
			best, least = i, p.owned[other]
		}
	}
	if best < 0 {
		return 0
	}
	ref := byRouter[from][best]
	r := &all[ref.shard]
	gain := p.size(shards, ref) - p.size(shards, roleRef{ref.shard, true})
	p.owned[r.first] -= gain
	p.owned[r.second] += gain
	byRouter[from][best].second = true
	for i, o := range byRouter[r.second] {
		if o.shard == ref.shard {
			byRouter[r.second][i].second = false
		}
	}
	r.first, r.second = r.second, r.first
	return gain
}

// canMove reports whether moving the role makes the shares more even, leaves
// the shard with two distinct owners, and keeps them in different data centres
// if they were.
func (p *planner) canMove(shards []Shard, all []roles, ref roleRef, from, to int) bool {
	r := all[ref.shard]
	other := r.second
	if ref.second {
		other = r.first
	}
	if other == to {
		return false
	}
	if other >= 0 && p.differentDCs(from, other) && !p.differentDCs(to, other) {
		return false
	}
	return p.owned[to]+p.size(shards, ref) < p.owned[from]
}

// size returns the number of targets that a role holds.
func (p *planner) size(shards []Shard, ref roleRef) int {
	n := len(shards[ref.shard].Targets)
	first := FirstOwnerShare(n)
	if ref.second {
		return n - first
	}
	return first
}
