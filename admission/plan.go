package admission

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// epsilon absorbs rounding in comparisons of shares.
const epsilon = 1e-9

// Position returns the position of a query among all queries, from 0 to below 1. All
// routers compute the same one from its id.
func Position(id string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
}

// Plan says which queries of a class are admitted and which scarce shards each of them
// leaves out, such that the admitted ones earn the most credit: the square of the share
// of shards covered.
type Plan struct {
	// Admitted is the fraction of queries that are admitted: those at positions below
	// it.
	Admitted float64
	// shares are the fractions of queries that each scarce shard can take.
	shares []float64
}

// NewPlan returns the plan for queries of n shards that may lack some of them. shares
// has an element for each scarce shard: the fraction of the queries that it can take. It
// must not be modified afterwards.
//
// Where the fraction x is admitted, the m shards whose shares are less are left out
// m x - sum(shares) times. Between two shares, and between two whole numbers of shards
// left out for each query, the credit is linear in x, so that only these are compared.
func NewPlan(shares []float64, n, mayLack int) Plan {
	s := search{n: n, mayLack: mayLack}
	sorted := slices.Clone(shares)
	slices.Sort(sorted)
	sum, below := 0.0, 0.0
	for i, share := range sorted {
		share = min(share, 1)
		if !s.try(share, below*share-sum) {
			break
		}
		sum += share
		below = float64(i + 1)
		next := 1.0
		if i+1 < len(sorted) {
			next = min(sorted[i+1], 1)
		}
		for j := 1; j <= min(mayLack, i); j++ {
			if x := sum / (below - float64(j)); x > share && x < next {
				s.try(x, float64(j)*x)
			}
		}
	}
	s.try(1, below-sum)
	return Plan{Admitted: s.admitted, shares: shares}
}

// search keeps the fraction that earns the most credit.
type search struct {
	n, mayLack     int
	admitted, best float64
}

// try compares a fraction x, at which shards are left out some times, with the best one.
// It returns false if the queries would lack too many shards.
func (s *search) try(x, leftOut float64) bool {
	if x <= 0 {
		return true
	}
	left := leftOut / x
	if left > float64(s.mayLack)+epsilon {
		return false
	}
	whole := math.Floor(left + epsilon)
	part := max(0, left-whole)
	v := x * ((1-part)*credit(s.n, whole) + part*credit(s.n, whole+1))
	if v > s.best+epsilon || v > s.best-epsilon && x > s.admitted {
		s.admitted, s.best = x, max(v, s.best)
	}
	return true
}

// credit returns what an answer earns that lacks some of n shards.
func credit(n int, lacks float64) float64 {
	covered := 1 - lacks/float64(n)
	return covered * covered
}

// Used returns the fraction of queries that use the i-th scarce shard.
func (p *Plan) Used(i int) float64 { return min(p.shares[i], p.Admitted) }

// Decide returns whether the query at a position is admitted, and the indexes of the
// scarce shards that it leaves out.
//
// The positions at which a shard is left out are an interval, and those of all shards
// follow one another, around the admitted positions as often as necessary. So each
// query leaves out as many shards as any other one, or one more or less.
func (p *Plan) Decide(position float64) (admitted bool, leaveOut []int) {
	x := p.Admitted
	if position >= x {
		return false, nil
	}
	start := 0.0
	for i, share := range p.shares {
		length := x - share
		if length <= epsilon {
			continue
		}
		after := position - start
		if after < 0 {
			after += x
		}
		if after < length {
			leaveOut = append(leaveOut, i)
		}
		start += length
		if start >= x {
			start -= x
		}
	}
	return true, leaveOut
}
