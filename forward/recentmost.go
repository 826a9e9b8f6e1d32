package forward

import "time"

// recentTime is how long routers that control doesn't see any more may still send
// requests with their share of the extra arrivals.
const recentTime = time.Minute

// recentMost is the greatest value of a count within recentTime.
type recentMost struct {
	// current is the count now, and most the greatest one as long as until isn't past.
	current, most int
	until         time.Time
}

// add records the count from now on.
func (r *recentMost) add(count int, now time.Time) {
	if most := r.at(now); count < most {
		if r.current == most {
			r.until = now.Add(recentTime)
		}
		r.most = most
	}
	r.current = count
}

// at returns the greatest count lately, at least 1.
func (r *recentMost) at(now time.Time) int {
	if now.Before(r.until) {
		return max(r.most, r.current)
	}
	return max(r.current, 1)
}
