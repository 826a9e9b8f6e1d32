// Package placement decides which router owns which target. Its functions are
// pure: the same input gives the same moves.
//
// A shard's targets are split between two owners, in different data centres
// where possible: the first owner holds about two thirds of them, the second
// owner the rest. Owners are chosen by rendezvous hashing with a limit on each
// router's share, and current owners keep their targets where they can.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmux/peridotmux/topology"
)

const (
	// slackRatio is how far above the mean, as a share of it, a router's number
	// of targets may be before some of them move away.
	slackRatio = 0.25
	// slackTargets is the lower bound of the slack, in targets.
	slackTargets = 2
)

// Reason is the reason for a move. Its text is logged and used as a metric
// label.
type Reason string

// Reasons for a move.
const (
	ReasonUnassigned    Reason = "unassigned"
	ReasonOwnerLost     Reason = "owner lost"
	ReasonOwnerDraining Reason = "owner leaves or is quiet"
	ReasonSplit         Reason = "deal to two owners"
	ReasonBalance       Reason = "balance"
)

// urgent reports whether the move must be made at once, regardless of the
// budget.
func (r Reason) urgent() bool { return r == ReasonUnassigned || r == ReasonOwnerLost }

// Router is a live router.
type Router struct {
	Name       topology.VMName
	DataCentre topology.DataCentre
	// Draining is true if the router should own no targets, because it is
	// leaving or its data centre is quiet.
	Draining bool
}

// Shard is one shard with its targets, in deployment order.
type Shard struct {
	ID      topology.ShardID
	Targets []topology.TargetID
}

// Input is the state that placement decides on.
type Input struct {
	Routers []Router
	Shards  []Shard
	Current map[topology.TargetID]topology.VMName
	// Budget limits the moves that are not urgent. Moves of targets without a
	// live owner don't count.
	Budget int
}

// Move transfers a target from one router to another. From is empty if the
// target had no owner.
type Move struct {
	Target topology.TargetID
	Shard  topology.ShardID
	From   topology.VMName
	To     topology.VMName
	Reason Reason
}

// NextMoves returns the moves to make now: all urgent ones, and the other moves
// of as many whole shards as the budget allows, but of at least one. It returns
// none if there is no usable router.
func NextMoves(in Input) []Move {
	p := newPlanner(in)
	if len(p.usable) == 0 {
		return nil
	}
	roles := make([]roles, len(in.Shards))
	for i := range in.Shards {
		roles[i] = p.chooseOwners(&in.Shards[i])
	}
	if moves := p.moves(roles, in.Budget); len(moves) > 0 {
		return moves
	}
	p.balance(in.Shards, roles)
	return p.moves(roles, math.MaxInt)
}

// moves returns the moves that bring all shards to their owners. The moves of a
// shard are made together: half of them would look like a different placement
// and might be reverted.
func (p *planner) moves(want []roles, budget int) []Move {
	var urgent, others []Move
	for i := range p.in.Shards {
		u, o := p.shardMoves(&p.in.Shards[i], want[i])
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

// roles holds a shard's two owners as indexes into Input.Routers. second is -1
// if the shard has only one owner.
type roles struct {
	first, second int
}

// planner holds the working state of one call of NextMoves.
type planner struct {
	in     Input
	byName map[topology.VMName]int
	// usable lists the routers that may own targets.
	usable []int
	// owned is the number of targets that each router would own.
	owned []int
	// softLimit is the number of targets above which pick prefers another
	// router.
	softLimit int
	// hashes holds the hash of each router's name.
	hashes []uint64
}

func newPlanner(in Input) *planner {
	in.Routers = slices.Clone(in.Routers)
	slices.SortFunc(in.Routers, func(a, b Router) int { return cmp.Compare(a.Name, b.Name) })
	p := &planner{
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
		p.softLimit = int(mean + max(slackTargets, mean*slackRatio))
	}
	return p
}

// score returns the rendezvous hash of router r for a shard. The highest score
// wins.
func (p *planner) score(shard uint64, r int) uint64 {
	x := shard ^ p.hashes[r]
	// This is the finalizer of MurmurHash3, which spreads the combined hashes.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// targetsByRouter returns how many of the shard's targets each usable router
// owns now.
func (p *planner) targetsByRouter(s *Shard) map[int]int {
	held := make(map[int]int, 2)
	for _, t := range s.Targets {
		if r, ok := p.byName[p.in.Current[t]]; ok && !p.in.Routers[r].Draining {
			held[r]++
		}
	}
	return held
}

// chooseOwners picks a shard's owners, current ones first, and adds their
// targets to owned.
func (p *planner) chooseOwners(s *Shard) roles {
	held := p.targetsByRouter(s)
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
	out.second = p.chooseSecond(hash, rest, out.first, present)
	p.owned[out.second] += rest
	return out
}

// chooseSecond picks the second owner: a current owner, unless only another
// router is in a different data centre than the first owner.
func (p *planner) chooseSecond(hash uint64, n, first int, present []int) int {
	for _, r := range present {
		if r != first && p.differentDCs(r, first) {
			return r
		}
	}
	best := p.pick(hash, n, first)
	if p.differentDCs(best, first) {
		return best
	}
	for _, r := range present {
		if r != first {
			return r
		}
	}
	return best
}

// differentDCs reports whether two routers are in different data centres.
func (p *planner) differentDCs(a, b int) bool {
	return p.in.Routers[a].DataCentre != p.in.Routers[b].DataCentre
}

// pick returns the usable router with the highest score, preferring a router in
// another data centre than other, then one that has room for n more targets.
func (p *planner) pick(hash uint64, n, other int) int {
	best, bestRank, bestScore := -1, -1, uint64(0)
	for _, r := range p.usable {
		if r == other {
			continue
		}
		rank := 0
		if other >= 0 && p.differentDCs(r, other) {
			rank += 2
		}
		if p.owned[r]+n <= p.softLimit {
			rank++
		}
		score := p.score(hash, r)
		if rank > bestRank || (rank == bestRank && score > bestScore) {
			best, bestRank, bestScore = r, rank, score
		}
	}
	return best
}

// shardMoves returns the moves that bring a shard's targets to its owners.
func (p *planner) shardMoves(s *Shard, want roles) (urgent, others []Move) {
	quota := map[int]int{want.first: len(s.Targets)}
	if want.second >= 0 {
		n := FirstOwnerShare(len(s.Targets))
		quota[want.first], quota[want.second] = n, len(s.Targets)-n
	}
	var unplaced []topology.TargetID
	for _, t := range s.Targets {
		r, ok := p.byName[p.in.Current[t]]
		if ok && quota[r] > 0 {
			quota[r]--
			continue
		}
		unplaced = append(unplaced, t)
	}
	for _, t := range unplaced {
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

// reason returns why target t has to leave its current owner, if it has one.
func (p *planner) reason(t topology.TargetID, want roles) Reason {
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
