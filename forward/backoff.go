package forward

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxBackOff bounds the time for which one response of a target can keep requests
	// away, so that a faulty target can't take itself out of use for good.
	maxBackOff = 30 * time.Second
	// backOffJitter is the random part that routers add to a target's back-off time, as a
	// fraction of it, up to maxBackOffJitter. Otherwise all of them would come back at once.
	backOffJitter    = 0.25
	maxBackOffJitter = 500 * time.Millisecond
)

// isLeaving reports whether a target says in its response that it is about to stop.
func isLeaving(h http.Header, d *HeaderNames) bool { return d.Leaving != "" && h.Get(d.Leaving) == "1" }

// parseBackOff returns the time in seconds in a target's header that says for how long it
// wants no requests. ok is false if the header is malformed or the time had to be bounded.
func parseBackOff(values []string) (d time.Duration, ok bool) {
	if len(values) == 0 {
		return 0, true
	}
	seconds, err := strconv.ParseFloat(values[0], 64)
	if len(values) > 1 || err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, false
	}
	if seconds > maxBackOff.Seconds() {
		return maxBackOff, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// backOff returns the target's back-off time in the headers of a response.
func (a *attempt) backOff(h http.Header) time.Duration {
	d, ok := parseBackOff(h[http.CanonicalHeaderKey(a.headers.RetryAfter)])
	if !ok && a.onBadBackOff != nil {
		a.onBadBackOff()
	}
	return d
}

// applyNotices applies what the target said about its own future in a response. It is
// about this incarnation only: another start of the target is another backend.
func (b *backend) applyNotices(o *Outcome, now time.Time) {
	if o.Leaving {
		b.markLeaving()
	}
	if o.BackOff <= 0 {
		return
	}
	jitter := min(time.Duration(backOffJitter*float64(o.BackOff)), maxBackOffJitter)
	until := now.Add(o.BackOff + time.Duration(rand.Float64()*float64(jitter)))
	if until.After(b.backOffUntil) {
		b.backOffUntil = until
	}
}

// markLeaving takes the target out of use for good.
func (b *backend) markLeaving() {
	b.leaving = true
	b.pool.CloseIdle()
}
