package rollout

import "time"

const (
	// sliceTime is the time whose counts are kept together.
	sliceTime = time.Second
	// sliceCount is the number of slices kept, and thus the longest time that is judged.
	sliceCount = 64
	// rateTime is the time over which the rate of requests is measured.
	rateTime = 5 * time.Second
)

// Key says which requests counts belong to.
type Key struct {
	Target string
	// New means that the target has the new version.
	New   bool
	Route string
}

// Counts are numbers of requests: those sent, and those that ended, by how they ended.
// Slow ones took several times as long as usual, and may still be in flight. VerySlow
// ones are those of the slow ones that took many times as long or were given up because a
// hedge was faster; they tell a slow version where a gateway knows the usual time badly.
type Counts struct{ Sent, Good, Slow, VerySlow, Failed int }

// Plus returns the sum of two counts.
func (c Counts) Plus(o Counts) Counts {
	return Counts{Sent: c.Sent + o.Sent, Good: c.Good + o.Good, Slow: c.Slow + o.Slow, VerySlow: c.VerySlow + o.VerySlow, Failed: c.Failed + o.Failed}
}

// Minus returns the difference of two counts.
func (c Counts) Minus(o Counts) Counts {
	return Counts{Sent: c.Sent - o.Sent, Good: c.Good - o.Good, Slow: c.Slow - o.Slow, VerySlow: c.VerySlow - o.VerySlow, Failed: c.Failed - o.Failed}
}

// Ended returns the number of requests whose end is known.
func (c Counts) Ended() int { return c.Good + c.Slow + c.Failed }

// routeCounts are the counts of one route, indexed by whether the version is new.
type routeCounts struct {
	targets [2]map[string]Counts
	sum     [2]Counts
}

func newRouteCounts() *routeCounts {
	return &routeCounts{targets: [2]map[string]Counts{{}, {}}}
}

func (r *routeCounts) add(target string, version int, c Counts) {
	r.targets[version][target] = r.targets[version][target].Plus(c)
	r.sum[version] = r.sum[version].Plus(c)
}

// index returns the index of the counts of the new or the old versions.
func index(isNew bool) int {
	if isNew {
		return 1
	}
	return 0
}

// slice holds the counts of one sliceTime by route. The route "" stands for all routes.
type slice struct {
	number int
	routes map[string]*routeCounts
}

// Evidence holds what all gateways counted since the order. It is not safe for
// concurrent use.
type Evidence struct {
	ring   [sliceCount]slice
	totals [2]Counts
	// startedAt is when the first counts arrived.
	started   bool
	startedAt time.Duration
}

// NewEvidence returns evidence without counts.
func NewEvidence() *Evidence { return &Evidence{} }

// Add adds counts that arrived at the time now since any fixed moment.
func (e *Evidence) Add(now time.Duration, k Key, c Counts) {
	if !e.started {
		e.started, e.startedAt = true, now
	}
	number := int(now / sliceTime)
	s := &e.ring[number%sliceCount]
	if s.number != number || s.routes == nil {
		*s = slice{number: number, routes: make(map[string]*routeCounts)}
	}
	version := index(k.New)
	s.route("").add(k.Target, version, c)
	s.route(k.Route).add(k.Target, version, c)
	e.totals[version] = e.totals[version].Plus(c)
}

// route returns the counts of a route.
func (s *slice) route(name string) *routeCounts {
	r := s.routes[name]
	if r == nil {
		r = newRouteCounts()
		s.routes[name] = r
	}
	return r
}

// Total returns the counts of the new or of the old versions since the order.
func (e *Evidence) Total(isNew bool) Counts { return e.totals[index(isNew)] }

// at returns a slice by its number, nil if it isn't kept.
func (e *Evidence) at(number int) *slice {
	if number < 0 {
		return nil
	}
	s := &e.ring[number%sliceCount]
	if s.number != number || s.routes == nil {
		return nil
	}
	return s
}

// Recent returns the counts of the new or of the old versions within the time d before
// now, rounded up to sliceTime.
func (e *Evidence) Recent(now, d time.Duration, isNew bool) Counts {
	var sum Counts
	newest := int(now / sliceTime)
	for number := newest - int(d/sliceTime); number <= newest; number++ {
		if s := e.at(number); s != nil {
			sum = sum.Plus(s.route("").sum[index(isNew)])
		}
	}
	return sum
}

// Rate returns the requests per second of all versions lately, since the first counts at
// most.
func (e *Evidence) Rate(now time.Duration) float64 {
	sent := e.Recent(now, rateTime, true).Sent + e.Recent(now, rateTime, false).Sent
	// The current slice is only partly over.
	covered := min(rateTime+now%sliceTime, max(now-e.startedAt, sliceTime))
	return float64(sent) / covered.Seconds()
}
