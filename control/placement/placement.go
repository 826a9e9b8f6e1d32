// Package placement decides which router owns which target. It is a pure
// function: the same input gives the same moves.
//
// A shard's targets are dealt to two owners in different data centres where
// possible: the first holds about two thirds of them, the second the rest.
// Owners are chosen by rendezvous hashing with a bound on each router's share,
// and present owners stay where they can.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmux/peridotmux/topology"
)

const (
	// slackShare is the share above the mean that a router may own before
	// targets move away from it.
	slackShare = 0.25
	// slackTargets is the least number of targets above the mean that is let be.
	slackTargets = 2
)

// Reason says why a target moves.
type Reason string

// Reasons for a move.
const (
	ReasonUnassigned    Reason = "unassigned"
	ReasonOwnerLost     Reason = "owner lost"
	ReasonOwnerDraining Reason = "owner leaves or is quiet"
	ReasonSplit         Reason = "deal to two owners"
	ReasonBalance       Reason = "balance"
)

// urgent reports whether a move can't wait for its turn.
func (r Reason) urgent() bool { return r == ReasonUnassigned || r == ReasonOwnerLost }

// Router is a live router. Out is set if it should own nothing: it leaves, or
// its data centre is quiet.
type Router struct {
	Name       topology.VMName
	DataCentre topology.DataCentre
	Draining   bool
}

// Shard is one shard with its targets in the order of the deployment.
type Shard struct {
	ID      topology.ShardID
	Targets []topology.TargetID
}

// Input is what placement decides on.
type Input struct {
	Routers []Router
	Shards  []Shard
	Current map[topology.TargetID]topology.VMName
	// Budget bounds the moves that can wait. Moves of targets without a live
	// owner don't count.
	Budget int
}

// Move gives a target to a router.
type Move struct {
	Target topology.TargetID
	Shard  topology.ShardID
	From   topology.VMName
	To     topology.VMName
	Reason Reason
}

// NextMoves returns the moves to make now: all that are urgent, and the others of as
// many whole shards as the budget allows, one at least. Without a usable router
// there are none.
func NextMoves(in Input) []Move {
	p := newPlacer(in)
	if len(p.usable) == 0 {
		return nil
	}
	roles := make([]roles, len(in.Shards))
	for i := range in.Shards {
		roles[i] = p.choose(&in.Shards[i])
	}
	if moves := p.moves(roles, in.Budget); len(moves) > 0 {
		return moves
	}
	p.balance(in.Shards, roles)
	return p.moves(roles, math.MaxInt)
}

// moves deals all shards' targets to their owners. A shard's moves go together:
// half of them would look like another placement, and might be taken back.
func (p *placer) moves(want []roles, budget int) []Move {
	var urgent, others []Move
	for i := range p.in.Shards {
		u, o := p.deal(&p.in.Shards[i], want[i])
		urgent = append(urgent, u...)
		if len(u) == 0 && (len(others) == 0 || len(others)+len(o) <= budget) {
			others = append(others, o...)
		}
	}
	return append(urgent, others...)
}

// FirstOwnerShare returns how many of n targets the first owner holds.
func FirstOwnerShare(n int) int {
	first := (2*n + 2) / 3
	if n > 1 && first == n {
		first = n - 1
	}
	return first
}

// roles are a shard's two owners as indexes of routers; second is -1 if there
// is only one router.
type roles struct {
	first, second int
}

type placer struct {
	in     Input
	byName map[topology.VMName]int
	usable []int
	// owned counts the targets that each router would own.
	owned []int
	// limit is the number of targets above which a router gets no more.
	limit  int
	hashes []uint64
}

func newPlacer(in Input) *placer {
	in.Routers = slices.Clone(in.Routers)
	slices.SortFunc(in.Routers, func(a, b Router) int { return cmp.Compare(a.Name, b.Name) })
	p := &placer{
		in:     in,
		byName: make(map[topology.VMName]int, len(in.Routers)),
		owned:  make([]int, len(in.Routers)),
		hashes: make([]uint64, len(in.Routers)),
	}
	for i, r := range in.Routers {
		p.byName[r.Name] = i
		p.hashes[i] = xxhash.Sum64String(string(r.Name))
		if !r.Draining {
			p.usable = append(p.usable, i)
		}
	}
	total := 0
	for _, s := range in.Shards {
		total += len(s.Targets)
	}
	if len(p.usable) > 0 {
		mean := float64(total) / float64(len(p.usable))
		p.limit = int(mean + max(slackTargets, mean*slackShare))
	}
	return p
}

