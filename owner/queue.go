package owner

import "github.com/peridotmux/peridotmux/topology"

// minWeight replaces the weight of kinds below it, so that a kind of weight
// zero isn't starved.
const minWeight = 0.01

// fairQueue queues jobs in one lane per kind and serves the lanes in proportion
// to their weights (start-time fair queueing). It isn't safe for concurrent
// use.
type fairQueue struct {
	lanes       []*lane
	length      int
	virtualTime float64
}

// lane holds the queued jobs of one kind, oldest first.
type lane struct {
	kind topology.KindName
	jobs []*job
	// tag is the virtual start time of the lane's next job.
	tag float64
}

// push appends j to the lane of its kind.
func (q *fairQueue) push(j *job) {
	l := q.lane(j.kind)
	if len(l.jobs) == 0 {
		l.tag = max(l.tag, q.virtualTime)
	}
	l.jobs = append(l.jobs, j)
	q.length++
}

// lane returns the lane of a kind and creates it if necessary.
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

// remove removes j and reports whether it was queued.
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

// take removes and returns the first job, in fair order, for which accept
// returns true. It returns nil if there is none.
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

// least returns the index of the lane with the smallest tag among those that
// have jobs and aren't marked in tried, or -1 if there is none.
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

// takeFrom removes and returns the oldest job of l for which accept returns
// true, and advances the lane's tag. It returns nil if there is none.
func (q *fairQueue) takeFrom(l *lane, accept func(*job) bool) *job {
	for i, j := range l.jobs {
		if !accept(j) {
			continue
		}
		l.jobs = append(l.jobs[:i], l.jobs[i+1:]...)
		q.length--
		q.virtualTime = max(q.virtualTime, l.tag)
		l.tag += 1 / max(j.weight, minWeight)
		return j
	}
	return nil
}

// removeIf removes and returns all jobs for which match returns true.
func (q *fairQueue) removeIf(match func(*job) bool) []*job {
	var out []*job
	for _, l := range q.lanes {
		kept := l.jobs[:0]
		for _, j := range l.jobs {
			if match(j) {
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
