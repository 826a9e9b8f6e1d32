package placement_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/peridotmux/peridotmux/control/placement"
	"github.com/peridotmux/peridotmux/topology"
)

const ticks = 400

func routers(n, dcs int) []placement.Router {
	out := make([]placement.Router, n)
	for i := range out {
		out[i] = placement.Router{
			Name:       topology.VMName(fmt.Sprintf("vm-%03d", i)),
			DataCentre: topology.DataCentre(fmt.Sprintf("dc-%d", i%dcs)),
		}
	}
	return out
}

func shards(n, replicas int) []placement.Shard {
	out := make([]placement.Shard, n)
	for i := range out {
		out[i].ID = topology.ShardID(fmt.Sprintf("desk/%04d", i))
		for r := range replicas {
			out[i].Targets = append(out[i].Targets, topology.TargetID(fmt.Sprintf("t-%04d-%d", i, r)))
		}
	}
	return out
}

// settle applies moves until there are none. It returns the number of moves
// and the worst number of moves that could wait in one tick.
func settle(in *placement.Input) (moves, worst int, settled bool) {
	for range ticks {
		next := placement.NextMoves(*in)
		if len(next) == 0 {
			return moves, worst, true
		}
		waiting := 0
		for _, m := range next {
			if m.Reason != placement.ReasonUnassigned && m.Reason != placement.ReasonOwnerLost {
				waiting++
			}
			in.Current[m.Target] = m.To
		}
		moves += len(next)
		worst = max(worst, waiting)
	}
	return moves, worst, false
}

// check compares a settled placement with what a naive reading of the rules
// asks for, and returns a difference.
func check(in *placement.Input) string {
	usable := map[topology.VMName]topology.DataCentre{}
	dcs := map[topology.DataCentre]bool{}
	owned := map[topology.VMName]int{}
	for _, r := range in.Routers {
		if !r.Draining {
			usable[r.Name] = r.DataCentre
			dcs[r.DataCentre] = true
			owned[r.Name] = 0
		}
	}
	total := 0
	for _, s := range in.Shards {
		owners := map[topology.VMName]int{}
		for _, t := range s.Targets {
			o := in.Current[t]
			if _, ok := usable[o]; !ok {
				return fmt.Sprintf("%s is owned by %q, which isn't usable", t, o)
			}
			owners[o]++
			owned[o]++
			total++
		}
		if diff := checkShard(s, owners, usable, len(dcs)); diff != "" {
			return diff
		}
	}
	return checkBalance(owned, usable, total, len(in.Shards), len(in.Shards[0].Targets))
}

func checkShard(
	s placement.Shard, owners map[topology.VMName]int, usable map[topology.VMName]topology.DataCentre, dcs int,
) string {
	want := min(2, len(s.Targets), len(usable))
	if len(owners) != want {
		return fmt.Sprintf("%s has %d owners, want %d", s.ID, len(owners), want)
	}
	if want < 2 {
		return ""
	}
	most, apart := 0, map[topology.DataCentre]bool{}
	for o, n := range owners {
		most = max(most, n)
		apart[usable[o]] = true
	}
	if most != placement.FirstOwnerShare(len(s.Targets)) {
		return fmt.Sprintf("%s: first owner holds %d of %d", s.ID, most, len(s.Targets))
	}
	if dcs > 1 && len(apart) < 2 {
		return fmt.Sprintf("%s: both owners in one data centre", s.ID)
	}
	return ""
}

// checkBalance allows a quarter of the mean, or the targets of one role. Since a
// shard's owners are apart, a data centre holds one role of each shard at most:
// where that forces shares away from the mean, the slack counts from there.
func checkBalance(
	owned map[topology.VMName]int, usable map[topology.VMName]topology.DataCentre, total, shards, replicas int,
) string {
	mean := float64(total) / float64(len(owned))
	high, low := mean, mean
	count := map[topology.DataCentre]int{}
	for _, dc := range usable {
		count[dc]++
	}
	first := placement.FirstOwnerShare(replicas)
	for _, n := range count {
		if n == len(usable) {
			continue
		}
		high = max(high, float64(shards*(replicas-first))/float64(len(usable)-n))
		low = min(low, float64(shards*first)/float64(n))
	}
	slack := max(mean*0.25, float64(replicas)) + 1
	for vm, n := range owned {
		if float64(n) > high+slack || float64(n) < low-slack {
			return fmt.Sprintf("%s owns %d, the mean is %.1f, forced are %.1f to %.1f", vm, n, mean, low, high)
		}
	}
	return ""
}

