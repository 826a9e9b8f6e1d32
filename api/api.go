// Package api defines the HTTP and JSON interface of callers and operators:
// requests, answers and refusals. docs/API.md shows an example of each.
package api

import (
	"encoding/json"

	"github.com/peridotmux/peridotmux/topology"
)

const (
	// PathQuery takes a Query at a router and gives an Answer.
	PathQuery = "/v1/query"
	// PathLive answers 200 while the process runs.
	PathLive = "/livez"
	// PathReady answers 200 while the process takes new work.
	PathReady = "/readyz"
	// PathMetrics is the metrics page in the Prometheus text format.
	PathMetrics = "/metrics"
	// PathState gives a router's own state as JSON, for operators.
	PathState = "/v1/state"

	// MaxQueryBytes bounds the body of a query.
	MaxQueryBytes = 1 << 20
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes = 16 << 10
	// MaxDeadlineMS bounds a query's deadline, in milliseconds.
	MaxDeadlineMS = 10_000
	// MaxShards bounds a query's fan-out.
	MaxShards = 1024
)

// Query is one search over many shards.
type Query struct {
	Kind topology.KindName `json:"kind"`
	// Groups names back-end groups whose shards are all asked.
	Groups []topology.GroupName `json:"groups,omitempty"`
	// Shards names single shards. If both lists are empty, all are asked.
	Shards []topology.ShardID `json:"shards,omitempty"`
	// Policy overrides the kind's policy if it isn't empty.
	Policy topology.Policy `json:"policy,omitempty"`
	// MinCoverage overrides the kind's minimum coverage, 0 to 1.
	MinCoverage *float64 `json:"min_coverage,omitempty"`
	// Idempotent is false for a request that may not run twice. If it is
	// absent, the kind's setting counts. It can't loosen that setting.
	Idempotent *bool `json:"idempotent,omitempty"`
	// RequestKey identifies a non-idempotent request over all its resends.
	RequestKey string `json:"request_key,omitempty"`
	// DeadlineMS is the time the caller waits, 0 for the kind's default.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Body is handed to each target as it is.
	Body json.RawMessage `json:"body,omitempty"`
}

// Answer is a whole or partial answer from one snapshot of the index.
type Answer struct {
	RequestID string `json:"request_id"`
	// Snapshot is the index version that every result comes from.
	Snapshot uint64 `json:"snapshot"`
	Complete bool   `json:"complete"`
	// Covered is the number of shards merged, Asked the number asked.
	Covered  int            `json:"covered"`
	Asked    int            `json:"asked"`
	Results  []ShardResult  `json:"results"`
	Missing  []MissingShard `json:"missing"`
	Recorded bool           `json:"recorded,omitempty"`
}

// ShardResult is the result of one shard.
type ShardResult struct {
	Shard topology.ShardID `json:"shard"`
	Body  json.RawMessage  `json:"body"`
}

// MissingReason says why a shard isn't covered.
type MissingReason string

// Reasons for a shard that isn't covered.
const (
	MissingQuiet       MissingReason = "quiet"
	MissingNoReplica   MissingReason = "no-replica"
	MissingNoVersion   MissingReason = "no-version"
	MissingLate        MissingReason = "late"
	MissingOverloaded  MissingReason = "overloaded"
	MissingTargetError MissingReason = "target-error"
	MissingOwnerLost   MissingReason = "owner-lost"
	MissingBadAnswer   MissingReason = "bad-answer"
)

// MissingShard names a shard that isn't covered and why.
type MissingShard struct {
	Shard  topology.ShardID `json:"shard"`
	Reason MissingReason    `json:"reason"`
}

// Execution says whether a refused request ran.
type Execution string

const (
	// NotRun says that no target started the request.
	NotRun Execution = "not run"
	// OutcomeUnknown says that a target may have started the request.
	OutcomeUnknown Execution = "outcome unknown"
)

// Code is the type of a refusal.
type Code string

// Codes of refusals.
const (
	CodeMalformed          Code = "malformed"
	CodeTooLarge           Code = "too-large"
	CodeUnknownKind        Code = "unknown-kind"
	CodeUnknownShard       Code = "unknown-shard"
	CodeUnknownGroup       Code = "unknown-group"
	CodeBadDeadline        Code = "bad-deadline"
	CodeBadField           Code = "bad-field"
	CodeKeyMissing         Code = "request-key-missing"
	CodeKeyConflict        Code = "request-key-conflict"
	CodeKeyHeld            Code = "request-key-held"
	CodeNoLease            Code = "no-lease"
	CodeNotReady           Code = "not-ready"
	CodeDraining           Code = "draining"
	CodeOverloaded         Code = "overloaded"
	CodeCoverage           Code = "coverage-below-minimum"
	CodeNoSnapshot         Code = "no-common-snapshot"
	CodeControlUnreachable Code = "control-unreachable"
	CodeInternal           Code = "internal"
	CodeConflict           Code = "conflict"
	CodeBadMethod          Code = "bad-method"
	CodeNotFound           Code = "not-found"
	CodePlanRefused        Code = "plan-refused"
	CodeExpired            Code = "expired"
	CodeNotLeader          Code = "not-leader"
	CodeUnknownOutcome     Code = "unknown-outcome"
	CodeCommandReused      Code = "command-reused"
	CodeNotConfirmable     Code = "not-confirmable"
)

// Refusal is the body of every answer that isn't a success.
type Refusal struct {
	RequestID string    `json:"request_id,omitempty"`
	Code      Code      `json:"code"`
	Message   string    `json:"message"`
	Execution Execution `json:"execution"`
	// Field names the field of the request that is wrong.
	Field string `json:"field,omitempty"`
	// RetryAfterMS is also sent as the Retry-After header, in whole seconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Leader is the leader's address when another member must be asked.
	Leader string `json:"leader,omitempty"`
	// Conflict shows what won against a confirmation.
	Conflict *Conflict `json:"conflict,omitempty"`
	// Intent is the intent that is refused; its plan says why.
	Intent *Intent `json:"intent,omitempty"`
	// Status is the HTTP status code.
	Status int `json:"-"`
}

// Error makes a Refusal an error.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }
