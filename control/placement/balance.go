package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// balance changes roles of routers that own more than the limit, or far more
// than the router with the least, until the shares are even enough or the
// budget is spent. Each change makes the shares more even, so it comes to an
// end; hence it stops at the budget, in place of planning more than is done.
func (p *placer) balance(shards []Shard, all []roles) {
	if len(p.usable) < 2 {
		return
	}
	byRouter := p.rolesByRouter(all)
	full := make(map[int]bool)
	// The first change may be larger than the budget.
	room := math.MaxInt
	for room > 0 {
		from, to := p.extremes(full)
		if from < 0 || !p.uneven(from, to) {
			return
		}
		n := p.shift(shards, all, byRouter, from, to, room)
		if n == 0 {
			n = p.swap(shards, all, byRouter, from, room)
		}
		if n == 0 {
			full[from] = true
		}
		if n > 0 {
			room = min(room, p.in.Budget) - n
		}
	}
}

// roleRef names one role of one shard.
type roleRef struct {
	shard  int
	second bool
}

func (p *placer) rolesByRouter(all []roles) [][]roleRef {
	out := make([][]roleRef, len(p.in.Routers))
	for i, r := range all {
		out[r.first] = append(out[r.first], roleRef{shard: i})
		if r.second >= 0 {
			out[r.second] = append(out[r.second], roleRef{shard: i, second: true})
		}
	}
	return out
}

// extremes returns the routers with the most and the least targets. Routers
// that nothing can be moved from are left out of the first.
func (p *placer) extremes(full map[int]bool) (most, least int) {
	most, least = -1, -1
	for _, r := range p.usable {
		if !full[r] && (most < 0 || p.owned[r] > p.owned[most]) {
			most = r
		}
		if least < 0 || p.owned[r] < p.owned[least] {
			least = r
		}
	}
	return most, least
}

// uneven reports whether the two routers' shares differ by more than the slack
// on both sides of the mean.
func (p *placer) uneven(from, to int) bool {
	mean := p.mean()
	slack := max(slackTargets, mean*slackShare)
	return float64(p.owned[from]) > mean+slack || float64(p.owned[to]) < mean-slack
}

func (p *placer) mean() float64 {
	total := 0
	for _, r := range p.usable {
		total += p.owned[r]
	}
	return float64(total) / float64(len(p.usable))
}

// shift moves the role of one shard that suits the router to best. It returns
// the number of targets, 0 if no role can be moved there.
func (p *placer) shift(shards []Shard, all []roles, byRouter [][]roleRef, from, to, room int) int {
	best, bestScore := -1, uint64(0)
	for i, ref := range byRouter[from] {
		if p.size(shards, ref) > room || !p.movable(shards, all, ref, from, to) {
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

// swap makes the router the second owner of a shard whose first it is, where
// the other owner has the least. It returns the number of targets, 0 if no swap
// helps. Swaps even out data centres between which no role can move.
func (p *placer) swap(shards []Shard, all []roles, byRouter [][]roleRef, from, room int) int {
	best, least := -1, 0
	for i, ref := range byRouter[from] {
		other := all[ref.shard].second
		if ref.second || other < 0 {
			continue
		}
		gain := p.size(shards, ref) - p.size(shards, roleRef{ref.shard, true})
		helps := gain > 0 && gain <= room && p.owned[other]+gain < p.owned[from]
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

// movable reports whether a move of the role makes the shares more even and
// keeps the shard's owners two, and apart if they were.
func (p *placer) movable(shards []Shard, all []roles, ref roleRef, from, to int) bool {
	r := all[ref.shard]
	other := r.second
	if ref.second {
		other = r.first
	}
	if other == to {
		return false
	}
	if other >= 0 && p.apart(from, other) && !p.apart(to, other) {
		return false
	}
	return p.owned[to]+p.size(shards, ref) < p.owned[from]
}

// size is the number of targets that a role holds.
func (p *placer) size(shards []Shard, ref roleRef) int {
	n := len(shards[ref.shard].Targets)
	first := FirstOwnerShare(n)
	if ref.second {
		return n - first
	}
	return first
}
