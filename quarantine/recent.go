package quarantine

import "time"

const (
	// recentTime is how long an answer counts as recent at least, and twice that at most.
	recentTime = 30 * time.Second
	// maxRecent bounds the requests in each of the two generations.
	maxRecent = 1 << 14
)

// recent holds the requests that were answered lately, in two generations.
type recent struct {
	young, old map[Fingerprint]struct{}
	// since is when the young generation began.
	since time.Time
}

// add adds a request.
func (r *recent) add(f Fingerprint, now time.Time) {
	r.age(now)
	if len(r.young) >= maxRecent {
		r.turn(now)
	}
	if r.young == nil {
		r.young = make(map[Fingerprint]struct{})
	}
	r.young[f] = struct{}{}
}

// has reports whether a request was answered lately.
func (r *recent) has(f Fingerprint, now time.Time) bool {
	r.age(now)
	_, young := r.young[f]
	_, old := r.old[f]
	return young || old
}

// age begins a new generation if the young one is old enough.
func (r *recent) age(now time.Time) {
	if now.Sub(r.since) < recentTime {
		return
	}
	if now.Sub(r.since) >= 2*recentTime {
		r.young = nil
	}
	r.turn(now)
}

func (r *recent) turn(now time.Time) { r.young, r.old, r.since = nil, r.young, now }
