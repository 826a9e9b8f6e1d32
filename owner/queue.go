package owner

import "github.com/peridotmux/peridotmux/topology"

// minWeight keeps a kind of weight zero from starving.
const minWeight = 0.01

// fairQueue holds waiting jobs in one lane a kind and serves the lanes in
// proportion to their weights (start-time fair queueing). It isn't safe for
// concurrent use.
type fairQueue struct {
	lanes   []*lane
	length  int
	virtual float64
}

type lane struct {
	kind topology.KindName
	jobs []*job
	// tag is the lane's virtual start time.
	tag float64
}

func (q *fairQueue) push(j *job) {
	l := q.lane(j.kind)
	if len(l.jobs) == 0 {
		l.tag = max(l.tag, q.virtual)
	}
	l.jobs = append(l.jobs, j)
	q.length++
}

func (q *fairQueue) lane(kind topology.KindName) *lane {
	for _, l := range q.lanes {
		if l.kind == kind {
			return l
		}
	}
	l := &lane{kind: kind}
	q.lanes = append(q.lanes, l)
	return l
}

// remove takes j out and reports whether it was waiting.
func (q *fairQueue) remove(j *job) bool {
	l := q.lane(j.kind)
	for i, o := range l.jobs {
		if o == j {
			l.jobs = append(l.jobs[:i], l.jobs[i+1:]...)
			q.length--
			return true
		}
	}
	return false
}

// take removes and returns the first job, in fair order, that accept takes. It
// returns nil if there is none.
func (q *fairQueue) take(accept func(*job) bool) *job {
	if q.length == 0 {
		return nil
	}
	tried := make([]bool, len(q.lanes))
	for {
		i := q.least(tried)
		if i < 0 {
			return nil
		}
		tried[i] = true
		if j := q.takeFrom(q.lanes[i], accept); j != nil {
			return j
		}
	}
}

// least returns the untried lane with waiting jobs and the least tag, or -1.
func (q *fairQueue) least(tried []bool) int {
	best := -1
	for i, l := range q.lanes {
		if tried[i] || len(l.jobs) == 0 {
			continue
		}
		if best < 0 || l.tag < q.lanes[best].tag {
			best = i
		}
	}
	return best
}

func (q *fairQueue) takeFrom(l *lane, accept func(*job) bool) *job {
	for i, j := range l.jobs {
		if !accept(j) {
			continue
		}
		l.jobs = append(l.jobs[:i], l.jobs[i+1:]...)
		q.length--
		q.virtual = max(q.virtual, l.tag)
		l.tag += 1 / max(j.weight, minWeight)
		return j
	}
	return nil
}

// removeIf takes out every job for which gone is true and returns them.
func (q *fairQueue) removeIf(gone func(*job) bool) []*job {
	var out []*job
	for _, l := range q.lanes {
		kept := l.jobs[:0]
		for _, j := range l.jobs {
			if gone(j) {
				out = append(out, j)
				continue
			}
			kept = append(kept, j)
		}
		clear(l.jobs[len(kept):])
		l.jobs = kept
	}
	q.length -= len(out)
	return out
}
