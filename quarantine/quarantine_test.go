package quarantine

import (
	"context"
	"log/slog"
	"testing"
	"time"
)

var (
	start = time.Unix(1_000_000, 0)
	one   = Fingerprint{1}
	two   = Fingerprint{2}
)

// A request's standing must follow from what happened to it.
func TestStandings(t *testing.T) {
	next := Target(0)
	lost := func(n int) Evidence {
		e := Evidence{}
		for range n {
			next++
			e.Lost = append(e.Lost, next)
		}
		return e
	}
	canary := func() Evidence {
		e := lost(1)
		e.CanaryLost = true
		return e
	}
	weak := func(e Evidence) Evidence {
		e.Weak = true
		return e
	}
	answered, same := Evidence{Answered: true}, Evidence{Lost: []Target{1000}}
	sameCanary := Evidence{Lost: []Target{1000}, CanaryLost: true}
	for name, c := range map[string]struct {
		evidence []Evidence
		want     Standing
	}{
		"one loss":                       {[]Evidence{lost(1)}, Clear},
		"two losses":                     {[]Evidence{lost(1), lost(1)}, Suspect},
		"many losses without a canary":   {[]Evidence{lost(1), lost(1), lost(1), lost(1)}, Suspect},
		"a canary lost as the third":     {[]Evidence{lost(1), lost(1), canary()}, Quarantined},
		"one gather and a canary":        {[]Evidence{lost(10), canary()}, Quarantined},
		"a canary lost as the second":    {[]Evidence{lost(1), canary()}, Suspect},
		"one target lost often":          {[]Evidence{same, same, same, same}, Clear},
		"two targets and a canary again": {[]Evidence{same, lost(1), sameCanary}, Quarantined},
		"answered after losses":          {[]Evidence{lost(1), lost(1), lost(1), answered}, Clear},
		"answered between losses":        {[]Evidence{lost(1), answered, lost(1)}, Clear},
		"answered between many of these": {[]Evidence{lost(1), lost(1), answered, lost(1), lost(1)}, Suspect},
		"weak, three losses":             {[]Evidence{weak(lost(1)), lost(1), canary()}, Clear},
		"weak, five losses":              {[]Evidence{weak(lost(4)), canary()}, Suspect},
		"weak, six losses":               {[]Evidence{weak(lost(5)), canary()}, Quarantined},
	} {
		l := newLedger()
		got := Clear
		for i, e := range c.evidence {
			got = l.add(one, e, start.Add(time.Duration(i)*time.Second))
		}
		if got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
		if s, _ := l.standing(two, start); s != Clear {
			t.Errorf("%s: another request is %v", name, s)
		}
	}
}

// A quarantined request may run as a canary again after some time, for which it is
// quarantined longer if it takes down another target; old losses must be forgotten.
func TestQuarantineEndsWithACanary(t *testing.T) {
	l := newLedger()
	l.add(one, Evidence{Lost: []Target{1, 2, 3}}, start)
	l.add(one, Evidence{Lost: []Target{4}, CanaryLost: true}, start)
	now := start
	for _, period := range []time.Duration{quarantineTime, quarantineGrowth * quarantineTime, quarantineGrowth * quarantineGrowth * quarantineTime} {
		if s, left := l.standing(one, now); s != Quarantined || left != period {
			t.Fatalf("%v for %v, want %v", s, left, period)
		}
		now = now.Add(period)
		if s, _ := l.standing(one, now); s != Suspect {
			t.Fatalf("%v after %v, want a suspect", s, period)
		}
		l.add(one, Evidence{Lost: []Target{1}, CanaryLost: true}, now)
	}
	l.add(two, Evidence{Lost: []Target{1, 2}}, start)
	if s, _ := l.standing(two, start.Add(suspectTime+time.Second)); s != Clear {
		t.Errorf("%v long after two losses", s)
	}
	for i := range 2 * maxRecords {
		l.add(Fingerprint{byte(i), byte(i >> 8), 9}, Evidence{Lost: []Target{1}}, now)
	}
	if s, _ := l.standing(one, now); len(l.records) > maxRecords || s != Quarantined {
		t.Errorf("%d records, %v", len(l.records), s)
	}
}

// exchange is two gateways and a hub, with a clock of their own.
type exchange struct {
	a, b *Guard
	hub  *Hub
	now  time.Time
}

func newExchange() *exchange {
	x := &exchange{now: start, hub: NewHub(slog.New(slog.DiscardHandler))}
	clock := func() time.Time { return x.now }
	x.a, x.b = NewGuard(clock), NewGuard(clock)
	return x
}

// pass passes the reports on through a relay and tells the gateways the state.
func (x *exchange) pass() {
	relay := NewHub(slog.New(slog.DiscardHandler))
	for _, g := range []*Guard{x.a, x.b} {
		if message := g.Report(); message != nil {
			relay.Collect(message)
		}
	}
	if message := relay.Take(); message != nil {
		x.hub.Add(message, x.now)
	}
	state := x.hub.State(x.now)
	x.a.Apply(state)
	x.b.Apply(state)
}

func (x *exchange) standing(g *Guard) Standing {
	s, _ := g.Standing(one, x.now)
	return s
}

