package group_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
)

const benchCommandBytes = 256

// BenchmarkPropose measures the rate of acknowledged commands in a group of three
// members on loopback, each with its own synced data folder.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 64, 256} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			c := newCluster(b, 3)
			c.discard = true
			c.startAll()
			c.propose("first")
			l := c.leader()
			var left atomic.Int64
			left.Store(int64(b.N))
			var wg sync.WaitGroup
			b.ResetTimer()
			for range proposers {
				wg.Go(func() {
					data := make([]byte, benchCommandBytes)
					for left.Add(-1) >= 0 {
						if _, err := l.Propose(context.Background(), data); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
		})
	}
}

// BenchmarkConfirm measures the rate of Confirm calls on a follower.
func BenchmarkConfirm(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			c := newCluster(b, 3)
			c.startAll()
			c.propose("first")
			p := c.running[c.leader().id%3+1]
			var left atomic.Int64
			left.Store(int64(b.N))
			var wg sync.WaitGroup
			b.ResetTimer()
			for range callers {
				wg.Go(func() {
					for left.Add(-1) >= 0 {
						if _, _, err := p.Confirm(context.Background()); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "confirmations/s")
		})
	}
}
