package query

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/peridotmux/peridotmux/topology"
)

// naiveShares pours the rate out in small drops, each to the kind that has
// least for its weight and still wants more.
func naiveShares(kinds map[topology.KindName]KindDemand, rate float64) map[topology.KindName]float64 {
	const drops = 20000
	got := make(map[topology.KindName]float64)
	for range drops {
		var least topology.KindName
		for name, k := range kinds {
			if got[name] >= k.AverageOffered {
				continue
			}
			if least == "" || got[name]/k.Weight < got[least]/kinds[least].Weight {
				least = name
			}
		}
		if least == "" {
			break
		}
		got[least] += rate / drops
	}
	return got
}

func TestSharesAreTheNaiveOnes(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(4))
	properties.Property("weighted max-min", prop.ForAll(func(seed uint64) bool {
		rng := rand.New(rand.NewPCG(seed, 5))
		kinds := make(map[topology.KindName]KindDemand)
		for _, name := range []topology.KindName{"a", "b", "c", "d"} {
			kinds[name] = KindDemand{Weight: 0.1 + 8*rng.Float64(), AverageOffered: 100 * rng.Float64()}
		}
		rate := 300 * rng.Float64()
		got, want := WeightedShares(kinds, rate), naiveShares(kinds, rate)
		for name := range kinds {
			if math.Abs(got[name]-want[name]) > 0.5 {
				return false
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// TestOverloadKeepsGoodputAndStarvesNoKind offers twice what a queue with one
// server carries and compares what ends in time with its capacity.
func TestOverloadKeepsGoodputAndStarvesNoKind(t *testing.T) {
	const (
		capacity = 1000.0
		deadline = 500 * time.Millisecond
		seconds  = 20
	)
	a := NewAdmission()
	rng := rand.New(rand.NewPCG(6, 6))
	now := time.Unix(0, 0)
	free := now
	good := make(map[topology.KindName]int)
	gap := time.Duration(float64(time.Second) / (2 * capacity))
	for now.Before(time.Unix(seconds, 0)) {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(gap)))
		kind, weight := topology.KindName("light"), 1.0
		if rng.IntN(2) == 0 {
			kind, weight = "heavy", 4.0
		}
		if !a.Admit(kind, weight, 1, rng.Float64(), now) {
			continue
		}
		if free.Before(now) {
			free = now
		}
		wait := free.Sub(now)
		a.Observe(min(1, float64(wait)/float64(deadline)), now)
		if wait > deadline {
			continue // Dropped before its start.
		}
		free = free.Add(time.Second / capacity)
		if now.After(time.Unix(2, 0)) {
			good[kind]++
		}
	}
	total := float64(good["heavy"]+good["light"]) / (seconds - 2)
	if total < 0.9*capacity {
		t.Errorf("goodput %.0f/s of %.0f/s", total, capacity)
	}
	if ratio := float64(good["heavy"]) / float64(good["light"]); ratio < 2.5 {
		t.Errorf("the heavy kind got %.1f times the light one, its weight is 4 times", ratio)
	}
	if good["light"] == 0 {
		t.Error("the light kind starves")
	}
}

func TestBudgetBoundsExtraLoad(t *testing.T) {
	b := &Budget{}
	sent, extra := 0, 0
	for range 10000 {
		b.Earn(25, 0.02)
		sent += 25
		for b.Spend() {
			extra++
		}
	}
	if share := float64(extra) / float64(sent); share > 0.02 {
		t.Errorf("extra load %.4f", share)
	}
}
