// Package plain is a simple open-loop load, through routers or straight to
// targets, for comparing the two in one run.
package plain

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency bounds the latencies that are told apart.
	maxLatency = time.Minute
	// digits is the number of significant digits of latencies.
	digits = 3
)

// Caller sends one query and waits for its end.
type Caller interface {
	// Call returns the number of shards covered and asked. Covered is 0 for a
	// refusal; an error is a query without answer or refusal.
	Call(ctx context.Context, n int) (covered, asked int, err error)
}

// Load says how many queries are sent, and when.
type Load struct {
	// Rate is the number of queries a second; arrivals are Poisson.
	Rate     float64
	Duration time.Duration
	Seed     uint64
}

// Result is what came of a load.
type Result struct {
	Queries  int     `json:"queries"`
	Refused  int     `json:"refused"`
	Lost     int     `json:"lost"`
	Complete float64 `json:"complete"`
	Coverage float64 `json:"coverage"`
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
}

// collector adds up the ends of queries.
type collector struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	result   Result
	complete int
	coverage float64
}

// Run sends the load through c. Latencies count from the intended send time.
func Run(ctx context.Context, l Load, c Caller) Result {
	col := &collector{latency: hdrhistogram.New(1, int64(maxLatency), digits)}
	rng := rand.New(rand.NewPCG(l.Seed, 1)) //nolint:gosec // Repeatable on purpose.
	begin := time.Now()
	at := time.Duration(0)
	var all sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		at += time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))
		if at > l.Duration {
			break
		}
		time.Sleep(time.Until(begin.Add(at)))
		intended := begin.Add(at)
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
	// The histogram's range covers every answer within its deadline.
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
