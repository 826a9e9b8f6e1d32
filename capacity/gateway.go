package capacity

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// TopicName identifies the topic on the exchange.
const TopicName = "capacity"

// keepTime is how long estimates are kept when control is lost or has a new leader.
const keepTime = 10 * time.Second

// Gateway collects a gateway's samples and holds the estimates that control sent. It
// implements outlier.Topic and is safe for concurrent use.
type Gateway struct {
	collector *collector
	now       func() time.Time
	view      atomic.Pointer[view]
	// mu orders changes of view.
	mu sync.Mutex
}

// view holds estimates: the current ones, and those of before that still count until
// keptUntil if there is no current one.
type view struct {
	current, kept map[Key]Estimate
	complete      bool
	keptUntil     time.Time
}

// NewGateway returns a gateway without samples and estimates. now returns the current
// time by the monotonic clock.
func NewGateway(now func() time.Time) *Gateway {
	g := &Gateway{collector: newCollector(maxCollected), now: now}
	g.view.Store(&view{})
	return g
}

// Add adds the sample of one response. Samples that make no sense are ignored.
func (g *Gateway) Add(key Key, s Sample) {
	if p, s, ok := sampleOf(key, s); ok {
		g.collector.add(p, s)
	}
}

// Estimate returns the estimate of a target, Usual if nothing unusual is known.
func (g *Gateway) Estimate(key Key, now time.Time) Estimate {
	v := g.view.Load()
	if e, ok := v.current[key]; ok {
		return e
	}
	if e, ok := v.kept[key]; ok && now.Before(v.keptUntil) {
		return e
	}
	return Usual
}

// Name implements outlier.Topic.
func (g *Gateway) Name() string { return TopicName }

// Report implements outlier.Topic.
func (g *Gateway) Report() []byte { return encodeReport(g.collector.take(maxReported)) }

// Apply implements outlier.Topic. Estimates are kept for keepTime if the connection is
// lost, and until a new leader knows the targets itself.
func (g *Gateway) Apply(state []byte) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.view.Load()
	next := &view{}
	if len(state) > 0 {
		estimates, complete, ok := decodeState(state)
		if !ok {
			return
		}
		next.current, next.complete = estimates, complete
	}
	if !next.complete {
		next.kept, next.keptUntil = before.retained(now)
	}
	g.view.Store(next)
}

// retained returns the estimates that are still of use after the view, and until when.
func (v *view) retained(now time.Time) (map[Key]Estimate, time.Time) {
	if v.complete {
		return v.current, now.Add(keepTime)
	}
	if !now.Before(v.keptUntil) {
		return v.current, now.Add(keepTime)
	}
	kept := make(map[Key]Estimate, len(v.kept)+len(v.current))
	maps.Copy(kept, v.kept)
	maps.Copy(kept, v.current)
	return kept, v.keptUntil
}
