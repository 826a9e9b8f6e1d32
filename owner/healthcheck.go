package owner

import (
	"context"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/target"
)

const (
	// healthInterval is the time between two health checks of a target.
	healthInterval = 500 * time.Millisecond
	// healthTimeout is the timeout of one health check.
	healthTimeout = 400 * time.Millisecond
)

// healthLoop fetches the health pages of the owned targets until ctx ends.
func (o *Owner) healthLoop(ctx context.Context) {
	tick := time.NewTicker(healthInterval)
	defer tick.Stop()
	for {
		o.checkHealth(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// checkHealth fetches the health pages of all active targets concurrently.
// Errors are ignored.
func (o *Owner) checkHealth(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range o.activeTargets() {
		wg.Go(func() {
			page, err := o.cfg.Searcher.Health(ctx, h.replica.target)
			if err == nil {
				h.applyHealth(page)
			}
		})
	}
	wg.Wait()
}

// activeTargets returns the held targets that are active.
func (o *Owner) activeTargets() []*heldTarget {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*heldTarget
	for _, h := range o.held {
		h.shard.mu.Lock()
		if h.replica.state == stateActive {
			out = append(out, h)
		}
		h.shard.mu.Unlock()
	}
	return out
}

// applyHealth applies a health page. Health pages may be outdated or wrong, so
// a page can't take a target out of service: its versions are used only while
// none are known, and a new process number only lowers the limit until the next
// response. A draining target refuses the next search without starting it, so
// the page's draining flag isn't needed.
func (h *heldTarget) applyHealth(page target.Health) {
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	r := h.replica
	if len(r.versions) == 0 {
		r.versions = page.Versions
	}
	if page.Process != 0 && r.ramp.Process != 0 && page.Process != r.ramp.Process && page.Process != r.healthProcess {
		r.ramp = r.ramp.Step(ConnectionLost{})
	}
	r.healthProcess = page.Process
}
