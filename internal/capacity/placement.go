package main

import (
	"time"

	"github.com/peridotmux/peridotmux/control/placement"
)

// threeReplicas and manyReplicas are the numbers of replicas per shard in the
// two interpretations of the demand: shards of three replicas, of which a query
// is sent to 210, or 210 shards that share all replicas.
const (
	threeReplicas = 3
	manyReplicas  = projectedReplicas / projectedShards
)

// PlacementResult describes the placement at the projected size. It is stored
// as JSON under the names of its fields.
type PlacementResult struct {
	// Replicas is the number of replicas per shard.
	Replicas int
	// Owners is the number of routers that own targets, Most the largest number
	// of targets that one router owns.
	Owners, Most int
	// First is the duration of the initial placement, Settled that of a
	// placement without moves, in milliseconds.
	First, Settled float64
	// Lost holds the numbers of moves after the loss of one router, of eight
	// routers, and of a data centre.
	Lost [3]int
	// LostMS holds the durations of these placements in milliseconds.
	LostMS [3]float64
	// BusiestShare is the largest number of one query's first sub-requests that
	// a single router receives, as a multiple of the mean over all routers.
	BusiestShare float64
}

// applyMoves updates the current assignments of in.
func applyMoves(in *placement.Input, moves []placement.Move) {
	for _, m := range moves {
		in.Current[m.Target] = m.To
	}
}

// timePlacement returns the moves of the next placement and its duration in
// milliseconds.
func timePlacement(in placement.Input) ([]placement.Move, float64) {
	start := time.Now()
	moves := placement.NextMoves(in)
	return moves, micros(time.Since(start)) / 1e3
}

// placeUntilStable applies placements until one has no moves, 100 at most.
func placeUntilStable(in *placement.Input) {
	for range 100 {
		moves := placement.NextMoves(*in)
		if len(moves) == 0 {
			return
		}
		applyMoves(in, moves)
	}
}

// fitPlacement measures the duration of a placement without moves, and the
// placements at the projected size with either number of replicas per shard.
func fitPlacement(out *measurements) error {
	s := Slope{
		Key: "placement-time", Title: "Placement that changes nothing, routers and targets in ratio",
		XLabel: "routers", YLabel: "milliseconds",
	}
	var err error
	out.PlacementTime, err = measureSizes(s, []int{101, 202, 405, projectedNodes}, func(n int) (float64, error) {
		sh := clusterShape{n, threeReplicas}
		in := sh.placementInput(sh.deployment())
		placeUntilStable(&in)
		_, ms := timePlacement(in)
		return ms, nil
	})
	out.Placed = []PlacementResult{measurePlacement(threeReplicas), measurePlacement(manyReplicas)}
	return err
}

// measurePlacement computes the placement at the projected size and the moves
// after losses.
func measurePlacement(replicas int) PlacementResult {
	sh := clusterShape{projectedNodes, replicas}
	in := sh.placementInput(sh.deployment())
	p := PlacementResult{Replicas: replicas}
	moves, ms := timePlacement(in)
	p.First = ms
	applyMoves(&in, moves)
	placeUntilStable(&in)
	_, p.Settled = timePlacement(in)
	p.countShares(in)
	for i, lost := range []func(int) bool{
		func(r int) bool { return r == 0 },
		func(r int) bool { return r < 8 },
		func(r int) bool { return r%projectedDCs == 0 },
	} {
		moves, p.LostMS[i] = timePlacement(withoutRouters(in, lost))
		p.Lost[i] = len(moves)
	}
	return p
}

// withoutRouters returns in without the routers at the indices for which lost
// returns true.
func withoutRouters(in placement.Input, lost func(int) bool) placement.Input {
	var remaining []placement.Router
	for i, r := range in.Routers {
		if !lost(i) {
			remaining = append(remaining, r)
		}
	}
	in.Routers = remaining
	return in
}

// countShares sets Owners, Most and BusiestShare. Every shard counts as queried
// equally often, with its first sub-request at the router that owns most of its
// targets.
func (p *PlacementResult) countShares(in placement.Input) {
	owned := make(map[string]int)
	firstRequests := make(map[string]int)
	for _, s := range in.Shards {
		shardTargets := make(map[string]int)
		first := ""
		for _, t := range s.Targets {
			owner := string(in.Current[t])
			owned[owner]++
			shardTargets[owner]++
			if first == "" || shardTargets[owner] > shardTargets[first] {
				first = owner
			}
		}
		firstRequests[first]++
	}
	busiest := 0
	for owner, n := range owned {
		p.Most = max(p.Most, n)
		busiest = max(busiest, firstRequests[owner])
	}
	p.Owners = len(owned)
	p.BusiestShare = float64(busiest) * float64(len(in.Routers)) / float64(len(in.Shards))
}
