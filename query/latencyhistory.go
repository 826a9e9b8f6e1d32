package query

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/peridotmux/peridotmux/topology"
)

const (
	// historyWindows and historyWindowLength limit how long latencies are kept.
	historyWindows      = 5
	historyWindowLength = 2 * time.Second
	// refreshInterval is the time between computations of the quantiles.
	refreshInterval = 100 * time.Millisecond
	// maxLatencyMicros is the highest latency recorded, in microseconds. Higher
	// ones are recorded as this value.
	maxLatencyMicros = 20_000_000
	// historyPrecision is the number of significant decimal digits of recorded
	// latencies.
	historyPrecision = 2
	// minHistorySamples is the minimum number of samples for computing
	// quantiles.
	minHistorySamples = 100
)

// Quantiles are the recent latency quantiles of a group's sub-requests. They
// are zero until there are enough samples.
type Quantiles struct {
	P50, P95, P98, P99 time.Duration
}

// LatencyHistory records the recent latencies of each group's sub-requests. It
// is safe for concurrent use.
type LatencyHistory struct {
	mu     sync.Mutex
	groups map[topology.GroupName]*groupHistory
}

type groupHistory struct {
	windows     *hdrhistogram.WindowedHistogram
	rotatedAt   time.Time
	refreshedAt time.Time
	quantiles   Quantiles
}

// NewLatencyHistory returns an empty history.
func NewLatencyHistory() *LatencyHistory {
	return &LatencyHistory{groups: make(map[topology.GroupName]*groupHistory)}
}

// group returns the history of a group and creates it if necessary.
func (h *LatencyHistory) group(name topology.GroupName, now time.Time) *groupHistory {
	g := h.groups[name]
	if g == nil {
		g = &groupHistory{
			windows:   hdrhistogram.NewWindowed(historyWindows, 1, maxLatencyMicros, historyPrecision),
			rotatedAt: now,
		}
		h.groups[name] = g
	}
	return g
}

// Add records latencies of one group's sub-requests.
func (h *LatencyHistory) Add(name topology.GroupName, ds []time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.group(name, now)
	if now.Sub(g.rotatedAt) >= historyWindowLength {
		g.windows.Rotate()
		g.rotatedAt = now
	}
	for _, d := range ds {
		_ = g.windows.Current.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
	}
}

// Quantiles returns the recent latency quantiles of a group. They may be up to
// refreshInterval old.
func (h *LatencyHistory) Quantiles(name topology.GroupName, now time.Time) Quantiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.group(name, now)
	if now.Sub(g.refreshedAt) < refreshInterval {
		return g.quantiles
	}
	g.refreshedAt = now
	m := g.windows.Merge()
	if m.TotalCount() < minHistorySamples {
		return g.quantiles
	}
	at := func(q float64) time.Duration { return time.Duration(m.ValueAtQuantile(q)) * time.Microsecond }
	g.quantiles = Quantiles{P50: at(50), P95: at(95), P98: at(98), P99: at(99)}
	return g.quantiles
}
