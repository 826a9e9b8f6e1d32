package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/route"
)

const (
	// typicalSamples is the number of service times kept for a route.
	typicalSamples = 256
	// typicalRefresh is the number of new samples after which the quantiles are
	// computed again.
	typicalRefresh = 32
	// lateQuantile is the share of service times that aren't late.
	lateQuantile = 0.93
)

// typical tells how long targets usually take for a route's requests.
type typical struct {
	mu     sync.Mutex
	routes map[route.Name]*routeTimes
}

type routeTimes struct {
	samples []time.Duration
	next    int
	fresh   int
	median  time.Duration
	late    time.Duration
}

func newTypical() *typical { return &typical{routes: make(map[route.Name]*routeTimes)} }

// add takes in one service time.
func (t *typical) add(name route.Name, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[name]
	if r == nil {
		r = &routeTimes{}
		t.routes[name] = r
	}
	if len(r.samples) < typicalSamples {
		r.samples = append(r.samples, d)
	} else {
		r.samples[r.next] = d
		r.next = (r.next + 1) % typicalSamples
	}
	r.fresh++
	if r.fresh >= typicalRefresh || r.median == 0 {
		r.refresh()
	}
}

func (r *routeTimes) refresh() {
	r.fresh = 0
	sorted := slices.Clone(r.samples)
	slices.Sort(sorted)
	r.median = sorted[len(sorted)/2]
	r.late = sorted[int(lateQuantile*float64(len(sorted)-1))]
}

// get returns the median service time of a route and the time above which one
// is late. Before the first samples both come from the route's objective.
func (t *typical) get(r *route.Route) (median, late time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.routes[r.Name]
	if times == nil || len(times.samples) < typicalRefresh {
		return r.Objective / unknownMedianShare, r.Objective / unknownLateShare
	}
	return times.median, times.late
}

// The shares of a route's objective that stand for its service times before
// any were seen.
const (
	unknownMedianShare = 8
	unknownLateShare   = 3
)
