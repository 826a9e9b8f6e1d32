// Package api defines the HTTP and JSON interface for callers and operators:
// requests, answers and refusals. docs/API.md shows an example of each.
package api

import (
	"encoding/json"

	"github.com/peridotmux/peridotmux/topology"
)

const (
	// PathQuery accepts a Query at a router (POST) and returns an Answer.
	PathQuery = "/v1/query"
	// PathLive answers 200 while the process runs.
	PathLive = "/livez"
	// PathReady answers 200 while the process accepts new work.
	PathReady = "/readyz"
	// PathMetrics returns metrics in the Prometheus text format.
	PathMetrics = "/metrics"
	// PathState returns a router's local state as JSON, for operators.
	PathState = "/v1/state"

	// MaxQueryBytes bounds the body of a query, in bytes.
	MaxQueryBytes = 1 << 20
	// MaxHeaderBytes bounds the headers of a request, in bytes.
	MaxHeaderBytes = 16 << 10
	// MaxDeadlineMS bounds a query's deadline, in milliseconds.
	MaxDeadlineMS = 10_000
	// MaxShards bounds a query's fan-out, in shards.
	MaxShards = 1024
)

// Query is one search over many shards.
type Query struct {
	Kind topology.KindName `json:"kind"`
	// Groups names back-end groups; the query is sent to all of their shards.
	Groups []topology.GroupName `json:"groups,omitempty"`
	// Shards names single shards. If Groups and Shards are both empty, the query is
	// sent to all shards.
	Shards []topology.ShardID `json:"shards,omitempty"`
	// Policy overrides the kind's policy unless it is empty.
	Policy topology.Policy `json:"policy,omitempty"`
	// MinCoverage overrides the kind's minimum coverage, 0 to 1.
	MinCoverage *float64 `json:"min_coverage,omitempty"`
	// Idempotent is false for a request that must not run twice. If it is nil, the
	// kind's setting applies. It can't make a non-idempotent kind idempotent.
	Idempotent *bool `json:"idempotent,omitempty"`
	// RequestKey identifies a non-idempotent request across resends.
	RequestKey string `json:"request_key,omitempty"`
	// DeadlineMS is the time that the caller waits, in milliseconds; 0 for the
	// kind's default.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Body is sent to each target unchanged.
	Body json.RawMessage `json:"body,omitempty"`
}

// Answer is a complete or partial answer from one snapshot of the index.
type Answer struct {
	RequestID string `json:"request_id"`
	// Snapshot is the index version that every result comes from.
	Snapshot uint64 `json:"snapshot"`
	Complete bool   `json:"complete"`
	// Covered is the number of shards whose results are included, Asked the number
	// that the query addresses.
	Covered int            `json:"covered"`
	Asked   int            `json:"asked"`
	Results []ShardResult  `json:"results"`
	Missing []MissingShard `json:"missing"`
	// Recorded is true if the answer is the recorded outcome of an earlier send
	// with the same request key.
	Recorded bool `json:"recorded,omitempty"`
}

// ShardResult is the result of one shard.
type ShardResult struct {
	Shard topology.ShardID `json:"shard"`
	Body  json.RawMessage  `json:"body"`
}

// MissingReason is the reason for which an answer doesn't cover a shard.
type MissingReason string

// Reasons for which a shard isn't covered.
const (
	// MissingQuiet means that replicas are quiet and no other one is available.
	MissingQuiet MissingReason = "quiet"
	// MissingNoReplica means that no replica is available.
	MissingNoReplica MissingReason = "no-replica"
	// MissingNoVersion means that no replica can answer from the query's snapshot.
	MissingNoVersion MissingReason = "no-version"
	// MissingLate means that no result arrived before the deadline.
	MissingLate MissingReason = "late"
	// MissingOverloaded means that the shard's targets had no capacity left.
	MissingOverloaded MissingReason = "overloaded"
	// MissingTargetError means that the target failed.
	MissingTargetError MissingReason = "target-error"
	// MissingOwnerLost means that the router that owns the target didn't reply or
	// had no valid lease.
	MissingOwnerLost MissingReason = "owner-lost"
	// MissingBadAnswer means that the target's answer was invalid.
	MissingBadAnswer MissingReason = "bad-answer"
)

// MissingShard is a shard that an answer doesn't cover.
type MissingShard struct {
	Shard  topology.ShardID `json:"shard"`
	Reason MissingReason    `json:"reason"`
}

// Execution states whether a refused request may have run.
type Execution string

const (
	// NotRun means that no target started the request.
	NotRun Execution = "not run"
	// OutcomeUnknown means that a target may have started the request.
	OutcomeUnknown Execution = "outcome unknown"
)

// Code identifies the type of a refusal.
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
	// Field is the name of the invalid field of the request.
	Field string `json:"field,omitempty"`
	// RetryAfterMS is the time to wait before a retry, in milliseconds. It is also
	// sent as the Retry-After header, rounded up to whole seconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Leader is the leader's address if the request must be sent to the leader.
	Leader string `json:"leader,omitempty"`
	// Conflict describes the change that conflicts with a confirmation.
	Conflict *Conflict `json:"conflict,omitempty"`
	// Intent is the refused intent; its plan lists the reasons.
	Intent *Intent `json:"intent,omitempty"`
	// Status is the HTTP status code.
	Status int `json:"-"`
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }
