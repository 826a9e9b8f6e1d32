package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/peridotmux/peridotmux/api"
)

// retryAfter is the retry delay advised to callers when this router can't
// serve.
const retryAfter = time.Second

// statusOf maps refusal codes to HTTP statuses.
var statusOf = map[api.Code]int{
	api.CodeMalformed:          http.StatusBadRequest,
	api.CodeTooLarge:           http.StatusRequestEntityTooLarge,
	api.CodeUnknownKind:        http.StatusBadRequest,
	api.CodeUnknownShard:       http.StatusBadRequest,
	api.CodeUnknownGroup:       http.StatusBadRequest,
	api.CodeBadDeadline:        http.StatusBadRequest,
	api.CodeBadField:           http.StatusBadRequest,
	api.CodeKeyMissing:         http.StatusBadRequest,
	api.CodeKeyConflict:        http.StatusConflict,
	api.CodeKeyHeld:            http.StatusConflict,
	api.CodeNoLease:            http.StatusServiceUnavailable,
	api.CodeNotReady:           http.StatusServiceUnavailable,
	api.CodeDraining:           http.StatusServiceUnavailable,
	api.CodeOverloaded:         http.StatusTooManyRequests,
	api.CodeCoverage:           http.StatusGatewayTimeout,
	api.CodeNoSnapshot:         http.StatusServiceUnavailable,
	api.CodeControlUnreachable: http.StatusServiceUnavailable,
	api.CodeInternal:           http.StatusInternalServerError,
}

// retryable holds the codes for which a retry may succeed.
var retryable = map[api.Code]bool{
	api.CodeNoLease:            true,
	api.CodeNotReady:           true,
	api.CodeDraining:           true,
	api.CodeOverloaded:         true,
	api.CodeCoverage:           true,
	api.CodeNoSnapshot:         true,
	api.CodeControlUnreachable: true,
	api.CodeKeyHeld:            true,
}

// refuse returns the refusal of a request that wasn't run.
func refuse(code api.Code, message string) *api.Refusal {
	r := &api.Refusal{Code: code, Message: message, Execution: api.NotRun, Status: statusOf[code]}
	if retryable[code] {
		r.RetryAfterMS = retryAfter.Milliseconds()
	}
	return r
}

// refuseField returns the refusal of a request with an invalid field.
func refuseField(code api.Code, field, message string) *api.Refusal {
	r := refuse(code, message)
	r.Field = field
	return r
}

// writeRefusal writes r with its HTTP status. Retry-After is rounded up to
// seconds.
func writeRefusal(w http.ResponseWriter, r *api.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	if r.RetryAfterMS > 0 {
		seconds := (r.RetryAfterMS + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(r)
}
