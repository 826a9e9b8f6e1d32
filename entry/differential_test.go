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
	// perShard is what one shard's nine slots carry, in searches a second.
	perShard = 9 / 0.0227
)

// trial is one open-loop load over fake targets in virtual time.
type trial struct {
	load    float64 // Share of what the slots carry.
	seconds int
	seed    uint64
	kind    string
	// warmup is left out of the figures.
	warmup time.Duration
	// slow tells how many times slower a target is at a time since the start.
	slow func(topology.TargetID, time.Duration) float64
}

// figures are what a trial measured.
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

// maker makes targets with lognormal service times, seeded by their name.
func (tr trial) maker(begun time.Time) func(*topology.Target) *faketarget.Target {
	var seed uint64
	return func(t *topology.Target) *faketarget.Target {
		seed++
		rng := rand.New(rand.NewPCG(tr.seed, seed))
		f := faketarget.Steady(0, 3)(t)
		f.Slots = 3
		f.ServiceTime = func() time.Duration {
			factor := math.Exp(sigmaService * rng.NormFloat64())
			if tr.slow != nil {
				factor *= tr.slow(t.ID, time.Since(begun))
			}
			return time.Duration(factor * float64(medianService))
		}
		return f
	}
}

// run offers the load to one and returns the figures. One answers a query and
// reports how many shards were covered, or -1 for a refusal.
func (tr trial) run(w *whole, one func(router int) int) figures {
	rng := rand.New(rand.NewPCG(tr.seed, 99))
	gap := float64(time.Second) / (tr.load * perShard)
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
			startsBefore = w.allStarts()
		}
		if counts {
			f.queries++
		}
		router := rng.IntN(8)
		wg.Go(func() {
			sent := time.Now()
			covered := one(router)
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
	f.extra = float64(w.allStarts()-startsBefore)/float64((f.queries-f.refused)*trialShape.Shards) - 1
	if len(took) > 0 {
		f.p50, f.p99 = took[len(took)/2], took[len(took)*99/100]
	}
	return f
}

func (w *whole) allStarts() int {
	n := 0
	for _, k := range w.startsOfShards() {
		n += k
	}
	return n
}

// product runs the trial with the product's policy.
func (tr trial) product(t *testing.T) figures {
	var f figures
	synctest.Test(t, func(t *testing.T) {
		w := newWhole(t, trialShape, tr.maker(time.Now()))
		entries := make([]*entry.Server, 8)
		for i := range entries {
			entries[i] = w.newEntry()
		}
		f = tr.run(w, func(router int) int {
			a, refusal := ask(t, entries[router], `{"kind":"`+tr.kind+`"}`)
			if refusal != nil {
				return -1
			}
			return a.Covered
		})
	})
	t.Logf("product: %+v", f)
	return f
}

// naive runs it with a random replica a shard, no shared limits, no hedges,
// and waits for all until the deadline.
func (tr trial) naive(t *testing.T) figures {
	var f figures
	synctest.Test(t, func(t *testing.T) {
		w := newWhole(t, trialShape, tr.maker(time.Now()))
		top := w.board.View().Topology
		f = tr.run(w, func(int) int { return naiveQuery(w, top) })
	})
	t.Logf("naive:   %+v", f)
	return f
}

func naiveQuery(w *whole, top *topology.Index) int {
	deadline := time.Now().Add(trialDeadline)
	results := make(chan bool, len(top.Shards()))
	for _, s := range top.Shards() {
		replicas := top.Replicas(s)
		tg := replicas[rand.IntN(len(replicas))]
		go func() {
			time.Sleep(2 * hop)
			out := w.targets.Search(context.Background(), target.Search{Target: tg, IndexVersion: 1, Deadline: deadline})
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

// seconds returns how long a trial runs, longer ones on request.
func seconds(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("PERIDOTMUX_TRIAL_SECONDS")); err == nil {
		return n
	}
	return usual
}

// moving makes one replica of three shards 20 times slower, others every 2 s.
func moving(id topology.TargetID, since time.Duration) float64 {
	turn := int(since / (2 * time.Second))
	for k := range 3 {
		shard := (7*turn + 8*k) % trialShape.Shards
		if id == topology.TargetID("g/"+strconv.Itoa(1000 + shard)[1:]+"-"+strconv.Itoa((turn+k)%3)) {
			return 20
		}
	}
	return 1
}

func TestSteadyAgainstNaive(t *testing.T) {
	tr := trial{load: 0.5, seconds: seconds(3), seed: 1, kind: "wide", warmup: 2 * time.Second}
	naive, product := tr.naive(t), tr.product(t)
	if product.p99 > naive.p99 || product.extra > 0.02 || product.complete < 0.999 {
		t.Error("worse than the bar: p99 no worse than naive, extra load 0.02")
	}
}

func TestStragglersAgainstNaive(t *testing.T) {
	tr := trial{load: 0.5, seconds: seconds(3), seed: 2, kind: "wide", warmup: 2 * time.Second, slow: moving}
	naive, product := tr.naive(t), tr.product(t)
	if product.p99 > naive.p99/2 || product.extra > 0.05 || product.complete < 0.999 {
		t.Error("worse than the bar: p99 half of naive, extra load 0.05, complete 0.999")
	}
}

func TestOverloadKeepsGoodput(t *testing.T) {
	peak := trial{load: 0.9, seconds: seconds(3), seed: 3, kind: "wide", warmup: 3 * time.Second}.product(t)
	twice := trial{load: 2, seconds: seconds(3), seed: 3, kind: "wide", warmup: 3 * time.Second}.product(t)
	if float64(twice.completed) < 0.9*float64(peak.completed) {
		t.Errorf("goodput %d at twice the capacity, %d at the peak", twice.completed, peak.completed)
	}
}
