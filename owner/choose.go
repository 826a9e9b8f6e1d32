package owner

import "time"

const (
	// stallFactor is how many average service times a search may run, while its
	// target answers nothing else, before the target counts as stalled.
	stallFactor = 3.0
	// latencyMaxAge is how long a target's average latency is used after its
	// last search.
	latencyMaxAge = time.Second
)

// choose returns the target with a free slot that should run j, or nil if j
// should wait. It decides by what this owner has observed: failures, latency
// and searches in flight. Outliers and stalled targets are sent only probes
// while a healthy target can serve the job.
func (s *shard) choose(j *job, now time.Time) *replica {
	best := s.bestLatency()
	var chosen, fallback, probe *replica
	healthy := false
	for _, r := range s.replicas {
		if !s.eligible(r, j, now) {
			continue
		}
		bad := s.updateEjection(r, best, now)
		healthy = healthy || !bad
		if r.free() <= 0 {
			continue
		}
		switch {
		case !bad:
			chosen = better(chosen, r, best, now)
		case r.probeDue(j, now):
			probe = better(probe, r, best, now)
		default:
			fallback = better(fallback, r, best, now)
		}
	}
	if probe != nil {
		probe.outlier = probe.outlier.probed(now)
		return probe
	}
	if chosen != nil || healthy {
		return chosen
	}
	return fallback
}

// redirects reports whether j should be refused at once, so that the requesting
// router can try another owner: all targets here that could run it are outliers
// or stalled, and none is due for a probe.
func (s *shard) redirects(j *job, now time.Time) bool {
	if j.request.GetInsist() {
		return false
	}
	best := s.bestLatency()
	for _, r := range s.replicas {
		if s.eligible(r, j, now) && (!s.updateEjection(r, best, now) || r.probeDue(j, now)) {
			return false
		}
	}
	return true
}

// probeDue reports whether j may probe an ejected target. Hedges don't probe.
func (r *replica) probeDue(j *job, now time.Time) bool {
	return r.outlier.probeDue(now) && len(r.inFlight) == 0 && !j.request.GetHedge()
}

// eligible reports whether r may run j. A hedge never runs at a target that has
// an attempt of the same request in flight.
func (s *shard) eligible(r *replica, j *job, now time.Time) bool {
	q := j.request
	if q.GetHedge() && r.hasRequest(q.GetRequestId()) {
		return false
	}
	return r.usable() && r.serves(q.GetIndexVersion(), now) && !j.excludes(r.id())
}

// updateEjection reports whether r is an outlier or stalled. It starts or ends
// the ejection of an outlier.
func (s *shard) updateEjection(r *replica, best time.Duration, now time.Time) bool {
	bad := r.outlier.isOutlier(best)
	switch {
	case bad && !r.outlier.ejected():
		r.outlier = r.outlier.eject(now)
	case !bad && r.outlier.ejected():
		r.outlier = r.outlier.readmit()
	}
	return bad || s.stalled(r, now)
}

// stalled reports whether a search at r has been running far longer than
// average while r has answered nothing else.
func (s *shard) stalled(r *replica, now time.Time) bool {
	service := s.service.value
	if service == 0 || len(r.inFlight) == 0 {
		return false
	}
	limit := time.Duration(stallFactor * float64(service))
	return now.Sub(r.inFlight[0].started) > limit && now.Sub(r.answeredAt) > limit
}

// bestLatency returns the lowest average latency of the usable targets, 0 if
// none is known.
func (s *shard) bestLatency() time.Duration {
	var best time.Duration
	for _, r := range s.replicas {
		l := r.outlier.latency
		if r.usable() && l > 0 && (best == 0 || l < best) {
			best = l
		}
	}
	return best
}

// better returns the one of a and b with the lower cost; at equal cost, the one
// that was sampled less recently, so that no target is left out permanently. a
// may be nil.
func better(a, b *replica, best time.Duration, now time.Time) *replica {
	if a == nil {
		return b
	}
	costA, costB := cost(a, best, now), cost(b, best, now)
	if costB < costA || (costB == costA && b.sampledAt.Before(a.sampledAt)) {
		return b
	}
	return a
}

// cost returns a figure that grows with a target's load relative to its limit
// and with its latency. An outdated latency is replaced by the best one, so
// that a target without recent searches is tried again.
func cost(r *replica, best time.Duration, now time.Time) float64 {
	load := float64(len(r.inFlight)+1) / float64(r.ramp.Limit())
	latency := r.outlier.latency
	if now.Sub(r.sampledAt) > latencyMaxAge {
		latency = best
	}
	return load * float64(max(latency, time.Millisecond))
}
