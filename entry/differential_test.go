package entry_test

import (
	"context"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peridotmux/peridotmux/entry"
	"github.com/peridotmux/peridotmux/internal/faketarget"
	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	trialDeadline = 500 * time.Millisecond
	medianService = 20 * time.Millisecond
	sigmaService  = 0.5
	// shardCapacity is the capacity of one shard's nine slots, in searches per
	// second.
	shardCapacity = 9 / 0.0227
)

// trial is an open-loop load on fake targets in virtual time.
type trial struct {
	load    float64 // Share of the slots' capacity.
	seconds int
	seed    uint64
	kind    string
	// warmup is excluded from the figures.
	warmup time.Duration
	// slowdown returns a target's service time factor at a time since the start.
	slowdown func(topology.TargetID, time.Duration) float64
}

// figures are the results of a trial.
type figures struct {
	p50, p99  time.Duration
	queries   int
	complete  float64
	extra     float64
	refused   int
	completed int
}

var trialShape = faketarget.Shape{
	Shards: 25, Replicas: 3, Slots: 3, ColdLimit: 1,
	Owners: []topology.VMName{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"},
}

// maker makes targets with lognormal service times, each with a seed of its
// own.
func (tr trial) maker(begun time.Time) func(*topology.Target) *faketarget.Target {
	var seed uint64
	return func(t *topology.Target) *faketarget.Target {
		seed++
		rng := rand.New(rand.NewPCG(tr.seed, seed))
		f := faketarget.Steady(0, 3)(t)
		f.Slots = 3
		f.ServiceTime = func() time.Duration {
			factor := math.Exp(sigmaService * rng.NormFloat64())
			if tr.slowdown != nil {
				factor *= tr.slowdown(t.ID, time.Since(begun))
			}
			return time.Duration(factor * float64(medianService))
		}
		return f
	}
}

// run sends the load with send and returns the figures. send runs one query and
// returns the number of covered shards, or -1 for a refusal.
func (tr trial) run(h *harness, send func(router int) int) figures {
	rng := rand.New(rand.NewPCG(tr.seed, 99))
	gap := float64(time.Second) / (tr.load * shardCapacity)
	begun := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var f figures
	var took []time.Duration
	startsBefore := 0
	for time.Since(begun) < time.Duration(tr.seconds)*time.Second+tr.warmup {
		time.Sleep(time.Duration(rng.ExpFloat64() * gap))
		counts := time.Since(begun) >= tr.warmup
		if counts && f.queries == 0 {
			startsBefore = h.allStarts()
		}
		if counts {
			f.queries++
		}
		router := rng.IntN(8)
		wg.Go(func() {
			sent := time.Now()
			covered := send(router)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !counts:
			case covered < 0:
				f.refused++
			case time.Since(sent) <= trialDeadline && covered == trialShape.Shards:
				f.completed++
				took = append(took, time.Since(sent))
			default:
				took = append(took, time.Since(sent))
			}
		})
	}
	wg.Wait()
	slices.Sort(took)
	f.complete = float64(f.completed) / float64(f.queries)
	f.extra = float64(h.allStarts()-startsBefore)/float64((f.queries-f.refused)*trialShape.Shards) - 1
	if len(took) > 0 {
		f.p50, f.p99 = took[len(took)/2], took[len(took)*99/100]
	}
	return f
}

// allStarts returns the number of searches started at all targets.
func (h *harness) allStarts() int {
	n := 0
	for _, k := range h.startsByShard() {
		n += k
	}
	return n
}

// runProduct runs the trial with the query path under test.
func (tr trial) runProduct(t *testing.T) figures {
	var f figures
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, trialShape, tr.maker(time.Now()))
		entries := make([]*entry.Server, 8)
		for i := range entries {
			entries[i] = h.newEntry()
		}
		f = tr.run(h, func(router int) int {
			a, refusal := sendQuery(t, entries[router], `{"kind":"`+tr.kind+`"}`)
			if refusal != nil {
				return -1
			}
			return a.Covered
		})
	})
	t.Logf("product: %+v", f)
	return f
}

