package api

import (
	"time"

	"github.com/peridotmux/peridotmux/topology"
)

const (
	// PathIntents accepts a Submission (POST) and returns an IntentList (GET).
	PathIntents = "/v1/intents"
	// PathIntent returns one Intent (GET), by its id or the id of its plan.
	PathIntent = "/v1/intents/{id}"
	// PathConfirm accepts a Confirmation of a plan (POST).
	PathConfirm = "/v1/intents/{plan}/confirm"
	// PathWithdraw accepts a Withdrawal of an intent that isn't confirmed (POST).
	PathWithdraw = "/v1/intents/{id}/withdraw"
	// PathStatus returns a Status (GET).
	PathStatus = "/v1/status"
	// PathMembers accepts a MemberChange (POST) and returns a MemberList (GET).
	PathMembers = "/v1/members"

	// MaxIntentBytes bounds the body of a Submission, in bytes.
	MaxIntentBytes = 8 << 20
	// MaxCommandBytes bounds the length of a command number, in bytes.
	MaxCommandBytes = 128
)

// IntentKind is the kind of change that an operator requests.
type IntentKind string

// Kinds of intents.
const (
	IntentTakeOut       IntentKind = "take-out"
	IntentBringBack     IntentKind = "bring-back"
	IntentLeave         IntentKind = "leave"
	IntentConfigure     IntentKind = "configure"
	IntentNonIdempotent IntentKind = "non-idempotent"
)

// IntentSpec describes a change that an operator requests. Kind decides which of
// the other fields apply.
type IntentSpec struct {
	Kind IntentKind `json:"kind"`
	// DataCentre is the data centre to take out or bring back.
	DataCentre topology.DataCentre `json:"data_centre,omitempty"`
	// Targets are the targets to take out, bring back or remove for good.
	Targets []topology.TargetID `json:"targets,omitempty"`
	// ReturnAt is the time at which a take-out ends automatically; zero for never.
	ReturnAt time.Time `json:"return_at,omitzero"`
	// Deployment is the configuration to put in force.
	Deployment *topology.Deployment `json:"deployment,omitempty"`
	// Kinds are the kinds of queries to declare non-idempotent.
	Kinds []topology.KindName `json:"kinds,omitempty"`
	// Lift revokes earlier declarations of Kinds as non-idempotent instead.
	Lift bool `json:"lift,omitempty"`
	// Overrides lists reasons for refusing the plan whose risk the operator accepts:
	// PlanNoReplica, PlanInsufficientCapacity and PlanNoRouter. Others can't be
	// overridden.
	Overrides []PlanReason `json:"overrides,omitempty"`
	// Operator is the name of the operator, recorded with the intent.
	Operator string `json:"operator,omitempty"`
}

// Submission requests a plan for an intent.
type Submission struct {
	// Command is the command number, an idempotency key: a resend with the same
	// number returns the first outcome.
	Command string     `json:"command"`
	Intent  IntentSpec `json:"intent"`
}

// Confirmation confirms a plan, so that its change takes effect.
type Confirmation struct {
	// Command is the command number, as in Submission.
	Command string `json:"command"`
	// Base is the plan's base version. If it is no longer current, the
	// confirmation is refused as a conflict.
	Base uint64 `json:"base"`
}

// Withdrawal withdraws an intent that isn't confirmed.
type Withdrawal struct {
	// Command is the command number, as in Submission.
	Command string `json:"command"`
}

// IntentState is a state in the life cycle of an intent.
type IntentState string

// States of intents. A submitted intent is planned or refused. A planned one is
// confirmed, withdrawn, expired, or superseded by another confirmed intent. A
// confirmed one is in force once a router applies it, and settled when no lease on
// older records can still run. A take-out is superseded when a later intent ends it.
const (
	IntentSubmitted  IntentState = "submitted"
	IntentPlanned    IntentState = "planned"
	IntentConfirmed  IntentState = "confirmed"
	IntentInForce    IntentState = "in force"
	IntentSettled    IntentState = "settled"
	IntentRefused    IntentState = "refused"
	IntentExpired    IntentState = "expired"
	IntentSuperseded IntentState = "superseded"
	IntentWithdrawn  IntentState = "withdrawn"
)

// Transition is one change of an intent's state.
type Transition struct {
	State IntentState `json:"state"`
	// Index is the index of the log entry that made the transition.
	Index uint64    `json:"index"`
	At    time.Time `json:"at"`
}

// Intent is a change that an operator requested, with its plan and outcome. History
// lists its transitions, the oldest first, and is never empty.
type Intent struct {
	ID      string       `json:"id"`
	Spec    IntentSpec   `json:"spec"`
	State   IntentState  `json:"state"`
	Plan    *Plan        `json:"plan,omitempty"`
	History []Transition `json:"history"`
	Outcome Outcome      `json:"outcome"`
}

