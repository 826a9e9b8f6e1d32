package outlier

import (
	"sync"

	"github.com/peridotmux/peridotmux/discovery"
)

const (
	// maxCollected bounds the targets of one report, and so its bytes.
	maxCollected = 512
	// mostCollected bounds them where those above maxCollected are in trouble.
	mostCollected = 640
)

// Incarnation is one start of a target. One that starts again under its id is another.
type Incarnation struct {
	ID         discovery.TargetID
	BornUnixMS int64
}

// Counts say how requests at one target went.
type Counts struct {
	Good, Slow, Failed int
	// SlownessSum is the sum of the slow requests' service times over the usual ones.
	SlownessSum float64
}

// plus returns the sum of two counts.
func (c Counts) plus(o Counts) Counts {
	return Counts{
		Good: c.Good + o.Good, Slow: c.Slow + o.Slow, Failed: c.Failed + o.Failed,
		SlownessSum: c.SlownessSum + o.SlownessSum,
	}
}

// troubled reports whether a request went badly.
func (c Counts) troubled() bool { return c.Slow > 0 || c.Failed > 0 }

// Collector adds up what was seen until it is reported.
type Collector struct {
	mu     sync.Mutex
	counts map[Incarnation]Counts
}

// NewCollector returns an empty collector.
func NewCollector() *Collector { return &Collector{counts: make(map[Incarnation]Counts)} }

// Add adds what was seen of a target. A report that is full takes only what is
// new of its targets, and troubles.
func (c *Collector) Add(t Incarnation, seen Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, known := c.counts[t]
	if !known && len(c.counts) >= maxCollected && !seen.troubled() {
		return
	}
	if !known && len(c.counts) >= mostCollected {
		return
	}
	c.counts[t] = before.plus(seen)
}

// take returns what was collected and begins anew.
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
