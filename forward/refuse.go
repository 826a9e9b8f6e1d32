package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/peridotmux/peridotmux/clientlimit"
)

// reason is why a request wasn't answered by a target.
type reason string

// The reasons, as sent to callers and recorded in logs and metrics.
const (
	reasonNone     reason = ""
	reasonNoRoutes reason = "no routes known"
	reasonNoRoute  reason = "no route"
	reasonTooLarge reason = "body too large"
	reasonBadBody  reason = "body not read"
	reasonHeaders  reason = "headers too large"
	reasonNoTarget reason = "no usable target"
	reasonScarce   reason = "shards without capacity"
	reasonLimited  reason = "targets limit their requests"
	// reasonQuarantined means that the request crashes the targets that run it.
	reasonQuarantined reason = "crashes targets"
	reasonNotRun      reason = "targets did not run it"
	reasonDeadline    reason = "time limit reached"
	reasonLost        reason = "answer lost"
	reasonCoverage    reason = "too few parts"
	reasonCallerLeft  reason = "caller left"
	reasonDraining    reason = "shutting down"
	reasonKey         reason = "key not accepted"
	reasonUnverified  reason = "keys not confirmed"
	reasonClients     reason = "clients hold too much"
	reasonSlowBody    reason = "body too slow"
)

const (
	// noRoutesRetryAfter is when a caller may retry at a router without routes.
	noRoutesRetryAfter = 700 * time.Millisecond
	// noTargetRetryAfter is when a caller may retry if it is unknown when a target
	// will be usable.
	noTargetRetryAfter = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound when a caller may retry if no target is
	// usable.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// notRunRetryAfter is when a caller may retry after targets had no capacity.
	notRunRetryAfter = 30 * time.Millisecond
)

// refusal is an error response of the router itself.
type refusal struct {
	status int
	reason reason
	// retryAfter is when the caller may retry, 0 for no such header.
	retryAfter time.Duration
	cause      error
	// missing describes the shards without a part.
	missing []string
}

// refuse writes and logs an error response of the router itself. req is nil if the
// request couldn't be parsed because no routes are known.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, req *request, f *refusal) {
	clientlimit.FromContext(r.Context()).Refuse()
	h := w.Header()
	if id := r.Header.Get(s.cfg.Headers.RequestID); id != "" {
		h.Set(s.cfg.Headers.RequestID, id)
	}
	if f.retryAfter > 0 {
		h.Set(s.cfg.Headers.RetryAfter, strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	if f.endsConnection() {
		h.Set("Connection", "close")
	}
	if req == nil || req.body == nil {
		clientlimit.EndUnread(r)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(f.status)
	_, _ = w.Write([]byte(string(f.reason) + "\n"))
	s.logRefusal(r, req, f)
}

func (s *Server) logRefusal(r *http.Request, req *request, f *refusal) {
	s.cfg.Metrics.Refused(string(f.reason))
	if req == nil {
		req = &request{id: r.Header.Get(s.cfg.Headers.RequestID), received: time.Now()}
	}
	s.logLostRuns(req)
	decisions := req.trace.close()
	if !s.requestLog.shouldLog(req.id, true) {
		return
	}
	s.requestLog.write(req, decisions)
	s.cfg.Log.Warn(msgRefused, append(s.commonAttrs(req), "status", f.status, "reason", string(f.reason),
		"retry_after", f.retryAfter, "error", f.cause, "lacking", f.missing, "after", time.Since(req.received))...)
}