// Outcome describes how far an intent has taken effect.
type Outcome struct {
	// ConfigVersion is the configuration version that the intent created, if any.
	ConfigVersion uint64 `json:"config_version,omitempty"`
	// AcceptedIndex is the index of the log entry that confirmed the plan.
	AcceptedIndex uint64 `json:"accepted_index,omitempty"`
	// InForce lists the VMs whose routers have applied the change.
	InForce []topology.VMName `json:"in_force,omitempty"`
	// Pending lists the VMs whose routers may still use older records under a
	// running lease.
	Pending []PendingLease `json:"pending,omitempty"`
	// ReturnedAt is the time at which a take-out ended; zero until then.
	ReturnedAt time.Time `json:"returned_at,omitzero"`
	// SupersededBy is the id of the intent that superseded this one.
	SupersededBy string `json:"superseded_by,omitempty"`
}

// PendingLease is a lease under which a router may still use older records.
type PendingLease struct {
	VM topology.VMName `json:"vm"`
	// Applied is the log index that the router had applied at its last renewal.
	Applied uint64 `json:"applied"`
	// EndsInMS is an upper bound of the lease's remaining time, in milliseconds.
	EndsInMS int64 `json:"ends_in_ms"`
}

// PlanReason is a reason for refusing a plan.
type PlanReason string

// Reasons for refusing a plan.
const (
	PlanNoReplica            PlanReason = "shard-without-replica"
	PlanInsufficientCapacity PlanReason = "remaining-cannot-carry"
	PlanNoRouter             PlanReason = "no-router-remains"
	PlanUnknownName          PlanReason = "unknown-name"
	PlanNoEffect             PlanReason = "no-effect"
	PlanReturnTimePassed     PlanReason = "return-time-passed"
	PlanBadSpec              PlanReason = "bad-intent"
	PlanBadConfig            PlanReason = "bad-deployment"
	PlanTooMany              PlanReason = "too-many-plans"
)

// PlanRefusal is one reason for refusing a plan. Subject is the name that the reason
// concerns, e.g. of a shard or target.
type PlanRefusal struct {
	Reason  PlanReason `json:"reason"`
	Subject string     `json:"subject,omitempty"`
	Message string     `json:"message"`
	// Overridden is true if the intent's Overrides list the reason and it can be
	// overridden.
	Overridden bool `json:"overridden,omitempty"`
}

// Plan describes what an intent would change. The change takes place only after the
// operator confirms the plan.
type Plan struct {
	ID string `json:"id"`
	// Base is the version of the shared state from which the plan was computed.
	Base             uint64                `json:"base"`
	QuietDCs         []topology.DataCentre `json:"quiet_data_centres,omitempty"`
	QuietTargets     []topology.TargetID   `json:"quiet_targets,omitempty"`
	LeavingTargets   []topology.TargetID   `json:"leaving_targets,omitempty"`
	ReturningDCs     []topology.DataCentre `json:"returning_data_centres,omitempty"`
	ReturningTargets []topology.TargetID   `json:"returning_targets,omitempty"`
	ReturnAt         time.Time             `json:"return_at,omitzero"`
	NonIdempotent    []topology.KindName   `json:"non_idempotent,omitempty"`
	Idempotent       []topology.KindName   `json:"idempotent,omitempty"`
	// Shards lists shards that lose replicas, those with the fewest left first. The
	// list is truncated; ShardsTouched counts all of them.
	Shards        []ShardLoss     `json:"shards,omitempty"`
	ShardsTouched int             `json:"shards_touched,omitempty"`
	Groups        []GroupCapacity `json:"groups,omitempty"`
	// Changes lists the differences from the current deployment.
	Changes  []string      `json:"changes,omitempty"`
	Notes    []string      `json:"notes,omitempty"`
	Refusals []PlanRefusal `json:"refusals,omitempty"`
}

// Refused reports whether any refusal isn't overridden.
func (p *Plan) Refused() bool {
	for _, r := range p.Refusals {
		if !r.Overridden {
			return true
		}
	}
	return false
}

// ShardLoss gives the number of replicas that a shard loses, and of those left.
type ShardLoss struct {
	Shard topology.ShardID   `json:"shard"`
	Group topology.GroupName `json:"group"`
	Loses int                `json:"loses"`
	Left  int                `json:"left"`
}

// GroupCapacity compares the load of a group's most constrained shard with the slots
// that it would have left.
type GroupCapacity struct {
	Group topology.GroupName `json:"group"`
	// Shard is the shard with the smallest difference of SlotsLeft and Needed.
	Shard     topology.ShardID `json:"shard"`
	Slots     int              `json:"slots"`
	SlotsLeft int              `json:"slots_left"`
	// Needed is the mean number of slots that the load uses.
	Needed float64 `json:"needed"`
	// LoadReported is true if Needed comes from load that routers reported, false
	// if it is an assumed share of Slots.
	LoadReported bool `json:"reported"`
}

// Conflict describes the change that made a plan's base version outdated, so that
// its confirmation was refused.
type Conflict struct {
	// Base is the current version of the shared state.
	Base   uint64      `json:"base"`
	Intent string      `json:"intent"`
	Plan   string      `json:"plan,omitempty"`
	Kind   IntentKind  `json:"kind,omitempty"`
	State  IntentState `json:"state,omitempty"`
}

// IntentList lists intents, the newest first.
type IntentList struct {
	Intents []Intent `json:"intents"`
	// Stale is true if the member that answered isn't the leader and could not reach
	// one; the list may be outdated then.
	Stale bool `json:"stale,omitempty"`
}

