package admission

import "time"

const (
	// bucketTime is the width of the buckets in which offered queries are counted, and
	// rateBuckets the number of them that a rate is averaged over.
	bucketTime  = 100 * time.Millisecond
	rateBuckets = 5
	// windowTime is the minimum length of a window of observations. It is at least as
	// long as the usual pauses of a target, so that the answers that one pause delays
	// are in one window or two.
	windowTime = 250 * time.Millisecond
	// windowSamples is the number of observations after which a window ends, and
	// maxWindowTime the time after which it does with fewer.
	windowSamples = 3
	maxWindowTime = time.Second
	// slowWindowTime is the minimum length of a window in which the target was slower
	// than before by more than slowFactor, which pauses don't cause in most windows.
	slowWindowTime = 150 * time.Millisecond
	slowFactor     = 4
	// changeFactor is the quotient of the speeds of two windows above which the target
	// changed, and enoughSamples the number of observations that suffice to tell so before
	// a window ends.
	changeFactor  = 2.5
	enoughSamples = 8
	// windowTTL is how long a window's observations count.
	windowTTL = 3 * time.Second
	// queueTTL is how long a window's queue length counts.
	queueTTL = 600 * time.Millisecond
	// targetTTL is how long a target counts as one that reports its load.
	targetTTL = time.Minute
)

// rate counts objectives and queries in buckets of time.
type rate struct {
	bucket  int64
	buckets [rateBuckets + 1]offered
	last    time.Time
}

// advance clears the buckets between the last one used and the current one.
func (r *rate) advance(to int64) {
	if to-r.bucket > int64(len(r.buckets)) {
		r.bucket = to - int64(len(r.buckets))
	}
	for r.bucket < to {
		r.bucket++
		r.buckets[r.bucket%int64(len(r.buckets))] = offered{}
	}
}

func (r *rate) add(o offered, bucket int64, now time.Time) {
	r.advance(bucket)
	b := &r.buckets[r.bucket%int64(len(r.buckets))]
	*b = b.plus(o)
	r.last = now
}

// perSecond returns the load over the last whole buckets.
func (r *rate) perSecond(bucket int64) load {
	r.advance(bucket)
	var sum offered
	for i, b := range r.buckets {
		if int64(i) == bucket%int64(len(r.buckets)) {
			continue
		}
		sum = sum.plus(b)
	}
	seconds := (rateBuckets * bucketTime).Seconds()
	l := load{queries: float64(sum.queries) / seconds, objectives: sum.objectives.Seconds() / seconds}
	if sum.queries > 0 {
		l.admitted = l.objectives * max(0, 1-float64(sum.refused)/float64(sum.queries))
		l.expected = l.objectives * max(0, 1-sum.expectedRefused/float64(sum.queries))
	}
	return l
}

// load is what is offered per second, in queries and in seconds of objectives, and the
// parts of the latter that were admitted and that gateways expected to admit.
type load struct{ queries, objectives, admitted, expected float64 }

func (l load) plus(o load) load {
	return load{
		queries: l.queries + o.queries, objectives: l.objectives + o.objectives,
		admitted: l.admitted + o.admitted, expected: l.expected + o.expected,
	}
}

// window is what was observed of a target in a period of time.
type window struct {
	Observation
	from, to time.Time
}

// speed returns the target's speed: how many requests one slot handles in the time of an
// objective. Failures count as capacity that isn't there.
//
// In a steady state, as many requests are at the target when a request leaves as when
// it came, so that the mean queue in the answers tells which part of the time that
// requests took they spent in the queue. The means are taken first: the mean of each
// answer's own quotient would be too high, since the two queue lengths differ.
func (o Observation) speed() float64 {
	if o.Answered == 0 || o.Took <= 0 {
		return 0
	}
	queued := float64(o.Waiting) / float64(max(o.Slots, 1)*o.Answered)
	return float64(o.Objective) / float64(o.Took) * (1 + queued) * float64(o.Answered) / float64(o.samples())
}

// targetWindows holds the latest windows of a target.
type targetWindows struct {
	current window
	// closed are the last two windows, the newest first.
	closed [2]window
	seen   time.Time
}

// advance ends the current window if it is due.
func (t *targetWindows) advance(now time.Time) {
	age, samples := now.Sub(t.current.from), t.current.samples()
	switch {
	case age < slowWindowTime || age < windowTime && !t.muchSlower():
	case samples == 0:
		t.current.from = now
	case samples >= windowSamples || age >= maxWindowTime:
		t.current.to = now
		t.closed[1], t.closed[0] = t.closed[0], t.current
		t.current = window{from: now}
	}
}

// muchSlower reports whether the target is much slower in the current window than in one
// of the last two.
func (t *targetWindows) muchSlower() bool {
	before := max(t.closed[0].speed(), t.closed[1].speed())
	return t.current.samples() >= windowSamples && before > slowFactor*t.current.speed()
}

func (t *targetWindows) add(o Observation, now time.Time) {
	t.advance(now)
	t.current.Observation = t.current.plus(o)
	t.seen = now
}

// live reports whether a closed window still counts.
func (w *window) live(now time.Time) bool { return !w.to.IsZero() && now.Sub(w.to) < windowTTL }

// optimisticSpeed returns the better one of the speeds in the last two windows. A
// missing window counts as usual. So one pause of the target doesn't show.
func (t *targetWindows) optimisticSpeed(usual float64, now time.Time) float64 {
	best := 0.0
	for i := range t.closed {
		if !t.closed[i].live(now) {
			return max(best, usual)
		}
		best = max(best, t.closed[i].speed())
	}
	return best
}

// meanSpeed returns the speed over the closed windows that still count, or the usual one
// if there are none. After a change that is too great for chance, only what was observed
// since counts.
func (t *targetWindows) meanSpeed(usual float64, now time.Time) float64 {
	var sum Observation
	for _, w := range []*window{&t.closed[1], &t.closed[0], &t.current} {
		switch {
		case w == &t.current:
			if sum.samples() > 0 && w.samples() >= enoughSamples && changed(sum.speed(), w.speed()) {
				sum = w.Observation
			}
		case !w.live(now):
		case sum.samples() > 0 && w.samples() >= windowSamples && changed(sum.speed(), w.speed()):
			sum = w.Observation
		default:
			sum = sum.plus(w.Observation)
		}
	}
	if sum.samples() == 0 {
		return usual
	}
	return sum.speed()
}

// changed reports whether two speeds differ by more than chance.
func changed(before, after float64) bool {
	return after > changeFactor*before || before > changeFactor*after
}

// queue returns the mean number of requests that waited at the target lately.
func (t *targetWindows) queue(now time.Time) float64 {
	sum := t.current.Observation
	if w := &t.closed[0]; !w.to.IsZero() && now.Sub(w.to) < queueTTL {
		sum = sum.plus(w.Observation)
	}
	if sum.Answered == 0 {
		return 0
	}
	return float64(sum.Waiting) / float64(sum.Answered)
}
