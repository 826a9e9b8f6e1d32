package main

import (
	"time"

	"github.com/peridotmux/peridotmux/control/placement"
)

// threeReplicas and manyReplicas are the two ways to read the demand: shards of
// three replicas of which a query asks 210, or 210 shards that share all.
const (
	threeReplicas = 3
	manyReplicas  = replicasAhead / shardsAhead
)

// Placed tells how placement deals the load at full size.
type Placed struct {
	Replicas int
	// Owners counts routers that own targets, Most the most targets of one.
	Owners, Most int
	// First is the time of the first placement, Settled that of one that
	// changes nothing, in milliseconds.
	First, Settled float64
	// Lost are the moves after one router, eight, and a data centre are lost.
	Lost [3]int
	// LostMS are the times of these placements.
	LostMS [3]float64
	// BusiestShare is the largest share of one query's first sub-requests that
	// one router's shards take, as a multiple of the mean.
	BusiestShare float64
}

func apply(in *placement.Input, moves []placement.Move) {
	for _, m := range moves {
		in.Current[m.Target] = m.To
	}
}

func timed(in placement.Input) ([]placement.Move, float64) {
	begun := time.Now()
	moves := placement.NextMoves(in)
	return moves, micros(time.Since(begun)) / 1e3
}

// settle places until nothing moves any more.
func settle(in *placement.Input) {
	for range 100 {
		moves := placement.NextMoves(*in)
		if len(moves) == 0 {
			return
		}
		apply(in, moves)
	}
}

// placementSlopes measures the time of a placement that changes nothing, and
// places both shapes at full size.
func placementSlopes(f *figures) error {
	s := Slope{
		Key: "placement-time", Title: "Placement that changes nothing, routers and targets in ratio",
		XLabel: "routers", YLabel: "milliseconds",
	}
	var err error
	f.PlacementTime, err = measureSizes(s, []int{101, 202, 405, nodesAhead}, func(n int) (float64, error) {
		sh := shape{n, threeReplicas}
		in := sh.placementInput(sh.deployment())
		settle(&in)
		_, ms := timed(in)
		return ms, nil
	})
	f.Placed = []Placed{place(threeReplicas), place(manyReplicas)}
	return err
}

func place(replicas int) Placed {
	sh := shape{nodesAhead, replicas}
	in := sh.placementInput(sh.deployment())
	p := Placed{Replicas: replicas}
	moves, ms := timed(in)
	p.First = ms
	apply(&in, moves)
	settle(&in)
	_, p.Settled = timed(in)
	p.count(in)
	for i, gone := range []func(int) bool{
		func(r int) bool { return r == 0 },
		func(r int) bool { return r < 8 },
		func(r int) bool { return r%dcsAhead == 0 },
	} {
		moves, p.LostMS[i] = timed(without(in, gone))
		p.Lost[i] = len(moves)
	}
	return p
}

func without(in placement.Input, gone func(int) bool) placement.Input {
	var left []placement.Router
	for i, r := range in.Routers {
		if !gone(i) {
			left = append(left, r)
		}
	}
	in.Routers = left
	return in
}

// count works out who owns how much, and who gets most of the first
// sub-requests if each shard is asked alike.
func (p *Placed) count(in placement.Input) {
	owned := make(map[string]int)
	firsts := make(map[string]int)
	for _, s := range in.Shards {
		held := make(map[string]int)
		first := ""
		for _, t := range s.Targets {
			owner := string(in.Current[t])
			owned[owner]++
			held[owner]++
			if first == "" || held[owner] > held[first] {
				first = owner
			}
		}
		firsts[first]++
	}
	most := 0
	for owner, n := range owned {
		p.Most = max(p.Most, n)
		most = max(most, firsts[owner])
	}
	p.Owners = len(owned)
	p.BusiestShare = float64(most) * float64(len(in.Routers)) / float64(len(in.Shards))
}