func TestPlacementKeepsItsRulesThroughChanges(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(20261204)
	p.MinSuccessfulTests = 300
	properties := gopter.NewProperties(p)
	properties.Property("routers come, leave and die", prop.ForAllNoShrink(
		func(n, replicas int, changes []int) string {
			in := placement.Input{
				Routers: routers(n, 3), Shards: shards(25, replicas),
				Current: map[topology.TargetID]topology.VMName{}, Budget: 4,
			}
			for step, c := range append([]int{-1}, changes...) {
				if c >= 0 {
					change(&in, c, step)
				}
				_, worst, settled := settle(&in)
				if !settled || worst > max(in.Budget, replicas) {
					return fmt.Sprintf("after change %d: settled %t, %d moves in a tick", c, settled, worst)
				}
				if diff := check(&in); diff != "" {
					return fmt.Sprintf("after change %d of %v: %s", c, changes, diff)
				}
			}
			return ""
		}, gen.IntRange(1, 12), gen.IntRange(1, 10), gen.SliceOfN(6, gen.IntRange(0, 1000))))
	properties.TestingRun(t)
}

// change lets a router die, leave or come.
func change(in *placement.Input, c, step int) {
	i := c / 4 % len(in.Routers)
	switch c % 4 {
	case 0:
		if len(in.Routers) > 1 {
			in.Routers = append(in.Routers[:i:i], in.Routers[i+1:]...)
		}
	case 1:
		in.Routers = append([]placement.Router{}, in.Routers...)
		in.Routers[i].Draining = !in.Routers[i].Draining
	default:
		in.Routers = append(in.Routers[:len(in.Routers):len(in.Routers)], placement.Router{
			Name:       topology.VMName(fmt.Sprintf("new-%d-%d", c, step)),
			DataCentre: topology.DataCentre(fmt.Sprintf("dc-%d", c%3)),
		})
	}
	for _, r := range in.Routers {
		if !r.Draining {
			return
		}
	}
	in.Routers = append([]placement.Router{}, in.Routers...)
	in.Routers[0].Draining = false
}

func placed(n int) *placement.Input {
	in := &placement.Input{
		Routers: routers(n, 3), Shards: shards(25, 3),
		Current: map[topology.TargetID]topology.VMName{}, Budget: 4,
	}
	settle(in)
	return in
}

func TestDeadRoutersTargetsMoveAtOnceAndOthersStay(t *testing.T) {
	in := placed(8)
	before := maps.Clone(in.Current)
	dead := in.Routers[3].Name
	in.Routers = append(in.Routers[:3:3], in.Routers[4:]...)
	lost := 0
	for _, o := range before {
		if o == dead {
			lost++
		}
	}
	urgent := 0
	for _, m := range placement.NextMoves(*in) {
		if m.Reason == placement.ReasonOwnerLost {
			urgent++
		}
	}
	if urgent != lost {
		t.Errorf("%d of the dead router's %d targets move at once", urgent, lost)
	}
	moves, _, _ := settle(in)
	if moves > 2*lost {
		t.Errorf("%d moves for the loss of %d targets", moves, lost)
	}
}

func TestSettledPlacementIsStable(t *testing.T) {
	in := placed(8)
	if moves := placement.NextMoves(*in); len(moves) > 0 {
		t.Errorf("moves without a change: %v", moves)
	}
}

func TestNewRouterTakesItsShareAndNoMore(t *testing.T) {
	in := placed(7)
	in.Routers = append(in.Routers, routers(8, 3)[7])
	moves, _, _ := settle(in)
	mean := 25 * 3 / 8
	if moves > 2*mean {
		t.Errorf("%d moves for a new router, the mean is %d", moves, mean)
	}
}

func BenchmarkPlacement(b *testing.B) {
	in := placement.Input{
		Routers: routers(810, 8), Shards: shards(470, 10),
		Current: map[topology.TargetID]topology.VMName{}, Budget: 94,
	}
	moves, _, settled := settle(&in)
	b.Logf("%d moves to the first settled placement: %t", moves, settled)
	b.Run("settled", func(b *testing.B) {
		for b.Loop() {
			placement.NextMoves(in)
		}
	})
	b.Run("router lost", func(b *testing.B) {
		lost := in
		lost.Routers = in.Routers[1:]
		for b.Loop() {
			placement.NextMoves(lost)
		}
	})
}
