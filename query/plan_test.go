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
			c := Candidate{Share: Share{Owner: topology.VMName(rune('a' + j)), Targets: 1, Slots: 1 + rng.IntN(6)}}
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
			Share: Share{Owner: name, Slots: slots},
			State: OwnerState{Owner: name, Queued: queued, Slots: slots, At: now, Failed: failed, Versions: []uint64{1}},
		}
	}
	old := at("a", 90, 6, time.Time{})
	old.State.At = now.Add(-time.Minute)
	other := at("b", 0, 3, time.Time{})
	other.State.Versions = []uint64{2}
	cases := []struct {
		name  string
		cs    []Candidate
		tried []int
		want  int
	}{
		{"idle", []Candidate{at("a", 0, 6, time.Time{}), at("b", 0, 3, time.Time{})}, nil, 0},
		{"first slightly longer", []Candidate{at("a", 3, 6, time.Time{}), at("b", 1, 3, time.Time{})}, nil, 0},
		{"first much longer", []Candidate{at("a", 12, 6, time.Time{}), at("b", 1, 3, time.Time{})}, nil, 1},
		{"first has no slots", []Candidate{at("a", 0, 0, time.Time{}), at("b", 3, 3, time.Time{})}, nil, 1},
		{"first failed of late", []Candidate{at("a", 0, 6, now), at("b", 3, 3, time.Time{})}, nil, 1},
		{"old news don't count", []Candidate{old, at("b", 1, 3, time.Time{})}, nil, 0},
		{"first was tried", []Candidate{at("a", 0, 6, time.Time{}), at("b", 9, 3, time.Time{})}, []int{0}, 1},
		{"second lacks the version", []Candidate{at("a", 99, 6, time.Time{}), other}, nil, 0},
		{"nobody is left", []Candidate{at("a", 0, 6, time.Time{})}, []int{0}, -1},
	}
	for _, c := range cases {
		if got := ChooseOwner(c.cs, 1, c.tried, now); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}
