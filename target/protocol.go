// Package target speaks the targets' HTTP protocol: search, cancel, health.
//
// A search is POST PathSearch with the caller's body and the headers below. A
// target answers 200 with the result, or one of the statuses below. It echoes
// HeaderAttempt, HeaderShard and HeaderIndexVersion, so that an answer that
// belongs to another request is noticed.
package target

const (
	// PathSearch runs one sub-request.
	PathSearch = "/search"
	// PathCancel cancels the attempt named by HeaderAttempt. The search then
	// answers StatusCancelled.
	PathCancel = "/cancel"
	// PathHealth gives a Health as JSON. It lags and may mislead.
	PathHealth = "/health"

	// HeaderAttempt carries a number unique to one attempt of one router.
	HeaderAttempt = "Peridot-Attempt"
	// HeaderShard carries the shard asked.
	HeaderShard = "Peridot-Shard"
	// HeaderIndexVersion carries the index version, in decimal.
	HeaderIndexVersion = "Peridot-Index-Version"
	// HeaderBudget carries the time left, in microseconds.
	HeaderBudget = "Peridot-Budget-Us"
	// HeaderRequestID joins the log lines of caller, router and target.
	HeaderRequestID = "Peridot-Request-Id"
	// HeaderProcess carries, in answers, a number that differs for each start
	// of the target's process.
	HeaderProcess = "Peridot-Process"
	// HeaderStarted is "no" in answers to searches that weren't started.
	HeaderStarted = "Peridot-Started"
	// HeaderVersions lists, in answers, the index versions that the target
	// serves, newest first, separated by commas.
	HeaderVersions = "Peridot-Versions"

	// StatusShed says that the target has no room; not started.
	StatusShed = 503
	// StatusDraining says that the target leaves; not started.
	StatusDraining = 421
	// StatusVersionGone says that the index version isn't served; not started.
	StatusVersionGone = 410
	// StatusCancelled says that the search was cancelled after its start.
	StatusCancelled = 499
	// StatusTooLate says that the budget ran out after the start.
	StatusTooLate = 504

	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes = 4 << 20
)

// Health is what a target reports of itself.
type Health struct {
	Process  uint64   `json:"process"`
	Draining bool     `json:"draining"`
	Cold     bool     `json:"cold"`
	InFlight int      `json:"in_flight"`
	Versions []uint64 `json:"versions"`
}
