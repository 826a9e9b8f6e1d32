package outlier

import (
	"sync"
	"sync/atomic"
)

// View holds the outliers known to a process. It is safe for concurrent use.
type View struct {
	set atomic.Pointer[map[Incarnation]Outlier]

	mu      sync.Mutex
	changed chan struct{}
}

// NewView returns a view without outliers.
func NewView() *View {
	v := &View{changed: make(chan struct{})}
	v.set.Store(&map[Incarnation]Outlier{})
	return v
}

// Outliers returns the outliers. The map must not be modified.
func (v *View) Outliers() map[Incarnation]Outlier { return *v.set.Load() }

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// replace stores a new set of outliers.
func (v *View) replace(set map[Incarnation]Outlier) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.set.Store(&set)
	close(v.changed)
	v.changed = make(chan struct{})
}

// significantRatio is the ratio by which a value of an outlier must change to be
// sent again.
const significantRatio = 2

// change is the difference between two sets of outliers.
type change struct {
	changed map[Incarnation]Outlier
	removed []Incarnation
}

func (c *change) empty() bool { return len(c.changed) == 0 && len(c.removed) == 0 }

// compare returns the change from one set to another. Changes of an outlier that
// aren't significant are omitted.
func compare(from, to map[Incarnation]Outlier) change {
	c := change{changed: make(map[Incarnation]Outlier)}
	for t, x := range to {
		y, known := from[t]
		if !known || differs(x.Slowness, y.Slowness) || differs(x.FailureRate, y.FailureRate) {
			c.changed[t] = x
		}
	}
	for t := range from {
		if _, still := to[t]; !still {
			c.removed = append(c.removed, t)
		}
	}
	return c
}

// differs reports whether two values differ significantly.
func differs(x, y float64) bool { return x > significantRatio*y || y > significantRatio*x }

// apply returns the set after a change, as a new map.
func (c *change) apply(set map[Incarnation]Outlier) map[Incarnation]Outlier {
	out := make(map[Incarnation]Outlier, len(set)+len(c.changed))
	for t, o := range set {
		out[t] = o
	}
	for t, o := range c.changed {
		out[t] = o
	}
	for _, t := range c.removed {
		delete(out, t)
	}
	return out
}
