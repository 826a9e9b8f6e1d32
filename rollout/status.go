package rollout

import (
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

// State says whether a rollout has ended.
type State string

// States of a rollout.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// Phase is the part of a running rollout.
type Phase int

// Phases of a running rollout, in their order.
const (
	// Canary gives the new version a small share until the rollout must be finished.
	Canary Phase = iota
	// Ramp raises the share in steps.
	Ramp
	// Closing gives old versions no new requests, and waits until all gateways follow.
	Closing
)

// String returns the phase's name in logs.
func (p Phase) String() string { return [...]string{"canary", "ramp", "closing"}[p] }

// sharePPM is the number of parts that a share is divided into in records.
const sharePPM = 1_000_000

// Status is the replicated state of the newest rollout of one service.
type Status struct {
	// Order is the log index of the order.
	Order uint64
	// Version is the new version.
	Version string
	State   State
	// Ramp is the time in which the rollout must end.
	Ramp time.Duration
	// OrderedAt is the wall clock's time of the order at its proposer.
	OrderedAt time.Time
	// Step counts the changes of the rollout.
	Step  uint64
	Phase Phase
	// Share is the share of requests for the new version, from 0 to 1.
	Share float64
	// Elapsed is the time since the order at which Step was decided.
	Elapsed time.Duration
	// Retired are the versions that get no requests: those that completed rollouts
	// replaced and those that were rolled back. It must not be modified.
	Retired []string
	// Reason says why the rollout ended.
	Reason string
}

// IsRetired reports whether targets of a version get no requests.
func (s *Status) IsRetired(version string) bool { return slices.Contains(s.Retired, version) }

var stateNumbers = map[State]pb.RolloutState{
	Running:    pb.RolloutState_ROLLOUT_STATE_RUNNING,
	Completed:  pb.RolloutState_ROLLOUT_STATE_COMPLETED,
	RolledBack: pb.RolloutState_ROLLOUT_STATE_ROLLED_BACK,
}

// Record encodes the status.
func (s *Status) Record() *pb.RolloutRecord {
	return &pb.RolloutRecord{
		Order: s.Order, Version: s.Version, State: stateNumbers[s.State],
		RampMs: uint64(s.Ramp.Milliseconds()), OrderedAtUnixMs: s.OrderedAt.UnixMilli(), //nolint:gosec // Not negative.
		Step: s.Step, Phase: pb.RolloutPhase(s.Phase), SharePpm: uint32(s.Share * sharePPM), //nolint:gosec // Small numbers.
		ElapsedMs: uint64(s.Elapsed.Milliseconds()), Retired: s.Retired, Reason: s.Reason, //nolint:gosec // Not negative.
	}
}

// FromRecord decodes a status. An unknown state counts as rolled back, and an unknown
// phase as Canary, so that newer records never send more to the new version.
func FromRecord(r *pb.RolloutRecord) Status {
	s := Status{
		Order: r.GetOrder(), Version: r.GetVersion(), State: RolledBack,
		Ramp:      time.Duration(r.GetRampMs()) * time.Millisecond, //nolint:gosec // Bounded by the order's check.
		OrderedAt: time.UnixMilli(r.GetOrderedAtUnixMs()).UTC(), Step: r.GetStep(),
		Share: float64(r.GetSharePpm()) / sharePPM, Elapsed: time.Duration(r.GetElapsedMs()) * time.Millisecond, //nolint:gosec // As above.
		Retired: r.GetRetired(), Reason: r.GetReason(),
	}
	for state, number := range stateNumbers {
		if number == r.GetState() {
			s.State = state
		}
	}
	if p := Phase(r.GetPhase()); p >= Canary && p <= Closing {
		s.Phase = p
	}
	return s
}
