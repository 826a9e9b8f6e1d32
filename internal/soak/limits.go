package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/internal/wait"
)

const (
	// contactTime is the time after which all gateways know what a target says of its
	// limit, and what they know of a request that crashes targets.
	contactTime = 4 * time.Second
	// limitWindow, limitFactor and limitSlack bound the requests at a target with a limit.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// rateLimits records which targets name a limit and what reaches them. Its methods may be
// called concurrently.
type rateLimits struct {
	mu    sync.Mutex
	named map[string]*namedLimit
	// checks is the number of arrivals that were counted.
	checks int
}

// namedLimit is the limit that a target names.
type namedLimit struct {
	perSecond float64
	since     time.Time
	// arrivals are those in the current window that count.
	arrivals []time.Time
}

// begin records that a target names a limit from now on, and end that it names none.
func (l *rateLimits) begin(target string, perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.named[target] = &namedLimit{perSecond: perSecond, since: time.Now()}
}

func (l *rateLimits) end(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.named, target)
}

// arrive records that a request reached a target, and returns a violation, "" if there is
// none. excused reports whether a disruption since a time excuses the sender.
func (l *rateLimits) arrive(target string, excused func(since time.Time) bool) string {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.named[target]
	if n == nil || now.Sub(n.since) < contactTime || excused(n.since) {
		return ""
	}
	l.checks++
	n.arrivals = append(n.arrivals, now)
	for now.Sub(n.arrivals[0]) >= limitWindow {
		n.arrivals = n.arrivals[1:]
	}
	allowed := limitFactor*n.perSecond*limitWindow.Seconds() + limitSlack
	if float64(len(n.arrivals)) <= allowed {
		return ""
	}
	count := len(n.arrivals)
	n.arrivals = nil
	return fmt.Sprintf("%d requests within %v at %s, which takes %.1f a second", count, limitWindow, target, n.perSecond)
}

// disruptByLimits lets targets name limits for a while, beside the other disruptions, until
// cfg.Duration has passed or ctx ends. Its random numbers are its own, so that the other
// disruptions of a seed don't depend on it.
func (r *runner) disruptByLimits(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cluster.cfg.Duration)
	defer cancel()
	rng := rand.New(rand.NewPCG(r.cluster.cfg.Seed, 23)) //nolint:gosec // Not a secret.
	for ctx.Err() == nil {
		t := pick(rng, r.cluster.targetsInUse())
		perSecond := 1 + 15*rng.Float64()
		d := contactTime + time.Duration(2+rng.IntN(8))*time.Second
		r.printf("target %s takes %.1f requests a second for %v", t.id, perSecond, d)
		t.setRateLimit(perSecond)
		wait.For(ctx, d)
		t.setRateLimit(0)
		wait.For(ctx, time.Duration(rng.IntN(2000))*time.Millisecond)
	}
}

// setRateLimit lets the target name a limit, none if it is 0.
func (t *standinTarget) setRateLimit(perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rateLimit = perSecond
	if perSecond == 0 {
		t.ledger.rateLimits.end(t.id)
		return
	}
	t.ledger.rateLimits.begin(t.id, perSecond)
}

// sayRateLimit adds the target's limit to a response, if it has one.
func (t *standinTarget) sayRateLimit(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rateLimit > 0 {
		w.Header().Set(headers.RateLimit, strconv.FormatFloat(t.rateLimit, 'f', 2, 64))
	}
}

// checkRateLimit checks a request that arrives now.
func (t *standinTarget) checkRateLimit(id string) {
	gateway, known := t.ledger.notices.sender(id)
	excused := func(since time.Time) bool { return !known || t.ledger.excused(t, gateway, since) }
	if text := t.ledger.rateLimits.arrive(t.id, excused); text != "" {
		t.ledger.addViolation("%s", text)
	}
}

// sender returns the gateway that sends a request to targets. ok is false if gateways may
// divide it among them.
func (n *notices) sender(id string) (gateway int, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e, known := n.entries[id]
	return e.gateway, known && e.sender
}
