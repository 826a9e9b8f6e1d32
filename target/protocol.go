// Package target implements a client for the HTTP protocol of targets: search,
// cancel and health.
//
// A search is a POST to PathSearch with the caller's body and the headers below.
// The target answers with 200 and the result, or with one of the statuses below.
// It echoes HeaderAttempt, HeaderShard and HeaderIndexVersion, so that an answer
// to another request can be detected.
package target

const (
	// PathSearch runs one sub-request.
	PathSearch = "/search"
	// PathCancel cancels the attempt named by HeaderAttempt. The search then
	// answers StatusCancelled.
	PathCancel = "/cancel"
	// PathHealth returns a Health as JSON. It lags behind the target's real state
	// and may be wrong.
	PathHealth = "/health"

	// HeaderAttempt carries a number that is unique to one attempt of one router.
	HeaderAttempt = "Peridot-Attempt"
	// HeaderShard carries the requested shard.
	HeaderShard = "Peridot-Shard"
	// HeaderIndexVersion carries the index version, in decimal.
	HeaderIndexVersion = "Peridot-Index-Version"
	// HeaderBudget carries the time left until the deadline, in microseconds.
	HeaderBudget = "Peridot-Budget-Us"
	// HeaderRequestID correlates the log lines of caller, router and target.
	HeaderRequestID = "Peridot-Request-Id"
	// HeaderProcess carries, in answers, a number that differs for each start
	// of the target's process.
	HeaderProcess = "Peridot-Process"
	// HeaderWork carries, in answers to searches that were started, how long the
	// target worked on the search, in microseconds. Targets may omit it.
	HeaderWork = "Peridot-Work-Us"
	// HeaderStarted is "no" in answers to searches that were not started.
	HeaderStarted = "Peridot-Started"
	// HeaderVersions lists, in answers, the index versions that the target
	// serves, newest first, separated by commas.
	HeaderVersions = "Peridot-Versions"

	// StatusShed means that the target is at capacity. The search was not started.
	StatusShed = 503
	// StatusDraining means that the target is draining. The search was not started.
	StatusDraining = 421
	// StatusVersionGone means that the target does not serve the index version. The
	// search was not started.
	StatusVersionGone = 410
	// StatusCancelled means that the search was cancelled after it was started.
	StatusCancelled = 499
	// StatusTooLate means that the budget ran out after the search was started.
	StatusTooLate = 504

	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes = 4 << 20
)

// Health is a target's report about itself.
type Health struct {
	// Process differs for each start of the target's process.
	Process  uint64 `json:"process"`
	Draining bool   `json:"draining"`
	// Cold is true during a cold start.
	Cold     bool `json:"cold"`
	InFlight int  `json:"in_flight"`
	// Versions lists the index versions that the target serves.
	Versions []uint64 `json:"versions"`
}
