package owner

import "time"

const (
	// stallFactor is how many usual service times a search may run, without any
	// answer of its target meanwhile, before the target gets nothing more.
	stallFactor = 3.0
	// latencyAge is how long a target's latency counts after its last search.
	latencyAge = time.Second
)

// choose returns the target with a free slot that should run j, or nil if j
// had better wait. What the owner saw itself decides: failures, latency and
// searches in flight. Targets that stand out get nothing but probes while
// another one can serve the job.
func (s *shard) choose(j *job, now time.Time) *replica {
	best := s.bestLatency()
	var chosen, last, probe *replica
	healthy := false
	for _, r := range s.replicas {
		if !s.eligible(r, j, now) {
			continue
		}
		bad := s.judge(r, best, now)
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
			last = better(last, r, best, now)
		}
	}
	if probe != nil {
		probe.outlier = probe.outlier.probed(now)
		return probe
	}
	if chosen != nil || healthy {
		return chosen
	}
	return last
}

// bounces reports whether j should go to another owner at once: all targets
// here that could run it stand out, and none is due for a probe.
func (s *shard) bounces(j *job, now time.Time) bool {
	if j.request.GetInsist() {
		return false
	}
	best := s.bestLatency()
	for _, r := range s.replicas {
		if s.eligible(r, j, now) && (!s.judge(r, best, now) || r.probeDue(j, now)) {
			return false
		}
	}
	return true
}

// probeDue reports whether j may probe an ejected target.
func (r *replica) probeDue(j *job, now time.Time) bool {
	return r.outlier.due(now) && len(r.running) == 0 && !j.request.GetHedge()
}

func (s *shard) eligible(r *replica, j *job, now time.Time) bool {
	q := j.request
	if q.GetHedge() && r.runs(q.GetRequestId()) {
		return false
	}
	return r.usable() && r.serves(q.GetIndexVersion(), now) && !j.excludes(r.id())
}

// judge reports whether r stands out, and starts or ends its ejection.
func (s *shard) judge(r *replica, best time.Duration, now time.Time) bool {
	bad := r.outlier.bad(best)
	switch {
	case bad && !r.outlier.ejectedSince():
		r.outlier = r.outlier.eject(now)
	case !bad && r.outlier.ejectedSince():
		r.outlier = r.outlier.readmit()
	}
	return bad || s.stalled(r, now)
}

// stalled reports whether a search at r runs far longer than usual while r
// answers nothing else.
func (s *shard) stalled(r *replica, now time.Time) bool {
	service := s.service.value
	if service == 0 || len(r.running) == 0 {
		return false
	}
	limit := time.Duration(stallFactor * float64(service))
	return now.Sub(r.running[0].started) > limit && now.Sub(r.answeredAt) > limit
}

// bestLatency returns the least average latency of the usable targets, 0 if
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

// better returns the one of a and b that costs less; of two that cost the same,
// the one that was tried less lately, so that none is left out for good. A may
// be nil.
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

// cost grows with a target's load for its limit and its latency. An old latency
// counts as the best one, so that a target that got no work is tried again.
func cost(r *replica, best time.Duration, now time.Time) float64 {
	load := float64(len(r.running)+1) / float64(r.ramp.Limit())
	latency := r.outlier.latency
	if now.Sub(r.sampledAt) > latencyAge {
		latency = best
	}
	return load * float64(max(latency, time.Millisecond))
}
