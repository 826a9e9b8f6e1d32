package owner

import (
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

// replicaState tells whether an owned target may get work.
type replicaState uint8

const (
	// stateFenced waits until the previous owner's work has ended.
	stateFenced replicaState = iota
	// stateActive may get work.
	stateActive
	// stateClosed was taken away; what is in flight ends.
	stateClosed
)

// replica is one target that this router owns, or owned. Its shard's lock
// guards it.
type replica struct {
	target *topology.Target
	state  replicaState
	// epoch is the index that wrote the assignment.
	epoch uint64
	// fenceEnd is when a fenced replica may start without word of release.
	fenceEnd time.Time
	// safe is true once the previous owner's work had ended.
	safe  bool
	quiet bool

	ramp     Ramp
	outlier  outlier
	versions []uint64
	// versionsAt is when the target itself last told its versions.
	versionsAt time.Time
	// draining is the process number that said that it leaves, 0 if none.
	draining uint64
	running  []*running
	// reportedProcess is the process number on the last health page.
	reportedProcess uint64
	// answeredAt is when the target last answered a search.
	answeredAt time.Time
	// sampledAt is when a search there last ended in any way.
	sampledAt time.Time
}

// running is one search at a target.
type running struct {
	requestID string
	started   time.Time
}

func (r *replica) id() topology.TargetID { return r.target.ID }

// usable reports whether the replica may get work at all.
func (r *replica) usable() bool {
	return r.state == stateActive && !r.quiet && r.draining == 0
}

// serves reports whether the replica serves index version v as far as known. A
// version newer than all that are known may have arrived meanwhile; to ask
// costs no start.
func (r *replica) serves(v uint64, now time.Time) bool {
	if len(r.versions) == 0 || slices.Contains(r.versions, v) {
		return true
	}
	return v > r.versions[0] && now.Sub(r.versionsAt) > versionsFor
}

// versionsFor is how long a target that lacks a version isn't asked again.
const versionsFor = 200 * time.Millisecond

func (r *replica) free() int { return r.ramp.Limit() - len(r.running) }

// runs reports whether an attempt of the request is at the target.
func (r *replica) runs(requestID string) bool {
	for _, run := range r.running {
		if run.requestID == requestID {
			return true
		}
	}
	return false
}

func (r *replica) begin(requestID string, now time.Time) *running {
	run := &running{requestID: requestID, started: now}
	r.running = append(r.running, run)
	return run
}

// end frees the slot of run and reports whether it was taken.
func (r *replica) end(run *running) bool {
	i := slices.Index(r.running, run)
	if i < 0 {
		return false
	}
	r.running = slices.Delete(r.running, i, i+1)
	return true
}

// admits reports whether run may still be sent after the target was found to
// have closed an idle connection: it may have restarted and be cold.
func (r *replica) admits(run *running) bool {
	r.ramp = r.ramp.Step(ConnectionLost{})
	i := slices.Index(r.running, run)
	return i >= 0 && i < r.ramp.Limit()
}

// observe takes in what a search showed of the target.
func (r *replica) observe(out target.Outcome, usual time.Duration, now time.Time) {
	r.sampledAt = now
	if len(out.Versions) > 0 {
		r.versions, r.versionsAt = out.Versions, now
	}
	if out.Process != 0 && r.draining != 0 && out.Process != r.draining {
		r.draining = 0
	}
	switch out.Reason {
	case target.ReasonNone:
		r.answeredAt = now
		r.ramp = r.ramp.Step(Served{Process: out.Process, Service: out.ServiceTime})
		r.outlier = r.outlier.answered(out.ServiceTime)
	case target.ReasonShed:
		r.ramp = r.ramp.Step(Shed{Process: out.Process})
		r.outlier = r.outlier.failed()
	case target.ReasonDraining:
		r.ramp = r.ramp.Step(ProcessSeen{Process: out.Process})
		r.draining = max(out.Process, 1)
	case target.ReasonConnect, target.ReasonConnectionLost:
		r.ramp = r.ramp.Step(ConnectionLost{})
		r.outlier = r.outlier.failed()
	case target.ReasonDeadline, target.ReasonCancelled:
		r.ramp = r.ramp.Step(ProcessSeen{Process: out.Process})
		r.outlier = r.outlier.givenUp(out.ServiceTime, usual)
	case target.ReasonVersionGone:
		r.ramp = r.ramp.Step(ProcessSeen{Process: out.Process})
	case target.ReasonBadAnswer, target.ReasonTargetError:
		r.ramp = r.ramp.Step(ProcessSeen{Process: out.Process})
		r.outlier = r.outlier.failed()
	}
}
