package query

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/peridotmux/peridotmux/topology"
)

const (
	// historyWindows and windowLength bound how long latencies are remembered.
	historyWindows = 5
	windowLength   = 2 * time.Second
	// refreshInterval is the time between computations of the quantiles.
	refreshInterval = 100 * time.Millisecond
	// highestLatency is the greatest latency recorded, in microseconds.
	highestLatency = 20_000_000
	// historyDigits is the precision of the recorded latencies.
	historyDigits = 2
	// historyMinimum is the number of samples from which quantiles count.
	historyMinimum = 100
)

// Quantiles are the usual latencies of the sub-requests of a group. They are
// zero while too little is known.
type Quantiles struct {
	P50, P95, P98, P99 time.Duration
}

// LatencyHistory remembers the latencies of each group's sub-requests. It is safe for
// concurrent use.
type LatencyHistory struct {
	mu     sync.Mutex
	groups map[topology.GroupName]*groupHistory
}

type groupHistory struct {
	windows   *hdrhistogram.WindowedHistogram
	rotated   time.Time
	refreshed time.Time
	quantiles Quantiles
}

// NewLatencyHistory returns an empty history.
func NewLatencyHistory() *LatencyHistory {
	return &LatencyHistory{groups: make(map[topology.GroupName]*groupHistory)}
}

func (h *LatencyHistory) group(name topology.GroupName, now time.Time) *groupHistory {
	g := h.groups[name]
	if g == nil {
		g = &groupHistory{
			windows: hdrhistogram.NewWindowed(historyWindows, 1, highestLatency, historyDigits),
			rotated: now,
		}
		h.groups[name] = g
	}
	return g
}

// Add records latencies of one group.
func (h *LatencyHistory) Add(name topology.GroupName, ds []time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.group(name, now)
	if now.Sub(g.rotated) >= windowLength {
		g.windows.Rotate()
		g.rotated = now
	}
	for _, d := range ds {
		_ = g.windows.Current.RecordValue(min(max(d.Microseconds(), 1), highestLatency))
	}
}

// Quantiles returns the usual latencies of a group.
func (h *LatencyHistory) Quantiles(name topology.GroupName, now time.Time) Quantiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.group(name, now)
	if now.Sub(g.refreshed) < refreshInterval {
		return g.quantiles
	}
	g.refreshed = now
	m := g.windows.Merge()
	if m.TotalCount() < historyMinimum {
		return g.quantiles
	}
	at := func(q float64) time.Duration { return time.Duration(m.ValueAtQuantile(q)) * time.Microsecond }
	g.quantiles = Quantiles{P50: at(50), P95: at(95), P98: at(98), P99: at(99)}
	return g.quantiles
}
