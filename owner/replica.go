package owner

import (
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

// replicaState determines whether an owned target may be sent searches.
type replicaState uint8

const (
	// stateFenced means that the previous owner's searches may still be in
	// flight.
	stateFenced replicaState = iota
	// stateActive means that searches may be sent.
	stateActive
	// stateClosed means that the target is no longer owned; searches in flight
	// continue.
	stateClosed
)

// replica is one target that this router owns or has owned. Its shard's lock
// guards it.
type replica struct {
	target *topology.Target
	state  replicaState
	// epoch is the index at which the assignment was written.
	epoch uint64
	// fenceEnd is when a fenced replica becomes active even if the previous
	// owner hasn't confirmed its release.
	fenceEnd time.Time
	// previousDone is set once the previous owner has nothing in flight.
	previousDone bool
	quiet        bool

	ramp     Ramp
	outlier  outlier
	versions []uint64
	// versionsAt is when a search response last listed the target's index
	// versions.
	versionsAt time.Time
	// drainingProcess is the process number that reported that it is draining, 0
	// if none.
	drainingProcess uint64
	inFlight        []*inFlightSearch
	// healthProcess is the process number on the last health page.
	healthProcess uint64
	// answeredAt is when the target last answered a search.
	answeredAt time.Time
	// sampledAt is when a search last ended, with any outcome.
	sampledAt time.Time
}

// inFlightSearch is one search that holds a slot of a target.
type inFlightSearch struct {
	requestID string
	started   time.Time
}

func (r *replica) id() topology.TargetID { return r.target.ID }

// usable reports whether the replica may be sent searches at all.
func (r *replica) usable() bool {
	return r.state == stateActive && !r.quiet && r.drainingProcess == 0
}

// serves reports whether the replica is expected to serve index version v. A
// version newer than all known ones may have become available since the
// versions were listed; trying it is safe, because a target that lacks the
// version doesn't start the search.
func (r *replica) serves(v uint64, now time.Time) bool {
	if len(r.versions) == 0 || slices.Contains(r.versions, v) {
		return true
	}
	return v > r.versions[0] && now.Sub(r.versionsAt) > versionRecheckInterval
}

// versionRecheckInterval is how long a target that lacked a newer version isn't
// tried with one again.
const versionRecheckInterval = 200 * time.Millisecond

// free returns the number of free slots. It is negative after the limit has
// dropped below the searches in flight.
func (r *replica) free() int { return r.ramp.Limit() - len(r.inFlight) }

// hasRequest reports whether an attempt of the request is in flight at the
// target.
func (r *replica) hasRequest(requestID string) bool {
	for _, run := range r.inFlight {
		if run.requestID == requestID {
			return true
		}
	}
	return false
}

// begin takes a slot for a search of the request.
func (r *replica) begin(requestID string, now time.Time) *inFlightSearch {
	run := &inFlightSearch{requestID: requestID, started: now}
	r.inFlight = append(r.inFlight, run)
	return run
}

// end frees the slot of run and reports whether it was still held.
func (r *replica) end(run *inFlightSearch) bool {
	i := slices.Index(r.inFlight, run)
	if i < 0 {
		return false
	}
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
	return true
}

// allowsReconnect reports whether run may still be sent after the target was
// found to have closed an idle connection. The target may have restarted and be
// cold, so only the searches within the cold limit may.
func (r *replica) allowsReconnect(run *inFlightSearch) bool {
	r.ramp = r.ramp.Step(ConnectionLost{})
	i := slices.Index(r.inFlight, run)
	return i >= 0 && i < r.ramp.Limit()
}

// observe updates the replica's state with the outcome of a search. typical is
// the shard's average service time.
func (r *replica) observe(out target.Outcome, typical time.Duration, now time.Time) {
	r.sampledAt = now
	if len(out.Versions) > 0 {
		r.versions, r.versionsAt = out.Versions, now
	}
	if out.Process != 0 && r.drainingProcess != 0 && out.Process != r.drainingProcess {
		r.drainingProcess = 0
	}
	switch out.Reason {
	case target.ReasonNone:
		r.answeredAt = now
		r.ramp = r.ramp.Step(Served{Process: out.Process, Service: out.ServiceTime, Work: out.Work})
		r.outlier = r.outlier.answered(out.ServiceTime)
	case target.ReasonShed:
		r.ramp = r.ramp.Step(Shed{Process: out.Process})
		r.outlier = r.outlier.failed()
	case target.ReasonDraining:
		r.ramp = r.ramp.Step(ProcessSeen{Process: out.Process})
		r.drainingProcess = max(out.Process, 1)
	case target.ReasonConnect, target.ReasonConnectionLost:
		r.ramp = r.ramp.Step(ConnectionLost{})
		r.outlier = r.outlier.failed()
	case target.ReasonDeadline, target.ReasonCancelled:
		r.ramp = r.ramp.Step(ProcessSeen{Process: out.Process})
		r.outlier = r.outlier.abandoned(out.ServiceTime, typical)
	case target.ReasonVersionGone:
		r.ramp = r.ramp.Step(ProcessSeen{Process: out.Process})
	case target.ReasonBadAnswer, target.ReasonTargetError:
		r.ramp = r.ramp.Step(ProcessSeen{Process: out.Process})
		r.outlier = r.outlier.failed()
	}
}
