package forward

// HeaderNames are the names of the headers that callers and targets use.
type HeaderNames struct {
	// RequestID carries the caller's own ID of a request. Targets echo it.
	RequestID string
	// TimeLeftMS carries how much longer the sender waits, in milliseconds.
	TimeLeftMS string
	// Signature marks a response as produced by a target.
	Signature string
	// ExpectTarget carries the ID of the only target that may run the request.
	ExpectTarget string
	// Load carries the running requests, the waiting requests and the slots of a
	// target, separated by commas, and optionally how long work takes there (100 is
	// usual).
	Load string
	// NotRun is set in responses to requests that the target didn't run.
	NotRun string
	// RetryAfter carries seconds, with fractions.
	RetryAfter string
	// PartSignatures carries the signatures of a gathered response's parts.
	PartSignatures string
	// MissingParts carries the number of shards missing from a gathered response.
	MissingParts string
	// TargetID carries a target's ID in its health responses.
	TargetID string
	// ColdLeftMS carries the remaining time of a target's cold start in
	// milliseconds, in its health responses.
	ColdLeftMS string
	// Leaving is "1" in the responses of a target that is about to stop.
	Leaving string
	// RateLimit carries the requests per second that a target takes from all routers
	// together, in its responses for as long as it needs that.
	RateLimit string
	// Key carries the key of the caller's workspace. It is never passed on.
	Key string
	// Workspace carries the name of the workspace to targets.
	Workspace string
}
