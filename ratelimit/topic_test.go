package ratelimit

import (
	"testing"
	"time"
)

// pair is two gateways and a hub, with a clock of their own.
type pair struct {
	a, b *Gateway
	hub  *Hub
	now  time.Time
}

func newPair() *pair {
	p := &pair{hub: NewHub(), now: simStart}
	clock := func() time.Time { return p.now }
	p.a, p.b = NewGateway(clock), NewGateway(clock)
	return p
}

// exchange passes the gateways' reports on through a relay and tells them the state.
func (p *pair) exchange() {
	relay := NewHub()
	for _, g := range []*Gateway{p.a, p.b} {
		if report := g.Report(); report != nil {
			relay.Collect(report)
		}
	}
	if report := relay.Take(); report != nil {
		p.hub.Add(report, p.now)
	}
	p.now = p.now.Add(stateInterval)
	state := p.hub.State(p.now)
	p.a.Apply(state)
	p.b.Apply(state)
}

// A gateway must learn a limit, its change and its end from another one.
func TestLimitsReachOtherGateways(t *testing.T) {
	p := newPair()
	for _, want := range []struct {
		limit   Limit
		limited bool
	}{{10, true}, {20, true}, {0, false}, {5, true}} {
		p.now = p.now.Add(2 * ownTime)
		p.a.Observe(1, want.limit, want.limited, p.now)
		p.exchange()
		if l, ok := p.b.Limit(1); ok != want.limited || ok && l != want.limit {
			t.Errorf("limit %v, %v, want %v, %v", l, ok, want.limit, want.limited)
		}
		if p.b.Active() != want.limited {
			t.Errorf("active %v, want %v", p.b.Active(), want.limited)
		}
	}
}

// What a target says to a gateway itself must go before what others heard earlier.
func TestOwnResponseGoesFirst(t *testing.T) {
	p := newPair()
	p.a.Observe(1, 10, true, p.now)
	p.exchange()
	p.b.Observe(1, 0, false, p.now)
	state := p.hub.State(p.now.Add(stateInterval))
	p.b.Apply(state)
	if _, ok := p.b.Limit(1); ok {
		t.Error("an earlier report limits a target that said since that it has no limit")
	}
}

// The loss of control must not end a limit, and a new leader must learn it.
func TestLimitOutlastsLossOfControl(t *testing.T) {
	p := newPair()
	p.a.Observe(1, 10, true, p.now)
	p.exchange()
	p.a.Apply(nil)
	p.b.Apply(nil)
	p.now = p.now.Add(2 * limitTTL)
	p.hub = NewHub()
	p.exchange()
	if _, ok := p.b.Limit(1); !ok {
		t.Error("the limit was forgotten without control")
	}
	p.b = NewGateway(func() time.Time { return p.now })
	p.a.Observe(1, 10, true, p.now)
	p.exchange()
	if _, ok := p.b.Limit(1); !ok {
		t.Error("a new gateway wasn't told by the new leader")
	}
}

// A limit that nobody has heard of for long must be forgotten.
func TestLimitOfLostTargetIsForgotten(t *testing.T) {
	p := newPair()
	p.a.Observe(1, 10, true, p.now)
	p.a.Observe(2, 10, true, p.now)
	p.exchange()
	for range int(2*limitTTL/time.Second) + 2 {
		p.now = p.now.Add(time.Second)
		p.a.Observe(2, 10, true, p.now)
		p.exchange()
	}
	if _, ok := p.b.Limit(1); ok {
		t.Error("the limit of a lost target is still known")
	}
	if _, ok := p.b.Limit(2); !ok {
		t.Error("the limit of the other one isn't")
	}
}

// Malformed messages must change nothing.
func TestMalformedMessagesAreIgnored(t *testing.T) {
	p := newPair()
	p.a.Observe(1, 10, true, p.now)
	p.exchange()
	p.hub.Add([]byte{0xff, 1}, p.now)
	p.hub.Collect([]byte{0xff, 1})
	p.b.Apply([]byte{0xff, 1})
	p.exchange()
	if l, ok := p.b.Limit(1); !ok || l != 10 {
		t.Errorf("limit %v, %v after malformed messages", l, ok)
	}
}