// runNaive runs the trial with a random replica per shard, no shared limits and
// no hedges. Queries wait for all shards until the deadline.
func (tr trial) runNaive(t *testing.T) figures {
	var f figures
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, trialShape, tr.maker(time.Now()))
		top := h.board.View().Topology
		f = tr.run(h, func(int) int { return naiveQuery(h, top) })
	})
	t.Logf("naive:   %+v", f)
	return f
}

// naiveQuery runs one query and returns the number of covered shards.
func naiveQuery(h *harness, top *topology.Index) int {
	deadline := time.Now().Add(trialDeadline)
	results := make(chan bool, len(top.Shards()))
	for _, s := range top.Shards() {
		replicas := top.Replicas(s)
		tg := replicas[rand.IntN(len(replicas))]
		go func() {
			time.Sleep(2 * hop)
			out := h.targets.Search(context.Background(), target.Search{Target: tg, IndexVersion: 1, Deadline: deadline})
			results <- out.Status == target.OK
		}()
	}
	covered := 0
	for range top.Shards() {
		if <-results {
			covered++
		}
	}
	return covered
}

// seconds returns the length of a trial, which PERIDOTMUX_TRIAL_SECONDS
// overrides.
func seconds(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("PERIDOTMUX_TRIAL_SECONDS")); err == nil {
		return n
	}
	return usual
}

// movingSlowdown makes one replica of three shards 20 times slower, different
// ones every 2 s.
func movingSlowdown(id topology.TargetID, since time.Duration) float64 {
	turn := int(since / (2 * time.Second))
	for k := range 3 {
		shard := (7*turn + 8*k) % trialShape.Shards
		if id == topology.TargetID("g/"+strconv.Itoa(1000 + shard)[1:]+"-"+strconv.Itoa((turn+k)%3)) {
			return 20
		}
	}
	return 1
}

// Under a steady load, hedges and shared limits must not make the tail latency
// worse than the naive policy's or add more than 2% load.
func TestSteadyAgainstNaive(t *testing.T) {
	tr := trial{load: 0.5, seconds: seconds(3), seed: 1, kind: "wide", warmup: 2 * time.Second}
	naive, product := tr.runNaive(t), tr.runProduct(t)
	if product.p99 > naive.p99 || product.extra > 0.02 || product.complete < 0.999 {
		t.Error("out of bounds: want p99 at most that of naive, extra load at most 0.02, complete at least 0.999")
	}
}

// With slow replicas that change every 2 s, the 99th percentile must be at most
// half of the naive policy's, with at most 5% extra load.
func TestStragglersAgainstNaive(t *testing.T) {
	tr := trial{load: 0.5, seconds: seconds(3), seed: 2, kind: "wide", warmup: 2 * time.Second, slowdown: movingSlowdown}
	naive, product := tr.runNaive(t), tr.runProduct(t)
	if product.p99 > naive.p99/2 || product.extra > 0.05 || product.complete < 0.999 {
		t.Error("out of bounds: want p99 at most half that of naive, extra load at most 0.05, complete at least 0.999")
	}
}

// At twice the capacity, the number of complete answers must stay near that of
// the peak load instead of collapsing.
func TestOverloadKeepsGoodput(t *testing.T) {
	peak := trial{load: 0.9, seconds: seconds(3), seed: 3, kind: "wide", warmup: 3 * time.Second}.runProduct(t)
	twice := trial{load: 2, seconds: seconds(3), seed: 3, kind: "wide", warmup: 3 * time.Second}.runProduct(t)
	if float64(twice.completed) < 0.9*float64(peak.completed) {
		t.Errorf("goodput %d at twice the capacity, want at least 0.9 of the %d at the peak load", twice.completed, peak.completed)
	}
}
