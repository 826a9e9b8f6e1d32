package api

import (
	"time"

	"github.com/peridotmux/peridotmux/topology"
)

const (
	// PathIntents takes a Submission and lists intents.
	PathIntents = "/v1/intents"
	// PathIntent gives one intent.
	PathIntent = "/v1/intents/{id}"
	// PathConfirm takes a Confirmation of a plan.
	PathConfirm = "/v1/intents/{plan}/confirm"
	// PathWithdraw withdraws an intent that isn't confirmed.
	PathWithdraw = "/v1/intents/{id}/withdraw"
	// PathStatus gives a Status.
	PathStatus = "/v1/status"
	// PathMembers takes a MemberChange and lists the members of control.
	PathMembers = "/v1/members"

	// MaxIntentBytes bounds the body of a Submission.
	MaxIntentBytes = 8 << 20
	// MaxCommandBytes bounds a command number.
	MaxCommandBytes = 128
)

// IntentKind names what an operator wants.
type IntentKind string

// Kinds of intents.
const (
	IntentTakeOut       IntentKind = "take-out"
	IntentBringBack     IntentKind = "bring-back"
	IntentLeave         IntentKind = "leave"
	IntentConfigure     IntentKind = "configure"
	IntentNonIdempotent IntentKind = "non-idempotent"
)

// IntentSpec is what an operator states.
type IntentSpec struct {
	Kind IntentKind `json:"kind"`
	// DataCentre is taken out or brought back.
	DataCentre topology.DataCentre `json:"data_centre,omitempty"`
	// Targets are taken out, brought back or leave.
	Targets []topology.TargetID `json:"targets,omitempty"`
	// ReturnAt is when what is taken out returns by itself.
	ReturnAt time.Time `json:"return_at,omitzero"`
	// Deployment is the configuration that should hold.
	Deployment *topology.Deployment `json:"deployment,omitempty"`
	// Kinds are declared non-idempotent, or idempotent again if Lift is set.
	Kinds []topology.KindName `json:"kinds,omitempty"`
	Lift  bool                `json:"lift,omitempty"`
	// Overrides names the reasons for a refusal that the operator takes on.
	Overrides []PlanReason `json:"overrides,omitempty"`
	// Operator names who states the intent; it is recorded.
	Operator string `json:"operator,omitempty"`
}

// Submission asks for a plan.
type Submission struct {
	// Command is the command number. A resend of it gets the first outcome.
	Command string     `json:"command"`
	Intent  IntentSpec `json:"intent"`
}

// Confirmation accepts a plan.
type Confirmation struct {
	Command string `json:"command"`
	// Base is the plan's base version. If it is no longer current, the
	// confirmation is refused as a conflict.
	Base uint64 `json:"base"`
}

// Withdrawal withdraws an intent that isn't confirmed.
type Withdrawal struct {
	Command string `json:"command"`
}

// IntentState is the state of an intent.
type IntentState string

// States of intents.
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
	// Index is the log index that wrote it.
	Index uint64    `json:"index"`
	At    time.Time `json:"at"`
}

// Intent is one operator's intent with its plan and outcome.
type Intent struct {
	ID      string       `json:"id"`
	Spec    IntentSpec   `json:"spec"`
	State   IntentState  `json:"state"`
	Plan    *Plan        `json:"plan,omitempty"`
	History []Transition `json:"history"`
	Outcome Outcome      `json:"outcome"`
}

// Outcome is what came of an intent.
type Outcome struct {
	// ConfigVersion is the deployment's version that the intent made.
	ConfigVersion uint64 `json:"config_version,omitempty"`
	// AcceptedIndex is the log index of the confirmation.
	AcceptedIndex uint64 `json:"accepted_index,omitempty"`
	// InForce lists VMs whose routers work on the change.
	InForce []topology.VMName `json:"in_force,omitempty"`
	// Pending lists VMs with a lease that may still run on older records.
	Pending []PendingLease `json:"pending,omitempty"`
	// ReturnedAt is when what was taken out returned.
	ReturnedAt time.Time `json:"returned_at,omitzero"`
	// SupersededBy is the intent that took this one's place.
	SupersededBy string `json:"superseded_by,omitempty"`
}

// PendingLease is a lease that may still run on older records.
type PendingLease struct {
	VM      topology.VMName `json:"vm"`
	Applied uint64          `json:"applied"`
	// EndsInMS is the longest that the lease may still run.
	EndsInMS int64 `json:"ends_in_ms"`
}

// PlanReason says why a plan is refused.
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

// PlanRefusal is one reason for refusing a plan.
type PlanRefusal struct {
	Reason  PlanReason `json:"reason"`
	Subject string     `json:"subject,omitempty"`
	Message string     `json:"message"`
	// Overridden is true if the operator named the reason in Overrides.
	Overridden bool `json:"overridden,omitempty"`
}

// Plan is the answer to an intent: what would change, for the operator to
// confirm.
type Plan struct {
	ID string `json:"id"`
	// Base is the version of the shared state that the plan was made on.
	Base             uint64                `json:"base"`
	QuietDCs         []topology.DataCentre `json:"quiet_data_centres,omitempty"`
	QuietTargets     []topology.TargetID   `json:"quiet_targets,omitempty"`
	LeavingTargets   []topology.TargetID   `json:"leaving_targets,omitempty"`
	ReturningDCs     []topology.DataCentre `json:"returning_data_centres,omitempty"`
	ReturningTargets []topology.TargetID   `json:"returning_targets,omitempty"`
	ReturnAt         time.Time             `json:"return_at,omitzero"`
	NonIdempotent    []topology.KindName   `json:"non_idempotent,omitempty"`
	Idempotent       []topology.KindName   `json:"idempotent,omitempty"`
	// Shards lists shards that lose replicas, the worst first; ShardsTouched
	// counts all of them.
	Shards        []ShardLoss     `json:"shards,omitempty"`
	ShardsTouched int             `json:"shards_touched,omitempty"`
	Groups        []GroupCapacity `json:"groups,omitempty"`
	// Changes lists what changes in the deployment.
	Changes  []string      `json:"changes,omitempty"`
	Notes    []string      `json:"notes,omitempty"`
	Refusals []PlanRefusal `json:"refusals,omitempty"`
}

