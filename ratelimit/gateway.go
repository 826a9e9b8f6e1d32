package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"
)

// TopicName identifies the topic on the exchange.
const TopicName = "ratelimit"

// Gateway holds what a gateway knows of limited targets. It implements outlier.Topic and
// is safe for concurrent use.
type Gateway struct {
	now func() time.Time
	// active means that a target is limited.
	active atomic.Bool

	mu       sync.Mutex
	targets  map[Key]*target
	services map[string]*service
	pending  *sums
	// connectedAt is when control began to tell its state, zero if it doesn't.
	connectedAt time.Time
}

// target is what a gateway knows of a target's limit.
type target struct {
	limit   Limit
	limited bool
	// respondedAt is when the target last responded to this gateway, zero if it never
	// did, and seenAt when its limit was last heard of.
	respondedAt, seenAt time.Time
	// reported is what was last reported, at reportedAt.
	reported   notice
	reportedAt time.Time
	// tokens are this gateway's.
	tokens tokens
}

// service holds the rates of a service that has limited targets.
type service struct {
	// since is when the counts began.
	since time.Time
	// offered counts this gateway's requests, and recent and own its choices in windows of
	// different lengths.
	offered, recent, own counter
	// total are the rates of all gateways, valid until validUntil.
	total      rates
	validUntil time.Time
}

// rates are requests offered and choices made, per second. recent are the choices of the
// last moments.
type rates struct{ offered, choices, recent float64 }

// NewGateway returns a gateway that knows of no limit. now returns the current time by the
// monotonic clock.
func NewGateway(now func() time.Time) *Gateway {
	return &Gateway{
		now: now, targets: make(map[Key]*target), services: make(map[string]*service), pending: newSums(),
	}
}

// Active reports whether a target is limited.
func (g *Gateway) Active() bool { return g.active.Load() }

// Limit returns a target's limit. ok is false if it has none.
func (g *Gateway) Limit(k Key) (l Limit, ok bool) {
	if !g.Active() {
		return 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[k]
	if t == nil || !t.limited {
		return 0, false
	}
	return t.limit, true
}

// Observe records the limit in a target's response; limited is false if it names none.
func (g *Gateway) Observe(k Key, l Limit, limited bool, now time.Time) {
	if !limited && !g.Active() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[k]
	if t == nil {
		if !limited || len(g.targets) >= maxTargets {
			return
		}
		t = &target{}
		g.targets[k] = t
	}
	t.limit, t.limited, t.respondedAt, t.seenAt = l, limited, now, now
	if n := (notice{limit: l, ended: !limited}); n != t.reported || now.Sub(t.reportedAt) >= repeatTime {
		t.reported, t.reportedAt = n, now
		g.pending.notices[k] = n
	}
	g.updateActive()
}

// updateActive sets active. g.mu must be held.
func (g *Gateway) updateActive() {
	for _, t := range g.targets {
		if t.limited {
			g.active.Store(true)
			return
		}
	}
	g.active.Store(false)
}

// Offer counts a request for a service with limited targets, whether or not it is sent.
func (g *Gateway) Offer(name string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending.add(name, uses{offered: 1})
	if s := g.service(name, now); s != nil {
		s.offered.add(1, now.Sub(s.since))
	}
}

// Draw counts a choice of a target of a service, given the targets that have limits, and
// returns which of these may be chosen. share is the part of the limits that is this
// gateway's while the choices of all gateways aren't known, and position a random number
// from 0 to 1. admitted means that the request was admitted by Share.
func (g *Gateway) Draw(name string, limited []Key, admitted bool, share, position float64, now time.Time) (allowed []bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending.add(name, uses{choices: 1})
	share = max(share, minShare)
	d := draw{choices: 1 / share, position: position}
	if s := g.service(name, now); s != nil {
		admitted = admitted && now.Before(s.validUntil)
		var shared bool
		if d.choices, shared = s.choices(share, admitted, now); shared {
			share = 1
		}
	}
	allowed = make([]bool, len(limited))
	for i, k := range limited {
		t := g.targets[k]
		if t == nil || !t.limited {
			allowed[i] = true
			continue
		}
		most := t.limit.most(admitted)
		allowed[i] = d.allows(most) && t.tokens.ready(most*share, now)
	}
	return allowed
}

// choices counts a choice and returns the rate of choices among which the limits are
// divided: that of all gateways if it is known, otherwise one in which this gateway's
// choices have its share. Admitted requests are few enough unless their rate rises.
func (s *service) choices(share float64, admitted bool, now time.Time) (perSecond float64, shared bool) {
	at := now.Sub(s.since)
	s.recent.add(1, at)
	s.own.add(1, at)
	if admitted {
		return max(s.total.choices, s.total.recent/chanceRise), true
	}
	if now.Before(s.validUntil) {
		return max(s.total.choices, s.total.recent) * s.recent.rise(at), true
	}
	elapsed := min(max(at, rateWidth), s.own.window())
	return s.own.sum(at) / elapsed.Seconds() / share, false
}

// Take uses a token of a target that was chosen.
func (g *Gateway) Take(k Key) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.targets[k]; t != nil {
		t.tokens.spent++
	}
}

