package query

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/topology"
)

func randomShards(rng *rand.Rand) []ShardPlan {
	shards := make([]ShardPlan, 1+rng.IntN(6))
	for i := range shards {
		if rng.IntN(8) == 0 {
			shards[i].Missing = api.MissingQuiet
			continue
		}
		for j := range 1 + rng.IntN(3) {
			c := Candidate{OwnerShare: OwnerShare{Owner: topology.VMName(rune('a' + j)), Targets: 1, Slots: 1 + rng.IntN(6)}}
			for v := uint64(5); v > 0; v-- {
				if rng.IntN(2) == 0 {
					c.State.Versions = append(c.State.Versions, v)
				}
			}
			shards[i].Candidates = append(shards[i].Candidates, c)
		}
	}
	return shards
}

// servedBy returns the slots that serve v, and all slots.
func servedBy(p ShardPlan, v uint64) (serving, all int) {
	for _, c := range p.Candidates {
		all += c.Slots
		if c.serves(v) {
			serving += c.Slots
		}
	}
	return serving, all
}

// naiveVersion tries the versions one by one, by each rule in turn.
func naiveVersion(shards []ShardPlan) uint64 {
	rules := []func(ShardPlan, uint64) bool{
		func(p ShardPlan, v uint64) bool { s, all := servedBy(p, v); return 2*s >= all && s > 0 },
		func(p ShardPlan, v uint64) bool { s, _ := servedBy(p, v); return s > 0 },
	}
	for _, rule := range rules {
		for v := uint64(5); v > 0; v-- {
			good, asked := 0, 0
			for _, p := range shards {
				if p.Missing == "" {
					asked++
					if rule(p, v) {
						good++
					}
				}
			}
			if good == asked && asked > 0 {
				return v
			}
		}
	}
	best, most := uint64(0), 0
	for v := uint64(5); v > 0; v-- {
		good := 0
		for _, p := range shards {
			if s, _ := servedBy(p, v); s > 0 && p.Missing == "" {
				good++
			}
		}
		if good > most {
			best, most = v, good
		}
	}
	return best
}

func TestVersionIsTheNaiveOne(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	properties.Property("same version", prop.ForAll(func(seed uint64) bool {
		shards := randomShards(rand.New(rand.NewPCG(seed, 4)))
		return ChooseVersion(shards) == naiveVersion(shards)
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestOwnerChoice(t *testing.T) {
	now := time.Unix(100, 0)
	at := func(name topology.VMName, queued, slots int, failed time.Time) Candidate {
		return Candidate{
			OwnerShare: OwnerShare{Owner: name, Slots: slots},
			State:      OwnerState{Owner: name, Queued: queued, Slots: slots, UpdatedAt: now, FailedAt: failed, Versions: []uint64{1}},
		}
	}
	old := at("a", 90, 6, time.Time{})
	old.State.UpdatedAt = now.Add(-time.Minute)
	other := at("b", 0, 3, time.Time{})
	other.State.Versions = []uint64{2}
	late := at("a", 0, 6, time.Time{})
	late.State.LateAt = now
	cases := []struct {
		name  string
		cs    []Candidate
		tried []int
		// from and to bound the first owner's share of the draws; none says
		// that no owner is found.
		from, to float64
		none     bool
	}{
		{"idle: by slots", []Candidate{at("a", 0, 6, time.Time{}), at("b", 0, 3, time.Time{})}, nil, 0.66, 0.67, false},
		{"equal queues: by slots", []Candidate{at("a", 6, 6, time.Time{}), at("b", 3, 3, time.Time{})}, nil, 0.66, 0.67, false},
		{"first much longer", []Candidate{at("a", 12, 6, time.Time{}), at("b", 0, 3, time.Time{})}, nil, 0.1, 0.25, false},
		{"first has no slots", []Candidate{at("a", 0, 0, time.Time{}), at("b", 3, 3, time.Time{})}, nil, 0, 0, false},
		{"first failed of late", []Candidate{at("a", 0, 6, now), at("b", 3, 3, time.Time{})}, nil, 0, 0, false},
		{"first late", []Candidate{late, at("b", 0, 3, time.Time{})}, nil, 0.49, 0.51, false},
		{"old news don't count", []Candidate{old, at("b", 0, 6, time.Time{})}, nil, 0.49, 0.51, false},
		{"first was tried", []Candidate{at("a", 0, 6, time.Time{}), at("b", 9, 3, time.Time{})}, []int{0}, 0, 0, false},
		{"second lacks the version", []Candidate{at("a", 99, 6, time.Time{}), other}, nil, 1, 1, false},
		{"nobody is left", []Candidate{at("a", 0, 6, time.Time{})}, []int{0}, 0, 0, true},
	}
	const draws = 1000
	for _, c := range cases {
		first, none := 0, 0
		for i := range draws {
			switch ChooseOwner(c.cs, 1, c.tried, (float64(i)+0.5)/draws, now) {
			case 0:
				first++
			case -1:
				none++
			}
		}
		share := float64(first) / draws
		if share < c.from || share > c.to || (none > 0) != c.none {
			t.Errorf("%s: the first owner got %.3f, want %.2f to %.2f; %d found none", c.name, share, c.from, c.to, none)
		}
	}
}
