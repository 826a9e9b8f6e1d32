package rollout

import (
	"math"
	"strconv"
	"time"
)

const (
	// settleTime is how long a new leader waits for the gateways' counts before it gives
	// the new version more.
	settleTime = 1500 * time.Millisecond
	// blindTime is how long no gateway may report before the new version gets nothing.
	blindTime = 4 * time.Second
	// staleTime is how long no gateway may report before a step waits.
	staleTime = 2500 * time.Millisecond
	// followTime is how long a step waits for gateways that don't follow the one before.
	followTime = 400 * time.Millisecond
	// canaryInterval is the time between changes of the canary's share, and
	// progressInterval the time after which the elapsed time is recorded anyway.
	canaryInterval   = time.Second
	progressInterval = 4 * time.Second
	// canaryChange is the factor by which the canary's share must change.
	canaryChange = 1.25
	// minAnswers is the number of the new version's answers that the ramp waits for, and
	// evidenceTime how long it does.
	minAnswers   = 10
	evidenceTime = 3 * time.Second
	// minProven is the number of requests that the new version must have had before the
	// last second or two of its closing.
	minProven = 5
	// suspicionEnd is the time before the deadline from which on a suspicion that wasn't
	// confirmed doesn't hold the rollout back.
	suspicionEnd = 500 * time.Millisecond
	// likelyBadPart is the part of the allowed requests from which on a version that is
	// likely bad is rolled back without further evidence.
	likelyBadPart = 0.7
	// minTaken is the share of requests that the new version must have taken in the last
	// step of the ramp, if there were at least minTakenRequests.
	minTaken         = 0.5
	minTakenRequests = 10
	// takenTime is how long that step must have lasted, so that the requests counted are
	// its own.
	takenTime = 2 * time.Second
	// idleMargin is the time before the deadline at which a version of a service without
	// requests gets all of them, so that the rollout ends in time although nothing is
	// known of the version. It is short because requests that come after the completion
	// and before the deadline count for the exposure.
	idleMargin = 1300 * time.Millisecond
	// drainTime is how long the closing waits for requests in flight at old targets,
	// after the deadline.
	drainTime = time.Second
)

// Input is what a decision depends on.
type Input struct {
	Status Status
	// Elapsed is the time since the order, SinceStep the time since Status.Step was
	// applied, and Leading the time since this process decides.
	Elapsed, SinceStep, Leading time.Duration
	// SentOld and SentNew are the requests since the order.
	SentOld, SentNew int
	// NewAnswers is the number of answers of the new version since the order.
	NewAnswers int
	// RecentOld and RecentNew are the requests of the last second or two.
	RecentOld, RecentNew int
	// Rate is the number of requests per second.
	Rate    float64
	Verdict Verdict
	// ReportAge is the time since a gateway last reported.
	ReportAge time.Duration
	// Followed means that all gateways that report follow Status.Step.
	Followed bool
	// Stranded means that no target of the new version is usable but some old ones are.
	Stranded bool
	// Closed means that no gateway sends new requests to old targets any more, and
	// Drained that none is in flight there.
	Closed, Drained bool
}

// Decision is the next step of a rollout.
type Decision struct {
	State  State
	Phase  Phase
	Share  float64
	Reason string
}

// Decide returns the next step, nil if nothing changes.
func Decide(b Bounds, in *Input) *Decision {
	if in.Verdict.Bad {
		return &Decision{State: RolledBack, Reason: in.Verdict.reason()}
	}
	if in.ReportAge > blindTime && in.Leading > blindTime {
		if in.Status.Share == 0 {
			return progress(in)
		}
		return &Decision{State: Running, Phase: Canary, Reason: "no gateway reports"}
	}
	if in.Stranded {
		return decideStranded(in)
	}
	if in.Leading < settleTime || in.ReportAge > staleTime {
		return nil
	}
	s := newSchedule(b, in)
	if in.Verdict.LikelyBad() && float64(in.SentNew) > likelyBadPart*s.allowed {
		return &Decision{State: RolledBack, Reason: in.Verdict.reason()}
	}
	if in.Verdict.Suspicious() {
		switch {
		case in.Elapsed < in.Status.Ramp-suspicionEnd:
			return nil
		case in.Rate == 0:
			// There are no requests that would confirm or clear the suspicion.
			return &Decision{State: RolledBack, Reason: in.Verdict.reason()}
		}
	}
	switch in.Status.Phase {
	case Canary:
		return s.decideCanary(in)
	case Ramp:
		return s.decideRamp(in)
	default:
		return decideClosing(in)
	}
}

