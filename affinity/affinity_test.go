package affinity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/topology"
)

// fleet is a generated set of gateways and targets of one service.
type fleet struct {
	gateways []Gateway
	targets  []Target
}

func dc(i, dcs int) topology.DataCentre { return topology.DataCentre(fmt.Sprint("dc", i%dcs)) }

// newFleet returns gateways in dcs data centres and targets in targetDCs of them.
func newFleet(gateways, targets, limit, dcs, targetDCs int) *fleet {
	f := &fleet{}
	for i := range gateways {
		f.gateways = append(f.gateways, Gateway{Name: topology.VMName(fmt.Sprint("gateway-", i)), DataCentre: dc(i, dcs)})
	}
	for i := range targets {
		f.targets = append(f.targets, Target{ID: discovery.TargetID(fmt.Sprint("t", i)), DataCentre: dc(i, targetDCs), MaxConnections: limit})
	}
	return f
}

// connections returns the number of kept connections of each target.
func connections(a Assignment, targets int) []int {
	out := make([]int, targets)
	for _, kept := range a.Kept {
		for _, t := range kept {
			out[t]++
		}
	}
	return out
}

// forFleets checks a property over generated fleets.
func forFleets(t *testing.T, name string, check func(f *fleet, rng *rand.Rand) string) {
	t.Helper()
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property(name, prop.ForAll(func(gateways, targets, limit, dcs, targetDCs int, seed uint64) string {
		return check(newFleet(gateways, targets, limit, dcs, min(dcs, targetDCs)), rand.New(rand.NewPCG(seed, 1))) //nolint:gosec // Repeatable.
	}, gen.IntRange(1, 400), gen.IntRange(1, 24), gen.IntRange(1, 300), gen.IntRange(1, 8), gen.IntRange(1, 5), gen.UInt64()))
	properties.TestingRun(t)
}

// All gateways together must not keep more connections to a target than it accepts,
// nor more than a tenth above the mean of its service, and no target twice.
func TestLimitsAndBalance(t *testing.T) {
	forFleets(t, "limits and balance", func(f *fleet, _ *rand.Rand) string {
		a := Assign("s", f.gateways, f.targets)
		total := 0
		for _, kept := range a.Kept {
			total += len(kept)
			if slices.Sort(kept); len(slices.Compact(kept)) != len(kept) {
				return fmt.Sprint("a target twice: ", kept)
			}
		}
		quota := limitShare * float64(f.targets[0].MaxConnections) * float64(len(f.targets)) / float64(len(f.gateways))
		mean := min(quota*float64(len(f.gateways)), float64(len(f.gateways)*len(f.targets))) / float64(len(f.targets))
		for i, n := range connections(a, len(f.targets)) {
			if n > f.targets[i].MaxConnections {
				return fmt.Sprintf("%d connections, limit %d", n, f.targets[i].MaxConnections)
			}
			if a.Scarce && float64(n) > (1+balanceSlack)*mean+1 {
				return fmt.Sprintf("%d connections at a target, mean %.1f", n, mean)
			}
		}
		return ""
	})
}

// The result must not depend on the order in which gateways and targets are listed.
func TestOrderOfInputDoesNotMatter(t *testing.T) {
	forFleets(t, "order", func(f *fleet, rng *rand.Rand) string {
		a := Assign("s", f.gateways, f.targets)
		gs, ts := rng.Perm(len(f.gateways)), rng.Perm(len(f.targets))
		other := &fleet{}
		for _, i := range gs {
			other.gateways = append(other.gateways, f.gateways[i])
		}
		for _, i := range ts {
			other.targets = append(other.targets, f.targets[i])
		}
		b := Assign("s", other.gateways, other.targets)
		for i, g := range gs {
			var kept []int
			for _, t := range b.Kept[i] {
				kept = append(kept, ts[t])
			}
			slices.Sort(kept)
			want := slices.Sorted(slices.Values(a.Kept[g]))
			if !slices.Equal(kept, want) {
				return fmt.Sprintf("gateway %d keeps %v, in another order %v", g, want, kept)
			}
		}
		return ""
	})
}

// changed returns the number of kept connections of b that a lacks, for gateways that
// both have, by name.
func changed(a, b Assignment, fa, fb *fleet) int {
	before := make(map[topology.VMName]map[discovery.TargetID]bool)
	for i, kept := range a.Kept {
		ids := make(map[discovery.TargetID]bool)
		for _, t := range kept {
			ids[fa.targets[t].ID] = true
		}
		before[fa.gateways[i].Name] = ids
	}
	n := 0
	for i, kept := range b.Kept {
		ids, ok := before[fb.gateways[i].Name]
		for _, t := range kept {
			if ok && !ids[fb.targets[t].ID] {
				n++
			}
		}
	}
	return n
}

// One gateway more must move a small part of the connections, and while some gateways
// know of it and others don't, the limits must hold.
func TestOneGatewayMoreMovesLittle(t *testing.T) {
	forFleets(t, "one gateway more", func(f *fleet, rng *rand.Rand) string {
		more := newFleet(len(f.gateways)+1, len(f.targets), f.targets[0].MaxConnections, 5, 3)
		more.targets = f.targets
		copy(more.gateways, f.gateways)
		a, b := Assign("s", f.gateways, f.targets), Assign("s", more.gateways, more.targets)
		total := 0
		for _, kept := range a.Kept {
			total += len(kept)
		}
		if n := changed(a, b, f, more); float64(n) > 0.15*float64(total)+4 {
			return fmt.Sprintf("%d of %d connections moved", n, total)
		}
		mixed := Assignment{Kept: slices.Clone(b.Kept)}
		for i := range a.Kept {
			if rng.IntN(2) == 0 {
				mixed.Kept[i] = a.Kept[i]
			}
		}
		for i, n := range connections(mixed, len(f.targets)) {
			if n > f.targets[i].MaxConnections {
				return fmt.Sprintf("%d connections with mixed views, limit %d", n, f.targets[i].MaxConnections)
			}
		}
		return ""
	})
}

// The number of kept connections must not fall by a step when one gateway joins.
func TestNoStepWithTheNumberOfGateways(t *testing.T) {
	before := 0
	for g := 1; g <= 900; g++ {
		f := newFleet(g, 3, 193, 5, 3)
		total := 0
		for _, kept := range Assign("s", f.gateways, f.targets).Kept {
			total += len(kept)
		}
		if float64(total) < 0.9*float64(before) {
			t.Errorf("%d gateways keep %d connections, one less %d", g, total, before)
		}
		before = total
	}
}

// Gateways must prefer targets of their own data centre, and those of data centres
// without one must be spread.
func TestOwnDataCentreComesFirst(t *testing.T) {
	f := newFleet(290, 3, 250, 5, 3)
	a := Assign("s", f.gateways, f.targets)
	for i, kept := range a.Kept {
		local := slices.ContainsFunc(kept, func(t int) bool { return f.targets[t].DataCentre == f.gateways[i].DataCentre })
		if i%5 < 3 && !local {
			t.Errorf("%s in %s keeps %v", f.gateways[i].Name, f.gateways[i].DataCentre, kept)
		}
	}
}
