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

// healthLoop fetches the health pages of the owned targets until ctx ends: all
// of them at each interval, and new ones as soon as they become active, since no
// search can be planned until a target's index versions are known.
func (o *Owner) healthLoop(ctx context.Context) {
	tick := time.NewTicker(healthInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			o.checkHealth(ctx, func(*replica) bool { return true })
		case <-o.newlyActive:
			o.checkHealth(ctx, func(r *replica) bool { return len(r.versions) == 0 })
		}
	}
}

// requestHealthCheck makes healthLoop check the targets whose index versions are
// unknown.
func (o *Owner) requestHealthCheck() {
	select {
	case o.newlyActive <- struct{}{}:
	default:
	}
}

// checkHealth concurrently fetches the health pages of the active targets that
// satisfy due. Errors are ignored.
func (o *Owner) checkHealth(ctx context.Context, due func(*replica) bool) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range o.activeTargets(due) {
		wg.Go(func() {
			page, err := o.cfg.Searcher.Health(ctx, h.replica.target)
			if err == nil {
				h.applyHealth(page)
			}
		})
	}
	wg.Wait()
}

// activeTargets returns the held targets that are active and satisfy due.
func (o *Owner) activeTargets(due func(*replica) bool) []*heldTarget {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*heldTarget
	for _, h := range o.held {
		h.shard.mu.Lock()
		if h.replica.state == stateActive && due(h.replica) {
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
