package forward

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/peridotmux/peridotmux/admission"
	"github.com/peridotmux/peridotmux/ratelimit"
	"github.com/peridotmux/peridotmux/route"
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
func (f *fleet) limitText(b *backend) string {
	l, limited := f.limitOf(b)
	if !limited {
		return ""
	}
	return fmt.Sprintf(", takes %.2f requests/s from all gateways", l)
}

// targetSet is a set of targets.
type targetSet map[*backend]bool

// limitOf returns a target's rate limit, as far as any router knows. ok is false if it has
// none.
func (f *fleet) limitOf(b *backend) (l ratelimit.Limit, ok bool) {
	if !f.limits.Active() {
		return 0, false
	}
	return f.limits.Limit(b.capacityKey())
}

// observeLimit passes a response's limit to all routers. f.mu must be held.
func (f *fleet) observeLimit(b *backend, l targetLimit, now time.Time) {
	if l.notice != limitUnknown {
		f.limits.Observe(b.capacityKey(), ratelimit.Limit(l.perSecond), l.notice == limitStated, now)
	}
}

// limitedTargets returns the usable targets of a service that have a rate limit, and
// whether others have none. f.mu must be held.
func (f *fleet) limitedTargets(s route.ServiceName, now time.Time) (limited []*backend, limits []ratelimit.Limit, others bool) {
	for _, b := range f.candidates(s, now) {
		l, ok := f.limitOf(b)
		if !ok {
			others = true
			continue
		}
		limited, limits = append(limited, b), append(limits, l)
	}
	return limited, limits, others
}

// drawOverLimit returns the targets that a request may not be sent to, since all routers'
// requests would exceed their limits. Hedges, which are extra load, go to no limited
// target. f.mu must be held.
func (f *fleet) drawOverLimit(crit *criteria, now time.Time) targetSet {
	if !f.limits.Active() {
		return nil
	}
	limited, _, others := f.limitedTargets(crit.service, now)
	if len(limited) == 0 {
		return nil
	}
	over := make(targetSet, len(limited))
	if crit.hedge {
		for _, b := range limited {
			over[b] = true
		}
		return over
	}
	keys := make([]ratelimit.Key, len(limited))
	for i, b := range limited {
		keys[i] = b.capacityKey()
	}
	for i, allowed := range f.limits.Draw(string(crit.service), keys, crit.admitted && !others, f.shareOf(crit.service), f.random(), now) {
		over[limited[i]] = !allowed
	}
	return over
}

// allLimited reports whether all usable targets of a service have rate limits.
func (f *fleet) allLimited(s route.ServiceName, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	limited, _, others := f.limitedTargets(s, now)
	return len(limited) > 0 && !others
}

// limitedShare returns the fraction of all requests for a service that its targets take.
// It is below 1 only if all of them have limits that don't suffice. The request that asks
// is counted as offered.
func (f *fleet) limitedShare(s route.ServiceName, now time.Time) float64 {
	if !f.limits.Active() {
		return 1
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	limited, limits, others := f.limitedTargets(s, now)
	if len(limited) == 0 {
		return 1
	}
	f.limits.Offer(string(s), now)
	offered, known := f.limits.Offered(string(s), now)
	if others || !known {
		return 1
	}
	return ratelimit.Share(limits, offered)
}

// admitLimited decides whether the limits of targets suffice for a query. Like admit, it
// decides once for all shards and by the query's id, so that queries don't compete for
// parts of one shard that are of no use without those of another. It returns the shards
// to leave out in addition to others, or a refusal.
func (s *Server) admitLimited(req *request, others []int, now time.Time) (leaveOut []int, f *refusal) {
	var shares []float64
	var shards []int
	for i, name := range req.route.Gather.Shards {
		if slices.Contains(others, i) {
			continue
		}
		if share := s.fleet.limitedShare(name, now); share < 1 {
			shares, shards = append(shares, share), append(shards, i)
		}
	}
	if len(shards) == 0 {
		return others, nil
	}
	n := len(req.route.Gather.Shards)
	plan := admission.NewPlan(shares, n, n-req.route.Gather.MinParts()-len(others))
	admitted, out := plan.Decide(admission.Position(req.id))
	if !admitted {
		return nil, s.limitedRefusal(req, now)
	}
	s.cfg.Metrics.LeftOut(string(req.route.Name), len(out))
	leaveOut = slices.Clone(others)
	for _, i := range out {
		leaveOut = append(leaveOut, shards[i])
	}
	return leaveOut, nil
}

// limitedRefusal returns the refusal of a request that the targets' limits don't suffice
// for. Callers return spread over time.
func (s *Server) limitedRefusal(req *request, now time.Time) *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, reason: reasonLimited,
		retryAfter: admission.RetryAfter(req.id, req.deadline.Sub(now), minRetryAfter, maxRetryAfter),
	}
}
