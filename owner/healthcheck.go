package owner

import (
	"context"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/target"
)

const (
	// healthInterval is the time between two looks at a target's health page.
	healthInterval = 500 * time.Millisecond
	// healthTimeout bounds one look.
	healthTimeout = 400 * time.Millisecond
)

// healthLoop looks at the health pages of the owned targets until ctx ends.
func (o *Owner) healthLoop(ctx context.Context) {
	tick := time.NewTicker(healthInterval)
	defer tick.Stop()
	for {
		o.checkAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (o *Owner) checkAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range o.active() {
		wg.Go(func() {
			page, err := o.cfg.Searcher.Health(ctx, h.replica.target)
			if err == nil {
				h.reported(page)
			}
		})
	}
	wg.Wait()
}

func (o *Owner) active() []*holding {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*holding
	for _, h := range o.held {
		h.shard.mu.Lock()
		if h.replica.state == stateActive {
			out = append(out, h)
		}
		h.shard.mu.Unlock()
	}
	return out
}

// reported takes in a health page. Pages lag and mislead, so a page can't take
// a target out of service: it teaches versions while none are known, and a new
// process number holds the limit down until the next response. That a target
// drains it says itself to the next search, at no cost.
func (h *holding) reported(page target.Health) {
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	r := h.replica
	if len(r.versions) == 0 {
		r.versions = page.Versions
	}
	if page.Process != 0 && r.ramp.Process != 0 && page.Process != r.ramp.Process && page.Process != r.reportedProcess {
		r.ramp = r.ramp.Step(ConnectionLost{})
	}
	r.reportedProcess = page.Process
}