// Losses at several gateways must add up, and the others must hear of a quarantine, at
// once, and of its end.
func TestGatewaysShareStandings(t *testing.T) {
	x := newExchange()
	x.a.Lost(one, Loss{Target: 1})
	x.b.Lost(one, Loss{Target: 2})
	x.pass()
	if x.standing(x.a) != Suspect || x.standing(x.b) != Suspect {
		t.Fatalf("%v and %v after a loss at each gateway", x.standing(x.a), x.standing(x.b))
	}
	x.a.Lost(one, Loss{Target: 3, Canary: true})
	select {
	case <-x.a.Urgent():
	default:
		t.Error("the loss of a canary isn't urgent")
	}
	x.pass()
	select {
	case <-x.hub.UrgentState():
	default:
		t.Error("a quarantine isn't urgent")
	}
	if x.standing(x.b) != Quarantined {
		t.Fatalf("%v at the other gateway", x.standing(x.b))
	}
	x.now = x.now.Add(quarantineTime)
	if x.standing(x.b) != Suspect {
		t.Fatalf("%v after the quarantine", x.standing(x.b))
	}
	x.b.Answered(one)
	x.pass()
	if x.standing(x.a) != Clear || x.standing(x.b) != Clear {
		t.Errorf("%v and %v after an answer", x.standing(x.a), x.standing(x.b))
	}
}

// A quarantine must outlast the loss of the leader, and reach gateways that start after it.
func TestQuarantineOutlastsTheLeader(t *testing.T) {
	x := newExchange()
	for i := range Target(3) {
		x.a.Lost(one, Loss{Target: i, Canary: true})
	}
	x.pass()
	x.b.Apply(nil)
	if x.standing(x.b) != Quarantined {
		t.Fatalf("%v without a leader", x.standing(x.b))
	}
	x.hub = NewHub(slog.New(slog.DiscardHandler))
	x.a = NewGuard(func() time.Time { return x.now })
	for range 3 {
		x.now = x.now.Add(knownInterval)
		x.pass()
	}
	if x.standing(x.a) != Quarantined {
		t.Errorf("%v at a new gateway under a new leader", x.standing(x.a))
	}
}

// One canary of a request may run at a time, and others must wait for what becomes of it.
func TestOneCanaryAtATime(t *testing.T) {
	x := newExchange()
	x.a.Lost(one, Loss{Target: 1})
	x.a.Lost(one, Loss{Target: 2})
	first := x.a.Admit(t.Context(), one)
	if first.Standing != Suspect || first.Done == nil {
		t.Fatalf("%+v for the first one", first)
	}
	if other := x.a.Admit(t.Context(), two); other.Standing != Clear {
		t.Errorf("%+v for another request", other)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if late := x.a.Admit(ended, one); late.Standing != Quarantined {
		t.Errorf("%+v for one that has no time to wait", late)
	}
	second := make(chan Admission)
	go func() { second <- x.a.Admit(t.Context(), one) }()
	select {
	case a := <-second:
		t.Fatalf("%+v while the first one runs", a)
	case <-time.After(20 * time.Millisecond):
	}
	x.a.Lost(one, Loss{Target: 3, Canary: true})
	first.Done()
	if a := <-second; a.Standing != Quarantined || a.RetryAfter != quarantineTime {
		t.Errorf("%+v after the canary was lost", a)
	}
}

// An answer must take back what wasn't reported yet, so that an ordinary crash costs the
// exchange nothing.
func TestAnsweredLossesAreNotReported(t *testing.T) {
	x := newExchange()
	x.a.Lost(one, Loss{Target: 1})
	x.a.Answered(one)
	if message := x.a.Report(); message != nil || x.a.Active() {
		t.Errorf("report %v, active %v", message, x.a.Active())
	}
}

// Malformed messages must change nothing.
func TestMalformedMessagesAreIgnored(t *testing.T) {
	x := newExchange()
	for i := range Target(3) {
		x.a.Lost(one, Loss{Target: i, Canary: true})
	}
	x.pass()
	x.hub.Add([]byte{0xff, 1}, x.now)
	x.hub.Collect([]byte{0xff, 1})
	x.b.Apply([]byte{0xff, 1})
	if x.pass(); x.standing(x.b) != Quarantined {
		t.Errorf("%v after malformed messages", x.standing(x.b))
	}
}

// A request that targets answered lately must need more losses, and count as any other one
// some time later.
func TestAnsweredRequestNeedsMoreLosses(t *testing.T) {
	x := newExchange()
	lose := func() Standing {
		var s Standing
		for i := range Target(quarantineLosses) {
			s, _ = x.a.Lost(one, Loss{Target: i, Canary: true})
		}
		return s
	}
	x.a.Answered(one)
	if s := lose(); s != Clear {
		t.Errorf("%v after %d losses in a row", s, quarantineLosses)
	}
	x.now = x.now.Add(2*recentTime + suspectTime)
	if s := lose(); s != Quarantined {
		t.Errorf("%v long after the last answer", s)
	}
	for i := range 3 * maxRecent {
		x.a.Answered(Fingerprint{byte(i), byte(i >> 8), byte(i >> 16), 9})
	}
	if n := len(x.a.answered.young) + len(x.a.answered.old); n > 2*maxRecent {
		t.Errorf("%d requests are kept", n)
	}
}
