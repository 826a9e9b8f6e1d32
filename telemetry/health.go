package telemetry

import (
	"encoding/json"
	"net/http"
)

// UnreadyReason is why a process accepts no new work.
type UnreadyReason string

// Reasons why a process is not ready.
const (
	UnreadyStarting     UnreadyReason = "starting"
	UnreadyNoControl    UnreadyReason = "control-unreachable"
	UnreadyNoLease      UnreadyReason = "no-lease"
	UnreadyNoDeployment UnreadyReason = "no-deployment"
	UnreadyBehind       UnreadyReason = "not-caught-up"
	UnreadyDraining     UnreadyReason = "draining"
	UnreadyNoLeader     UnreadyReason = "no-leader"
	UnreadyStorage      UnreadyReason = "storage-failed"
)

// Readiness is the body of the readiness page.
type Readiness struct {
	Ready   bool            `json:"ready"`
	Reasons []UnreadyReason `json:"reasons"`
}

// LiveHandler returns a handler for liveness checks. It always answers with status
// 200.
func LiveHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, struct{}{})
	})
}

// ReadyHandler returns a handler for readiness checks. It answers with a Readiness
// and status 200 if unready returns no reasons, 503 otherwise.
func ReadyHandler(unready func() []UnreadyReason) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reasons := unready()
		if len(reasons) == 0 {
			writeJSON(w, http.StatusOK, Readiness{Ready: true, Reasons: []UnreadyReason{}})
			return
		}
		writeJSON(w, http.StatusServiceUnavailable, Readiness{Reasons: reasons})
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