// score ranks router r for a shard, the highest first.
func (p *placer) score(shard uint64, r int) uint64 {
	x := shard ^ p.hashes[r]
	// The finalizer of a 64-bit mixing function spreads the combined hashes.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// holdings counts the shard's targets that each usable router owns now.
func (p *placer) holdings(s *Shard) map[int]int {
	held := make(map[int]int, 2)
	for _, t := range s.Targets {
		if r, ok := p.byName[p.in.Current[t]]; ok && !p.in.Routers[r].Draining {
			held[r]++
		}
	}
	return held
}

// choose picks a shard's owners, present ones first, and counts what they hold.
func (p *placer) choose(s *Shard) roles {
	held := p.holdings(s)
	hash := xxhash.Sum64String(string(s.ID))
	present := make([]int, 0, len(held))
	for r := range held {
		present = append(present, r)
	}
	slices.SortFunc(present, func(a, b int) int {
		return cmp.Or(-cmp.Compare(held[a], held[b]), -cmp.Compare(p.score(hash, a), p.score(hash, b)))
	})
	n := FirstOwnerShare(len(s.Targets))
	out := roles{first: -1, second: -1}
	if len(present) > 0 {
		out.first = present[0]
	} else {
		out.first = p.pick(hash, n, -1)
	}
	p.owned[out.first] += n
	if len(s.Targets) < 2 || len(p.usable) < 2 {
		return out
	}
	rest := len(s.Targets) - n
	out.second = p.second(hash, rest, out.first, present)
	p.owned[out.second] += rest
	return out
}

// second picks the second owner: a present one unless only another is in a
// different data centre than the first.
func (p *placer) second(hash uint64, n, first int, present []int) int {
	for _, r := range present {
		if r != first && p.apart(r, first) {
			return r
		}
	}
	best := p.pick(hash, n, first)
	if p.apart(best, first) {
		return best
	}
	for _, r := range present {
		if r != first {
			return r
		}
	}
	return best
}

func (p *placer) apart(a, b int) bool {
	return p.in.Routers[a].DataCentre != p.in.Routers[b].DataCentre
}

// pick returns the usable router with the highest score that has room for n
// more, in another data centre than other if there is one.
func (p *placer) pick(hash uint64, n, other int) int {
	best, bestRank, bestScore := -1, -1, uint64(0)
	for _, r := range p.usable {
		if r == other {
			continue
		}
		rank := 0
		if other >= 0 && p.apart(r, other) {
			rank += 2
		}
		if p.owned[r]+n <= p.limit {
			rank++
		}
		score := p.score(hash, r)
		if rank > bestRank || (rank == bestRank && score > bestScore) {
			best, bestRank, bestScore = r, rank, score
		}
	}
	return best
}

// deal returns the moves that bring a shard's targets to its owners.
func (p *placer) deal(s *Shard, want roles) (urgent, others []Move) {
	quota := map[int]int{want.first: len(s.Targets)}
	if want.second >= 0 {
		n := FirstOwnerShare(len(s.Targets))
		quota[want.first], quota[want.second] = n, len(s.Targets)-n
	}
	var loose []topology.TargetID
	for _, t := range s.Targets {
		r, ok := p.byName[p.in.Current[t]]
		if ok && quota[r] > 0 {
			quota[r]--
			continue
		}
		loose = append(loose, t)
	}
	for _, t := range loose {
		to := want.first
		if quota[to] == 0 {
			to = want.second
		}
		quota[to]--
		m := Move{
			Target: t, Shard: s.ID, From: p.in.Current[t], To: p.in.Routers[to].Name,
			Reason: p.reason(t, want),
		}
		if m.Reason.urgent() {
			urgent = append(urgent, m)
		} else {
			others = append(others, m)
		}
	}
	return urgent, others
}

func (p *placer) reason(t topology.TargetID, want roles) Reason {
	name, assigned := p.in.Current[t]
	r, live := p.byName[name]
	switch {
	case !assigned || name == "":
		return ReasonUnassigned
	case !live:
		return ReasonOwnerLost
	case p.in.Routers[r].Draining:
		return ReasonOwnerDraining
	case r == want.first || r == want.second:
		return ReasonSplit
	default:
		return ReasonBalance
	}
}