// Refused reports whether a reason stands that isn't overridden.
func (p *Plan) Refused() bool {
	for _, r := range p.Refusals {
		if !r.Overridden {
			return true
		}
	}
	return false
}

// ShardLoss tells how many replicas a shard loses.
type ShardLoss struct {
	Shard topology.ShardID   `json:"shard"`
	Group topology.GroupName `json:"group"`
	Loses int                `json:"loses"`
	Left  int                `json:"left"`
}

// GroupCapacity tells whether a group's scarcest shard carries its load.
type GroupCapacity struct {
	Group topology.GroupName `json:"group"`
	// Shard is the shard with the fewest slots left for its load.
	Shard     topology.ShardID `json:"shard"`
	Slots     int              `json:"slots"`
	SlotsLeft int              `json:"slots_left"`
	// Needed is the number of slots that the load takes.
	Needed float64 `json:"needed"`
	// LoadReported is false if the load is assumed.
	LoadReported bool `json:"reported"`
}

// Conflict shows what won against a confirmation.
type Conflict struct {
	// Base is the version of the shared state now.
	Base   uint64      `json:"base"`
	Intent string      `json:"intent"`
	Plan   string      `json:"plan,omitempty"`
	Kind   IntentKind  `json:"kind,omitempty"`
	State  IntentState `json:"state,omitempty"`
}

// IntentList is the answer to a listing.
type IntentList struct {
	Intents []Intent `json:"intents"`
	// Stale is true if the member that answered knew no leader.
	Stale bool `json:"stale,omitempty"`
}

// Status tells the state of the system.
type Status struct {
	Deployment        string              `json:"deployment"`
	ConfigVersion     uint64              `json:"config_version"`
	Base              uint64              `json:"base"`
	Index             uint64              `json:"index"`
	Routers           []RouterStatus      `json:"routers"`
	QuietDCs          []QuietStatus       `json:"quiet_data_centres"`
	QuietTargets      []QuietStatus       `json:"quiet_targets"`
	NonIdempotent     []topology.KindName `json:"non_idempotent"`
	Targets           int                 `json:"targets"`
	UnassignedTargets int                 `json:"unassigned_targets"`
	// ColdTargets lists targets in a cold start, as their owners last reported.
	ColdTargets []topology.TargetID      `json:"cold_targets"`
	Members     []MemberStatus           `json:"members"`
	Leader      string                   `json:"leader"`
	Term        uint64                   `json:"term"`
	Loads       map[string]ReportedLoads `json:"loads,omitempty"`
	// Stale is true if the member that answered knew no leader. Its records
	// may be outdated then and it can't tell which leases run.
	Stale bool `json:"stale,omitempty"`
}

// ReportedLoads is the load of one group as routers report it.
type ReportedLoads struct {
	Busy float64 `json:"busy"`
	Open float64 `json:"open"`
}

// RouterStatus tells of one router.
type RouterStatus struct {
	VM          topology.VMName     `json:"vm"`
	DataCentre  topology.DataCentre `json:"data_centre"`
	Incarnation uint64              `json:"incarnation"`
	Leaving     bool                `json:"leaving,omitempty"`
	// Applied is the log index that the router had applied at its last renewal.
	Applied uint64 `json:"applied"`
	// ConfigVersion is the deployment's version in force there, 0 if it is one
	// before the newest.
	ConfigVersion uint64 `json:"config_version"`
	// Current is true if the router has applied the newest records.
	Current bool `json:"current"`
	// LeaseMS is the longest that its lease may still run, 0 if it ran out.
	LeaseMS   int64 `json:"lease_ms"`
	SeenAgoMS int64 `json:"seen_ms_ago"`
	// Member is the control member that it follows, empty if none reports it.
	Member string `json:"member,omitempty"`
	Owns   int    `json:"owns"`
}

// QuietStatus tells of a quiet data centre or target.
type QuietStatus struct {
	Name    string    `json:"name"`
	Intent  string    `json:"intent"`
	Until   time.Time `json:"until,omitzero"`
	Leaving bool      `json:"leaving,omitempty"`
}

// MemberStatus tells of one member of control.
type MemberStatus struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Leader  bool   `json:"leader"`
	Learner bool   `json:"learner,omitempty"`
	Healthy bool   `json:"healthy"`
	Applied uint64 `json:"applied"`
	// SafeToLose is true if a majority holds everything without it.
	SafeToLose bool `json:"safe_to_lose"`
}

// MemberAction names a change of membership.
type MemberAction string

// Changes of membership.
const (
	MemberAddLearner MemberAction = "add-learner"
	MemberPromote    MemberAction = "promote"
	MemberRemove     MemberAction = "remove"
)

// MemberChange asks for one change of membership.
type MemberChange struct {
	Command string       `json:"command"`
	Action  MemberAction `json:"action"`
	ID      string       `json:"id"`
	Addr    string       `json:"addr,omitempty"`
}

// MemberList lists the members of control.
type MemberList struct {
	Members []MemberStatus `json:"members"`
}
