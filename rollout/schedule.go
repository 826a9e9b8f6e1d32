package rollout

import "time"

// Bounds are the limits that a rollout keeps.
type Bounds struct {
	// Share and Slack bound the requests that a bad version gets: a share of all requests
	// of the rollout's time, and a number in addition.
	Share float64
	Slack float64
	// Rollback is the time after a version's 50th bad answer from which on it gets no
	// requests.
	Rollback time.Duration
}

// DefaultBounds apply if the platform states none.
var DefaultBounds = Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}

const (
	// usedSlack is the part of Bounds.Slack that is planned with. The rest covers late
	// reports and the random number of requests.
	usedSlack = 0.6
	// leastDemand is the part of the current rate that is expected for the rest of the
	// rollout.
	leastDemand = 0.7
	// quickPart is the part of the allowed requests that the steps at the end get. The
	// rest is for the canary.
	quickPart = 0.65
	// closingTime and detectTime are how long all requests go to the new version before
	// the rollout is completed, and before a bad version is found.
	closingTime = 800 * time.Millisecond
	detectTime  = 500 * time.Millisecond
	// minStepTime and maxStepTime bound the time of each step of the ramp. A shorter one
	// ends before the answers to its requests are reported.
	minStepTime = 700 * time.Millisecond
	maxStepTime = 1500 * time.Millisecond
	// maxCanary is the largest share of the canary, and blindCanary its share while the
	// rate of requests is unknown.
	maxCanary   = 0.1
	blindCanary = 0.02
	// minCanaryRequests is the number of requests that the canary gets even if the bounds
	// leave none for a version that turns bad at the end.
	minCanaryRequests = 15.0
	// endMargin is the time before the deadline at which the rollout should be completed,
	// so that a change of the leader doesn't make it late, and maxEndPart the part of the
	// rollout's time that it takes at most.
	endMargin  = 3 * time.Second
	maxEndPart = 0.2
)

// rampShares are the shares of the steps of the ramp. The last one leaves the old
// versions enough requests to compare with.
var rampShares = [...]float64{0.3, 0.9}

// schedule is the plan of a rollout, as of one moment.
type schedule struct {
	// step is the time of each step of the ramp.
	step time.Duration
	// rampAt is when the ramp should start, as a time since the order.
	rampAt time.Duration
	// allowed is the number of requests that a bad version may get, as planned.
	allowed float64
	// canaryLeft is the number of requests that the canary may still get.
	canaryLeft float64
}

// newSchedule plans the rest of a rollout so that a version that is found bad only
// during its closing gets no more requests than the bounds allow.
func newSchedule(b Bounds, in *Input) schedule {
	left := max(in.Status.Ramp-in.Elapsed, 0).Seconds()
	total := float64(in.SentOld+in.SentNew) + leastDemand*in.Rate*left
	allowed := b.Share*total + usedSlack*b.Slack
	sum := 0.0
	for _, share := range rampShares {
		sum += share
	}
	fixed := (closingTime + detectTime).Seconds()
	step := maxStepTime
	if in.Rate > 0 {
		step = time.Duration((quickPart*allowed/in.Rate - fixed) / sum * float64(time.Second))
	}
	s := schedule{allowed: allowed, step: min(max(step, minStepTime), maxStepTime)}
	quick := in.Rate * (fixed + sum*s.step.Seconds())
	s.canaryLeft = max(allowed-quick, minCanaryRequests) - float64(in.SentNew)
	margin := min(endMargin, time.Duration(maxEndPart*float64(in.Status.Ramp)))
	needed := time.Duration(len(rampShares))*(s.step+followTime) + closingTime
	s.rampAt = max(in.Status.Ramp-margin-needed, in.Status.Ramp/4)
	return s
}

// canaryShare returns the share that spreads the canary's requests evenly over its time.
func (s *schedule) canaryShare(in *Input) float64 {
	if in.Rate == 0 {
		return blindCanary
	}
	left := max(s.rampAt-in.Elapsed, time.Second).Seconds()
	return min(max(s.canaryLeft/(in.Rate*left), 0), maxCanary)
}