// progress records the elapsed time if it wasn't lately.
func progress(in *Input) *Decision {
	if in.SinceStep < progressInterval {
		return nil
	}
	return &Decision{State: Running, Phase: in.Status.Phase, Share: in.Status.Share}
}

// decideStranded keeps the requests at the old versions until a target of the new one is
// usable: once the rollout is completed, the old targets stop.
func decideStranded(in *Input) *Decision {
	switch {
	case in.Elapsed >= in.Status.Ramp:
		return &Decision{State: RolledBack, Reason: "no target of the new version is usable"}
	case in.Status.Phase == Closing:
		return &Decision{State: Running, Phase: Ramp, Share: rampShares[len(rampShares)-1], Reason: "no target of the new version is usable"}
	default:
		return progress(in)
	}
}

// unproven reports whether hardly any requests reached the new version.
func (in *Input) unproven() bool { return in.NewAnswers < minAnswers }

// idleEnd returns when the version of a service without requests gets all of them.
func (in *Input) idleEnd() time.Duration {
	return in.Status.Ramp - min(idleMargin, time.Duration(maxEndPart*float64(in.Status.Ramp)))
}

func (s *schedule) decideCanary(in *Input) *Decision {
	if in.Rate == 0 && in.unproven() {
		if in.Elapsed >= in.idleEnd() {
			return &Decision{State: Running, Phase: Closing, Share: 1}
		}
		return progress(in)
	}
	enough := !in.unproven() || in.Elapsed >= s.rampAt+evidenceTime
	if in.Elapsed >= s.rampAt && enough {
		return &Decision{State: Running, Phase: Ramp, Share: rampShares[0]}
	}
	if in.SinceStep < canaryInterval && in.Status.Step > 0 {
		return nil
	}
	share := s.canaryShare(in)
	low, high := min(share, in.Status.Share), max(share, in.Status.Share)
	if high > low*canaryChange {
		return &Decision{State: Running, Phase: Canary, Share: share}
	}
	return progress(in)
}

func (s *schedule) decideRamp(in *Input) *Decision {
	if in.SinceStep < s.step || !in.Followed && in.SinceStep < s.step+followTime {
		return nil
	}
	for _, share := range rampShares {
		if share > in.Status.Share+1e-6 {
			return &Decision{State: Running, Phase: Ramp, Share: share}
		}
	}
	all := in.RecentOld + in.RecentNew
	if all >= minTakenRequests && float64(in.RecentNew) < minTaken*float64(all) {
		if in.Elapsed >= in.Status.Ramp && in.SinceStep >= takenTime {
			return &Decision{State: RolledBack, Reason: "the new version takes too few requests"}
		}
		return progress(in)
	}
	return &Decision{State: Running, Phase: Closing, Share: 1}
}

func decideClosing(in *Input) *Decision {
	if in.RecentNew >= minAnswers && in.SentNew-in.RecentNew < minProven {
		// The service had no requests before.
		return &Decision{State: Running, Phase: Canary, Share: blindCanary, Reason: "first requests of the service"}
	}
	late := in.Elapsed > in.Status.Ramp && in.SinceStep > closingTime+drainTime
	if in.SinceStep < closingTime || !in.Closed || !in.Drained && !late {
		return nil
	}
	return &Decision{State: Completed, Share: 1, Reason: "no worse than the old version"}
}

// reason returns the verdict's figures as text.
func (v *Verdict) reason() string {
	route := v.Route
	if route == "" {
		route = "all"
	}
	return strconv.Itoa(v.BadAnswers) + " of " + strconv.Itoa(v.Answers) + " answers " + v.Measure +
		" within " + v.Window.String() + " on route " + route + ", expected " +
		strconv.FormatFloat(v.Expected, 'f', 1, 64) + ", chance 1e" + strconv.Itoa(int(math.Round(math.Log10(max(v.Chance, 1e-99)))))
}
