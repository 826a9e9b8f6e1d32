package placement

import (
	"github.com/cespare/xxhash/v2"
)

// balance moves roles from routers that own more than the limit, or that own
// far more than the router with the least, until the shares are even enough.
func (p *placer) balance(shards []Shard, all []roles) {
	if len(p.usable) < 2 {
		return
	}
	byRouter := p.rolesByRouter(all)
	full := make(map[int]bool)
	for range len(shards) {
		from, to := p.extremes(full)
		if from < 0 || !p.uneven(from, to) {
			return
		}
		if !p.shift(shards, all, byRouter, from, to) {
			full[from] = true
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

// shift moves the role of one shard that suits the router to best. It reports
// false if no role can be moved there.
func (p *placer) shift(shards []Shard, all []roles, byRouter [][]roleRef, from, to int) bool {
	best, bestScore := -1, uint64(0)
	for i, ref := range byRouter[from] {
		if !p.movable(shards, all, ref, from, to) {
			continue
		}
		score := p.score(xxhash.Sum64String(string(shards[ref.shard].ID)), to)
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return false
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
	return true
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
	first := FirstShare(n)
	if ref.second {
		return n - first
	}
	return first
}
