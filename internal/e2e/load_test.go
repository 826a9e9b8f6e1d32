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
	// loadInterval is the time between two queries.
	loadInterval = 20 * time.Millisecond
	// pollInterval is the time between two polls of the routers' readiness.
	pollInterval = 300 * time.Millisecond
)

// balancer picks routers round-robin among those ready at the last poll.
type balancer struct {
	routers []*process

	mu    sync.Mutex
	ready []string
	next  int
}

// pollReady updates the list of ready routers.
func (b *balancer) pollReady() {
	var ready []string
	client := http.Client{Timeout: pollInterval}
	for _, r := range b.routers {
		resp, err := client.Get("http://" + r.httpAddr + api.PathReady)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready = append(ready, r.httpAddr)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// pick returns the address of the next ready router, or of the first router if
// none is ready.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return b.routers[0].httpAddr
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

// load sends queries at a fixed rate through a balancer, without waiting for
// answers (open loop).
type load struct {
	// answered, refused and aborted count queries by outcome; a query without a
	// complete HTTP response is aborted. partial counts the incomplete answers
	// among the answered ones.
	answered, refused, aborted atomic.Int64
	partial                    atomic.Int64

	mu sync.Mutex
	// firstErrors describes the first few refused and aborted queries.
	firstErrors []string
	stopped     chan struct{}
	wg          sync.WaitGroup
}

func startLoad(t *testing.T, c *cluster) *load {
	t.Helper()
	b := &balancer{routers: c.routers}
	b.pollReady()
	l := &load{stopped: make(chan struct{})}
	l.wg.Go(func() { l.every(pollInterval, b.pollReady) })
	l.wg.Go(func() { l.every(loadInterval, func() { l.wg.Go(func() { l.sendOne(b.pick()) }) }) })
	t.Cleanup(l.stop)
	return l
}

// every calls do at each tick of d until the load stops.
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

func (l *load) sendOne(addr string) {
	a, refusal, err := sendQuery(addr, &api.Query{Kind: "search"})
	switch {
	case err != nil:
		l.aborted.Add(1)
		l.recordError("aborted at " + addr + ": " + err.Error())
	case refusal != nil:
		l.refused.Add(1)
		l.recordError("refused at " + addr + ": " + refusal.Error())
	default:
		l.answered.Add(1)
		if !a.Complete {
			l.partial.Add(1)
		}
	}
}

func (l *load) recordError(s string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	const maxErrors = 5
	if len(l.firstErrors) < maxErrors {
		l.firstErrors = append(l.firstErrors, s)
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