// chanceRise is the factor by which the recent rate of admitted requests may exceed the
// mean one by chance.
const chanceRise = 1.5

// minShare keeps a gateway that isn't counted yet from dividing by zero.
const minShare = 1e-4

// service returns the rates of a service, nil if there are too many. g.mu must be held.
func (g *Gateway) service(name string, now time.Time) *service {
	s := g.services[name]
	if s == nil && len(g.services) < maxServices {
		s = &service{since: now, offered: counter{width: rateWidth}, recent: counter{width: rateWidth}, own: counter{width: ownWidth}}
		g.services[name] = s
	}
	return s
}

// Offered returns the requests per second that all gateways together are offered for a
// service. ok is false if that isn't known.
func (g *Gateway) Offered(name string, now time.Time) (perSecond float64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil || !now.Before(s.validUntil) {
		return 0, false
	}
	return s.total.offered * s.offered.rise(now.Sub(s.since)), true
}

// Name implements outlier.Topic.
func (*Gateway) Name() string { return TopicName }

// Report implements outlier.Topic.
func (g *Gateway) Report() []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	report := g.pending
	if report.empty() {
		return nil
	}
	g.pending = newSums()
	return report.encode()
}

// Apply implements outlier.Topic. Limits outlast the loss of control, and the sums do for
// sumsTTL.
func (g *Gateway) Apply(message []byte) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(message) == 0 {
		g.connectedAt = time.Time{}
		return
	}
	state, ok := decodeState(message)
	if !ok {
		return
	}
	if g.connectedAt.IsZero() {
		g.connectedAt = now
	}
	g.applyLimits(state, now)
	for name, total := range state.rates {
		if s := g.service(name, now); s != nil {
			s.total, s.validUntil = total, now.Add(sumsTTL)
		}
	}
	g.updateActive()
}

// applyLimits applies what all gateways heard, unless this one heard from the target
// lately. g.mu must be held.
func (g *Gateway) applyLimits(s *state, now time.Time) {
	for k, n := range s.notices {
		t := g.targets[k]
		if t == nil {
			if n.ended || len(g.targets) >= maxTargets {
				continue
			}
			t = &target{}
			g.targets[k] = t
		}
		t.seenAt = now
		if t.respondedAt.IsZero() || now.Sub(t.respondedAt) > ownTime {
			t.limit, t.limited = n.limit, !n.ended
		}
	}
	if now.Sub(g.connectedAt) < limitTTL {
		return
	}
	for k, t := range g.targets {
		if now.Sub(t.seenAt) > limitTTL {
			delete(g.targets, k)
		}
	}
}
