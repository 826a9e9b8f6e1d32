// Package forward answers callers' HTTP requests by passing them on to targets:
// to one target, to one service of a weighted split, or to one target of each
// shard, whose parts become one answer.
package forward

// HeaderNames names the headers that callers and targets use.
type HeaderNames struct {
	// RequestID carries the caller's own id of a request. Targets echo it.
	RequestID string
	// TimeLeftMS carries the milliseconds that the sender still waits.
	TimeLeftMS string
	// Signature marks an answer as made by a target.
	Signature string
	// ExpectTarget carries the id of the only target that may run the request.
	ExpectTarget string
	// Load carries the running requests, the waiting requests and the slots of a
	// target, separated by commas.
	Load string
	// NotRun is in answers to requests that the target didn't run.
	NotRun string
	// RetryAfter carries seconds, with fractions.
	RetryAfter string
	// PartSignatures carries the signatures of a gathered answer's parts.
	PartSignatures string
	// MissingParts carries the number of shards that a gathered answer lacks.
	MissingParts string
	// TargetID carries a target's id in its health answers.
	TargetID string
	// ColdLeftMS carries the milliseconds that a target stays cold, in its
	// health answers.
	ColdLeftMS string
}
