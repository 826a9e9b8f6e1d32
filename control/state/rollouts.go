package state

import (
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/rollout"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// maxRetired is the maximum number of versions of a service that are kept as retired.
// The platform runs a few at a time.
const maxRetired = 32

// RolloutOrder orders the rollout of a new version of a service.
type RolloutOrder struct {
	Service route.ServiceName `json:"service"`
	Version string            `json:"version"`
	RampMS  int64             `json:"ramp"`
}

// RolloutStep changes a running rollout. It has no effect unless Order is the service's
// running rollout and Step the next one, so that steps of a former leader and repeated
// ones change nothing.
type RolloutStep struct {
	Service   route.ServiceName `json:"service"`
	Order     uint64            `json:"order"`
	Step      uint64            `json:"step"`
	State     rollout.State     `json:"state"`
	Phase     rollout.Phase     `json:"phase"`
	Share     float64           `json:"share"`
	ElapsedMS int64             `json:"elapsed"`
	// Replaced are the old versions, if State is rollout.Completed.
	Replaced []string `json:"replaced,omitempty"`
	Reason   string   `json:"reason,omitempty"`
}

// RolloutOutcome is the outcome of a RolloutOrder.
type RolloutOutcome string

// Outcomes of a RolloutOrder.
const (
	// RolloutStarted means that the rollout began.
	RolloutStarted RolloutOutcome = "started"
	// RolloutRepeated means that the newest rollout of the service has the same order.
	RolloutRepeated RolloutOutcome = "repeated"
	// RolloutConflict means that another rollout of the service is running.
	RolloutConflict RolloutOutcome = "conflict"
)

// orderRollout starts a rollout unless the service's newest one has the same order or is
// still running.
func (s *State) orderRollout(o *RolloutOrder) RolloutOutcome {
	old, exists := s.view.Rollouts[o.Service]
	ramp := time.Duration(o.RampMS) * time.Millisecond
	switch {
	case exists && old.Version == o.Version && (old.Ramp == ramp || old.State == rollout.Completed):
		return RolloutRepeated
	case exists && old.State == rollout.Running:
		return RolloutConflict
	}
	s.putRollout(o.Service, &rollout.Status{
		Order: s.index, Version: o.Version, State: rollout.Running, Ramp: ramp, OrderedAt: s.now(),
		Retired: without(old.Retired, o.Version),
	})
	return RolloutStarted
}

// stepRollout applies a step and reports whether it took effect.
func (s *State) stepRollout(c *RolloutStep) bool {
	old, exists := s.view.Rollouts[c.Service]
	if !exists || old.State != rollout.Running || old.Order != c.Order || old.Step+1 != c.Step {
		return false
	}
	next := old
	next.Step, next.State, next.Phase, next.Share, next.Reason = c.Step, c.State, c.Phase, c.Share, c.Reason
	next.Elapsed = max(old.Elapsed, time.Duration(c.ElapsedMS)*time.Millisecond)
	switch c.State {
	case rollout.Completed:
		next.Retired = retire(old.Retired, without(c.Replaced, old.Version)...)
	case rollout.Running:
	case rollout.RolledBack:
		next.Retired = retire(old.Retired, old.Version)
	}
	s.putRollout(c.Service, &next)
	return true
}

func (s *State) putRollout(service route.ServiceName, r *rollout.Status) {
	s.put(&pb.Record{Key: rpc.KeyRollout + string(service), Value: &pb.Record_Rollout{Rollout: r.Record()}})
}

// without returns the versions other than version, as a new slice.
func without(versions []string, version string) []string {
	return slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return v == version })
}

// retire adds versions to the retired ones, and drops the oldest beyond maxRetired.
func retire(retired []string, versions ...string) []string {
	out := slices.Clone(retired)
	for _, v := range versions {
		if !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	return out[max(0, len(out)-maxRetired):]
}