// Status is the state of the system as one control member sees it.
type Status struct {
	Deployment    string              `json:"deployment"`
	ConfigVersion uint64              `json:"config_version"`
	Base          uint64              `json:"base"`
	Index         uint64              `json:"index"`
	Routers       []RouterStatus      `json:"routers"`
	QuietDCs      []QuietStatus       `json:"quiet_data_centres"`
	QuietTargets  []QuietStatus       `json:"quiet_targets"`
	NonIdempotent []topology.KindName `json:"non_idempotent"`
	// Rollouts holds the newest rollout of each service that had one.
	Rollouts          []RolloutStatus `json:"rollouts,omitempty"`
	Targets           int             `json:"targets"`
	UnassignedTargets int             `json:"unassigned_targets"`
	// ColdTargets lists targets in a cold start, as last reported by their owners.
	ColdTargets []topology.TargetID      `json:"cold_targets"`
	Members     []MemberStatus           `json:"members"`
	Leader      string                   `json:"leader"`
	Term        uint64                   `json:"term"`
	Loads       map[string]ReportedLoads `json:"loads,omitempty"`
	// Stale is true if the member that answered isn't the leader and could not reach
	// one. Its records may be outdated then, and it has no information on leases.
	Stale bool `json:"stale,omitempty"`
}

// RolloutStatus is the newest rollout of a service.
type RolloutStatus struct {
	Service string `json:"service"`
	// Version is the new version.
	Version string `json:"version"`
	// State is "running", "completed" or "rolled_back", and Phase, while it is running,
	// "canary", "ramp" or "closing".
	State string `json:"state"`
	Phase string `json:"phase,omitempty"`
	// Share is the share of requests for the new version, from 0 to 1.
	Share float64 `json:"share"`
	// ElapsedMS is the time since the order at the last step, RampMS the time in which
	// the rollout must end.
	ElapsedMS int64 `json:"elapsed_ms"`
	RampMS    int64 `json:"ramp_ms"`
	// Reason says why the rollout ended.
	Reason string `json:"reason,omitempty"`
}

// ReportedLoads is the load of one group, summed over the routers' reports: Busy is
// the mean number of slots in use, Open the number of slots.
type ReportedLoads struct {
	Busy float64 `json:"busy"`
	Open float64 `json:"open"`
}

// RouterStatus is the state of one router, from its record and its last report. Owns
// is the number of targets that it owns.
type RouterStatus struct {
	VM          topology.VMName     `json:"vm"`
	DataCentre  topology.DataCentre `json:"data_centre"`
	Incarnation uint64              `json:"incarnation"`
	Leaving     bool                `json:"leaving,omitempty"`
	// Applied is the log index that the router had applied at its last renewal.
	Applied uint64 `json:"applied"`
	// ConfigVersion is the newest configuration version if the router has applied
	// it, otherwise 0.
	ConfigVersion uint64 `json:"config_version"`
	// Current is true if the router has applied the newest records.
	Current bool `json:"current"`
	// LeaseMS is an upper bound of the lease's remaining time in milliseconds, 0 if
	// the lease has expired.
	LeaseMS int64 `json:"lease_ms"`
	// SeenAgoMS is the time since the last report in milliseconds, -1 if there is
	// none.
	SeenAgoMS int64 `json:"seen_ms_ago"`
	// Member is the control member that the router follows, empty if no member
	// reports it.
	Member string `json:"member,omitempty"`
	Owns   int    `json:"owns"`
}

// QuietStatus describes a data centre or target that receives no new work. Intent is
// the id of the intent that took it out, Until its return time, zero if it has none.
// Leaving is true if the target leaves for good.
type QuietStatus struct {
	Name    string    `json:"name"`
	Intent  string    `json:"intent"`
	Until   time.Time `json:"until,omitzero"`
	Leaving bool      `json:"leaving,omitempty"`
}

// MemberStatus is the state of one control member. Applied is the log index up to
// which it is known to hold the log; a learner doesn't vote.
type MemberStatus struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Leader  bool   `json:"leader"`
	Learner bool   `json:"learner,omitempty"`
	Healthy bool   `json:"healthy"`
	Applied uint64 `json:"applied"`
	// SafeToLose is true if the group keeps a quorum of voters that hold everything
	// committed when this member and its disk are lost.
	SafeToLose bool `json:"safe_to_lose"`
}

// MemberAction is a kind of change of the control group's membership.
type MemberAction string

// Changes of membership.
const (
	MemberAddLearner MemberAction = "add-learner"
	MemberPromote    MemberAction = "promote"
	MemberRemove     MemberAction = "remove"
)

// MemberChange requests one change of membership.
type MemberChange struct {
	// Command is the command number, as in Submission.
	Command string       `json:"command"`
	Action  MemberAction `json:"action"`
	ID      string       `json:"id"`
	// Addr is the RPC address of a new member.
	Addr string `json:"addr,omitempty"`
}

// MemberList lists the members of the control group.
type MemberList struct {
	Members []MemberStatus `json:"members"`
}
