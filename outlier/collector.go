package outlier

import (
	"sync"

	"github.com/peridotmux/peridotmux/discovery"
)

const (
	// maxCollected bounds the targets in one report, and thus its size.
	maxCollected = 512
	// maxCollectedWithErrors is the bound for targets with slow or failed requests.
	maxCollectedWithErrors = 640
)

// Incarnation identifies one start of a target. A target that restarts under the
// same ID has another one.
type Incarnation struct {
	ID         discovery.TargetID
	BornUnixMS int64
}

// Counts are the numbers of requests to one target by result.
type Counts struct {
	Good, Slow, Failed int
	// SlownessSum is the sum of the slow requests' service times, each relative to
	// the usual service time.
	SlownessSum float64
}

// plus returns the sum of two counts.
func (c Counts) plus(o Counts) Counts {
	return Counts{
		Good: c.Good + o.Good, Slow: c.Slow + o.Slow, Failed: c.Failed + o.Failed,
		SlownessSum: c.SlownessSum + o.SlownessSum,
	}
}

// hasErrors reports whether a request was slow or failed.
func (c Counts) hasErrors() bool { return c.Slow > 0 || c.Failed > 0 }

// Collector adds up counts until they are reported. It is safe for concurrent use.
type Collector struct {
	mu     sync.Mutex
	counts map[Incarnation]Counts
}

// NewCollector returns an empty collector.
func NewCollector() *Collector { return &Collector{counts: make(map[Incarnation]Counts)} }

// Add adds the counts observed at a target. When the report is full, a new target
// is added only if it has slow or failed requests, up to maxCollectedWithErrors.
func (c *Collector) Add(t Incarnation, observed Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, known := c.counts[t]
	if !known && len(c.counts) >= maxCollected && !observed.hasErrors() {
		return
	}
	if !known && len(c.counts) >= maxCollectedWithErrors {
		return
	}
	c.counts[t] = before.plus(observed)
}

// take returns the collected counts and resets the collector.
func (c *Collector) take() map[Incarnation]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.counts) == 0 {
		return nil
	}
	out := c.counts
	c.counts = make(map[Incarnation]Counts, len(out))
	return out
}
