package forward

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
)

// limitNotice is what a response says of its target's rate limit.
type limitNotice uint8

// The notices.
const (
	// limitUnknown means that there is no response of the target, or that its limit is
	// malformed.
	limitUnknown limitNotice = iota
	// limitNone means that the target has no limit.
	limitNone
	// limitStated means that it has one.
	limitStated
)

// targetLimit is the rate limit of a target: the requests per second that it takes from
// all routers together.
type targetLimit struct {
	notice    limitNotice
	perSecond float64
}

// parseLimit returns the limit in the values of a response's header.
func parseLimit(values []string) targetLimit {
	if len(values) == 0 {
		return targetLimit{notice: limitNone}
	}
	v, err := strconv.ParseFloat(values[0], 64)
	if len(values) > 1 || err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return targetLimit{}
	}
	return targetLimit{notice: limitStated, perSecond: v}
}

// rateLimit returns the target's rate limit in the headers of a response.
func (a *attempt) rateLimit(h http.Header) targetLimit {
	if a.headers.RateLimit == "" {
		return targetLimit{}
	}
	l := parseLimit(h[http.CanonicalHeaderKey(a.headers.RateLimit)])
	if l.notice == limitUnknown && a.onBadLimit != nil {
		a.onBadLimit()
	}
	return l
}

// loggedLimitChange is the relative change of a limit from which on it is logged.
const loggedLimitChange = 0.2

// applyLimit keeps the limit in a response and reports whether it is worth a log line: it
// begins, ends or changes by much.
func (b *backend) applyLimit(l targetLimit) bool {
	if l.notice == limitUnknown {
		return false
	}
	before := b.limit
	b.limit = l
	if l.notice != before.notice {
		return l.notice == limitStated || before.notice == limitStated
	}
	return math.Abs(l.perSecond-before.perSecond) > loggedLimitChange*before.perSecond
}

// logNotices logs what a target said of itself in a response for the first time.
func (s *Server) logNotices(b *backend, o *Outcome, n notices) {
	if n.leaves {
		s.cfg.Log.Info(msgLeaving, "target", string(b.id), "service", string(b.service))
	}
	switch {
	case !n.limitChanged:
	case o.Limit.notice == limitStated:
		s.cfg.Log.Info(msgLimited, "target", string(b.id), "service", string(b.service), "per_second", o.Limit.perSecond)
	default:
		s.cfg.Log.Info(msgUnlimited, "target", string(b.id), "service", string(b.service))
	}
}

// limitText describes a target's rate limit for the status page, "" if it has none.
func (b *backend) limitText() string {
	if b.limit.notice != limitStated {
		return ""
	}
	return fmt.Sprintf(", takes %.2f requests/s from all gateways", b.limit.perSecond)
}
