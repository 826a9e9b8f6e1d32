package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/route"
)

const (
	// maxSamples is the number of service times kept for a route.
	maxSamples = 256
	// samplesPerRefresh is the number of new samples after which the quantiles are
	// recomputed.
	samplesPerRefresh = 32
	// lateQuantile is the quantile of service times above which one counts as late.
	lateQuantile = 0.93
)

// serviceTimes tracks how long targets take for each route's requests. It is safe
// for concurrent use.
type serviceTimes struct {
	mu     sync.Mutex
	routes map[route.Name]*routeTimes
}

// routeTimes holds a route's latest service times in a ring, and their quantiles as
// of the last refresh.
type routeTimes struct {
	samples    []time.Duration
	next       int
	newSamples int
	median     time.Duration
	late       time.Duration
}

func newServiceTimes() *serviceTimes { return &serviceTimes{routes: make(map[route.Name]*routeTimes)} }

// add records one service time.
func (t *serviceTimes) add(name route.Name, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[name]
	if r == nil {
		r = &routeTimes{}
		t.routes[name] = r
	}
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, d)
	} else {
		r.samples[r.next] = d
		r.next = (r.next + 1) % maxSamples
	}
	r.newSamples++
	if r.newSamples >= samplesPerRefresh || r.median == 0 {
		r.refresh()
	}
}

// refresh recomputes the quantiles.
func (r *routeTimes) refresh() {
	r.newSamples = 0
	sorted := slices.Clone(r.samples)
	slices.Sort(sorted)
	r.median = sorted[len(sorted)/2]
	r.late = sorted[int(lateQuantile*float64(len(sorted)-1))]
}

// get returns the median service time of a route and the time above which one
// counts as late. Before there are enough samples both are derived from the route's
// objective.
func (t *serviceTimes) get(r *route.Route) (median, late time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.routes[r.Name]
	if times == nil || len(times.samples) < samplesPerRefresh {
		return r.Objective / defaultMedianDivisor, r.Objective / defaultLateDivisor
	}
	return times.median, times.late
}

// The divisors that derive service times from a route's objective before there are
// enough samples.
const (
	defaultMedianDivisor = 8
	defaultLateDivisor   = 3
)
