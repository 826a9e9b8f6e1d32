package forward

import (
	"net/http"
	"sync/atomic"
	"time"
)

// drain is the end of the time in which a router that shuts down finishes requests.
type drain struct {
	// end is when it ends, nil while the router isn't shutting down.
	end atomic.Pointer[time.Time]
	// ended is closed at end.
	ended chan struct{}
}

func newDrain() *drain { return &drain{ended: make(chan struct{})} }

// begin sets the end. It must be called only once.
func (d *drain) begin(end time.Time) {
	d.end.Store(&end)
	time.AfterFunc(time.Until(end), func() { close(d.ended) })
}

// limit shortens the deadline of a request to the end. It returns false if an answer
// can't be expected before that: the time left is shorter than the request's objective
// and than the time that it has.
func (d *drain) limit(req *request, now time.Time) bool {
	end := d.end.Load()
	if end == nil || req.deadline.Before(*end) {
		return true
	}
	req.deadline = *end
	return end.Sub(now) >= req.route.Objective
}

// Drain makes the server close callers' connections after each response and end all
// requests by the time end: those still in progress then are answered as far as they
// got, and those that come too late for an answer are refused as not run, so that
// callers go elsewhere. It must be called only once.
func (s *Server) Drain(end time.Time) {
	s.noKeepAlives.Store(true)
	s.drain.begin(end)
}

// refuseDraining refuses a request that this router can't answer before it ends.
func (s *Server) refuseDraining(w http.ResponseWriter, r *http.Request, req *request) {
	s.refuse(w, r, req, &refusal{status: http.StatusServiceUnavailable, reason: reasonDraining, retryAfter: minRetryAfter})
}

// DrainedError means that the router's time to finish requests ended.
type DrainedError struct{}

// Error describes the failure.
func (*DrainedError) Error() string { return "the router shut down before the answer" }
