package e2e

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/api"
)

const (
	// loadInterval is the time between two queries of the load.
	loadInterval = 20 * time.Millisecond
	// balancerLag is how often the balancer looks at readiness.
	balancerLag = 300 * time.Millisecond
)

// balancer sends queries in turn to the routers that were ready lately.
type balancer struct {
	routers []*process

	mu    sync.Mutex
	ready []string
	next  int
}

func (b *balancer) look() {
	var ready []string
	client := http.Client{Timeout: balancerLag}
	for _, r := range b.routers {
		resp, err := client.Get("http://" + r.http + api.PathReady)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready = append(ready, r.http)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return b.routers[0].http
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

// load is an open-loop load through a balancer.
type load struct {
	answered, refused, cut atomic.Int64
	partial                atomic.Int64

	mu      sync.Mutex
	firsts  []string
	stopped chan struct{}
	wg      sync.WaitGroup
}

func startLoad(t *testing.T, c *cluster) *load {
	t.Helper()
	b := &balancer{routers: c.routers}
	b.look()
	l := &load{stopped: make(chan struct{})}
	l.wg.Go(func() { l.every(balancerLag, b.look) })
	l.wg.Go(func() { l.every(loadInterval, func() { l.wg.Go(func() { l.one(b.pick()) }) }) })
	t.Cleanup(l.stop)
	return l
}

func (l *load) every(d time.Duration, do func()) {
	tick := time.NewTicker(d)
	defer tick.Stop()
	for {
		select {
		case <-l.stopped:
			return
		case <-tick.C:
			do()
		}
	}
}

func (l *load) one(addr string) {
	a, refusal, err := ask(addr, &api.Query{Kind: "search"})
	switch {
	case err != nil:
		l.cut.Add(1)
		l.note("cut at " + addr + ": " + err.Error())
	case refusal != nil:
		l.refused.Add(1)
		l.note("refused at " + addr + ": " + refusal.Error())
	default:
		l.answered.Add(1)
		if !a.Complete {
			l.partial.Add(1)
		}
	}
}

func (l *load) note(s string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	const most = 5
	if len(l.firsts) < most {
		l.firsts = append(l.firsts, s)
	}
}

func (l *load) stop() {
	select {
	case <-l.stopped:
	default:
		close(l.stopped)
	}
	l.wg.Wait()
}
