package forward

import (
	"net/http"
	"strconv"
	"time"
)

// reason says why a request wasn't answered by a target.
type reason string

// The reasons.
const (
	reasonNone       reason = ""
	reasonNoRoutes   reason = "no routes known"
	reasonNoRoute    reason = "no route"
	reasonTooLarge   reason = "body too large"
	reasonBadBody    reason = "body not read"
	reasonHeaders    reason = "headers too large"
	reasonNoTarget   reason = "no usable target"
	reasonNotRun     reason = "targets did not run it"
	reasonDeadline   reason = "time limit reached"
	reasonLost       reason = "answer lost"
	reasonCoverage   reason = "too few parts"
	reasonCallerLeft reason = "caller left"
)

const (
	// noRoutesRetry is when a caller may come back to a router without routes.
	noRoutesRetry = 700 * time.Millisecond
	// noTargetRetry is when a caller may come back if nothing says when a target
	// will be usable.
	noTargetRetry = 100 * time.Millisecond
	// leastRetry and mostRetry bound when a caller may come back.
	leastRetry = 20 * time.Millisecond
	mostRetry  = 2 * time.Second
	// notRunRetry is when a caller may come back after targets had no room.
	notRunRetry = 30 * time.Millisecond
)

// refusal is an answer of the router's own.
type refusal struct {
	status int
	reason reason
	// retryAfter is when the caller may come back, 0 if the answer doesn't tell.
	retryAfter time.Duration
	cause      error
	// lacking describes the shards without a part.
	lacking []string
}

// refuse writes an answer of the router's own.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, q *request, f *refusal) {
	h := w.Header()
	if id := r.Header.Get(s.cfg.Headers.RequestID); id != "" {
		h.Set(s.cfg.Headers.RequestID, id)
	}
	if f.retryAfter > 0 {
		h.Set(s.cfg.Headers.RetryAfter, strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(f.status)
	_, _ = w.Write([]byte(string(f.reason) + "\n"))
	s.logRefusal(r, q, f)
}

func (s *Server) logRefusal(r *http.Request, q *request, f *refusal) {
	s.cfg.Metrics.Refused(string(f.reason))
	if q == nil {
		q = &request{id: r.Header.Get(s.cfg.Headers.RequestID), received: time.Now()}
	}
	decisions := q.trail.close()
	if !s.lines.wanted(q.id, true) {
		return
	}
	s.lines.write(q, decisions)
	s.cfg.Log.Warn(lineRefused, append(s.basis(q), "status", f.status, "reason", string(f.reason),
		"retry_after", f.retryAfter, "error", f.cause, "lacking", f.lacking, "after", time.Since(q.received))...)
}
