// Package plain generates a simple open-loop load and sends it through routers
// or directly to targets, to compare the two in one run.
package plain

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the upper bound of the latency histogram; larger values are
	// recorded as maxLatency.
	maxLatency = time.Minute
	// significantDigits is the precision of the latency histogram.
	significantDigits = 3
)

// Caller sends queries. Call is used concurrently.
type Caller interface {
	// Call sends the nth query and waits for its end. It returns the numbers of
	// shards that the answer covers and that the query was sent to. Covered is 0
	// if the query was refused; an error means neither answer nor refusal.
	Call(ctx context.Context, n int) (covered, asked int, err error)
}

// Load describes the arrivals of queries.
type Load struct {
	// Rate is the mean number of queries per second. Arrivals form a Poisson
	// process drawn from Seed.
	Rate     float64
	Duration time.Duration
	Seed     uint64
}

// Result summarizes a run. Lost counts the queries without answer or refusal.
// Complete is the fraction of queries answered by all shards, Coverage the mean
// fraction of shards in the answers; both count refused and lost queries as 0.
type Result struct {
	Queries  int     `json:"queries"`
	Refused  int     `json:"refused"`
	Lost     int     `json:"lost"`
	Complete float64 `json:"complete"`
	Coverage float64 `json:"coverage"`
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
}

// collector accumulates the results of queries.
type collector struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	result   Result
	complete int
	coverage float64
}

// Run sends the load through c until its duration has passed or ctx ends, and
// waits for the replies. Latencies count from the intended send time, so that a
// late sender doesn't hide queueing.
func Run(ctx context.Context, l Load, c Caller) Result {
	col := &collector{latency: hdrhistogram.New(1, int64(maxLatency), significantDigits)}
	rng := rand.New(rand.NewPCG(l.Seed, 1)) //nolint:gosec // Repeatable by design.
	start := time.Now()
	at := time.Duration(0)
	var all sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		at += time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))
		if at > l.Duration {
			break
		}
		time.Sleep(time.Until(start.Add(at)))
		intended := start.Add(at)
		all.Go(func() {
			covered, asked, err := c.Call(ctx, n)
			col.add(time.Since(intended), covered, asked, err)
		})
	}
	all.Wait()
	return col.finish()
}

func (c *collector) add(took time.Duration, covered, asked int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Queries++
	switch {
	case err != nil:
		c.result.Lost++
		return
	case covered == 0:
		c.result.Refused++
		return
	case covered == asked:
		c.complete++
	}
	c.coverage += float64(covered) / float64(asked)
	// The range covers every answer within its deadline; larger values are capped.
	_ = c.latency.RecordValue(int64(min(took, maxLatency)))
}

func (c *collector) finish() Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.result
	if r.Queries > 0 {
		r.Complete = float64(c.complete) / float64(r.Queries)
		r.Coverage = c.coverage / float64(r.Queries)
	}
	r.P50MS = milliseconds(c.latency.ValueAtPercentile(50))
	r.P99MS = milliseconds(c.latency.ValueAtPercentile(99))
	return r
}

func milliseconds(ns int64) float64 { return float64(ns) / float64(time.Millisecond) }
