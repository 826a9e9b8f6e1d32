package admission

import (
	"maps"
	"time"
)

// rank is the queries of one group and priority.
type rank struct {
	group    GroupID
	priority int
}

// repeats tells by how much the offered load of a rank exceeds that of different queries,
// since callers send refused ones again with the same ids.
//
// Different queries are at even positions, so that the part of them that is admitted is
// the one that gateways expect. Repeated ones are all at positions that aren't admitted.
type repeats struct {
	// expected and admitted are the loads that gateways expected to admit and that they
	// did, in seconds of objectives per second, averaged over repeatsTime.
	expected, admitted float64
}

const (
	// repeatsTime is the time over which loads are averaged. The numbers of queries vary
	// by chance, by a tenth in a second at 100 queries/s.
	repeatsTime = 4 * time.Second
	// minRepeats is the least factor that counts, since smaller ones occur by chance.
	minRepeats = 1.15
	// maxRepeats bounds the factor. With one repetition it is at most 2.
	maxRepeats = 2.0
)

// factor returns the offered load relative to the one without repeated queries.
func (r *repeats) factor() float64 {
	f := r.expected / max(r.admitted, epsilon)
	if f < minRepeats {
		return 1
	}
	return min(f, maxRepeats)
}

// updateRepeats applies the present loads. l.mu must be held.
func (l *Leader) updateRepeats(loads map[rank]load, elapsed time.Duration) {
	maps.DeleteFunc(l.repeats, func(k rank, _ *repeats) bool { return loads[k].queries == 0 })
	weight := min(float64(elapsed)/float64(repeatsTime), 1)
	for k, x := range loads {
		r := l.repeats[k]
		if r == nil {
			r = &repeats{expected: x.expected, admitted: x.admitted}
			l.repeats[k] = r
		}
		r.expected += weight * (x.expected - r.expected)
		r.admitted += weight * (x.admitted - r.admitted)
	}
}
