package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// TopicName identifies the topic on the exchange.
const TopicName = "quarantine"

// knownInterval is the time between two reports of quarantined requests that the leader
// doesn't list.
const knownInterval = time.Second

// Guard decides at a gateway which requests may run. It implements outlier.UrgentTopic and
// is safe for concurrent use.
type Guard struct {
	now func() time.Time
	// active means that something is held against a request.
	active atomic.Bool
	urgent chan struct{}

	mu sync.Mutex
	// own is what this gateway saw, and shared what the leader told.
	own     *ledger
	shared  map[Fingerprint]told
	pending map[Fingerprint]report
	// reported are the requests whose losses were reported, so that an answer is, too.
	reported map[Fingerprint]bool
	// answered are the requests that targets answered lately.
	answered recent
	// canaries are closed when the canary of a request ends.
	canaries map[Fingerprint]chan struct{}
	knownAt  time.Time
}

// told is what the leader told of a request.
type told struct {
	standing Standing
	// lasts is how long that holds from the moment at which it was found, and until when
	// it does here.
	lasts time.Duration
	until time.Time
}

// NewGuard returns a guard that knows of no request. now returns the current time by the
// monotonic clock.
func NewGuard(now func() time.Time) *Guard {
	return &Guard{
		now: now, urgent: make(chan struct{}, 1), own: newLedger(), shared: make(map[Fingerprint]told),
		pending: make(map[Fingerprint]report), reported: make(map[Fingerprint]bool), canaries: make(map[Fingerprint]chan struct{}),
	}
}

// Active reports whether something is held against any request.
func (g *Guard) Active() bool { return g.active.Load() }

// Standing returns what is thought of a request, and how much longer it is quarantined.
func (g *Guard) Standing(f Fingerprint, now time.Time) (s Standing, left time.Duration) {
	if !g.Active() {
		return Clear, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.standing(f, now)
}

// standing is Standing. g.mu must be held.
func (g *Guard) standing(f Fingerprint, now time.Time) (Standing, time.Duration) {
	s, left := g.own.standing(f, now)
	t, known := g.shared[f]
	if !known || !now.Before(t.until) && t.standing == Suspect {
		return s, left
	}
	if now.Before(t.until) {
		return max(s, t.standing), max(left, t.quarantinedFor(now))
	}
	return max(s, Suspect), left
}

// quarantinedFor returns how much longer the request is quarantined.
func (t told) quarantinedFor(now time.Time) time.Duration {
	if t.standing != Quarantined {
		return 0
	}
	return t.until.Sub(now)
}

// Admission is the decision on one request.
type Admission struct {
	Standing Standing
	// RetryAfter is how much longer a quarantined request isn't run.
	RetryAfter time.Duration
	// Done must be called at the end of a suspect's run. It is nil for other requests.
	Done func()
}

// Admit decides on a request. While a suspect runs at this gateway, the next one with the
// same fingerprint waits for what becomes of it, until ctx ends.
func (g *Guard) Admit(ctx context.Context, f Fingerprint) Admission {
	for {
		a, running := g.try(f)
		if running == nil {
			return a
		}
		select {
		case <-running:
		case <-ctx.Done():
			return Admission{Standing: Quarantined}
		}
	}
}

// try decides on a request, unless another one is running as the canary.
func (g *Guard) try(f Fingerprint) (a Admission, running <-chan struct{}) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	s, left := g.standing(f, now)
	if s != Suspect {
		return Admission{Standing: s, RetryAfter: left}, nil
	}
	if c := g.canaries[f]; c != nil {
		return Admission{}, c
	}
	c := make(chan struct{})
	g.canaries[f] = c
	return Admission{Standing: s, Done: func() { g.endCanary(f, c) }}, nil
}

func (g *Guard) endCanary(f Fingerprint, c chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.canaries, f)
	close(c)
}

// Loss is a target that was lost while it may have run a request.
type Loss struct {
	Target Target
	// Canary means that the target ran the request as a canary.
	Canary bool
	// Weak means that the loss may have another cause.
	Weak bool
}

// Lost records a loss and returns the request's standing and whether that has changed.
func (g *Guard) Lost(f Fingerprint, l Loss) (s Standing, changed bool) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	e := Evidence{Lost: []Target{l.Target}, CanaryLost: l.Canary, Weak: l.Weak || g.answered.has(f, now)}
	before, _ := g.standing(f, now)
	g.own.add(f, e, now)
	g.active.Store(true)
	g.report(f, report{Evidence: e})
	s, _ = g.standing(f, now)
	if s > Clear {
		g.wake()
	}
	return s, s != before
}

// Answered records that a target answered a request, which clears it.
func (g *Guard) Answered(f Fingerprint) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered.add(f, now)
	_, shared := g.shared[f]
	if !shared && g.own.records[f] == nil {
		return
	}
	g.own.add(f, Evidence{Answered: true}, now)
	delete(g.shared, f)
	if !g.reported[f] && !shared {
		// Nobody else was told of the losses.
		delete(g.pending, f)
		g.updateActive()
		return
	}
	delete(g.reported, f)
	g.report(f, report{Evidence: Evidence{Answered: true}})
	g.wake()
	g.updateActive()
}

// report adds to the next report. g.mu must be held.
func (g *Guard) report(f Fingerprint, r report) {
	before, known := g.pending[f]
	if !known && len(g.pending) >= maxRecords {
		return
	}
	g.pending[f] = before.plus(r)
}

// wake has the pending evidence reported at once.
func (g *Guard) wake() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// updateActive sets active. g.mu must be held.
func (g *Guard) updateActive() { g.active.Store(len(g.own.records)+len(g.shared) > 0) }

// Name implements outlier.Topic.
func (*Guard) Name() string { return TopicName }

// Urgent implements outlier.UrgentTopic.
func (g *Guard) Urgent() <-chan struct{} { return g.urgent }

// Report implements outlier.Topic.
func (g *Guard) Report() []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pending) == 0 {
		return nil
	}
	if len(g.reported) > maxRecords {
		clear(g.reported)
	}
	for f, r := range g.pending {
		if len(r.Lost) > 0 {
			g.reported[f] = true
		}
	}
	out := encodeReport(g.pending)
	clear(g.pending)
	return out
}

// Apply implements outlier.Topic. What the leader told outlasts its loss. Its successor is
// told of quarantined requests that it doesn't list.
func (g *Guard) Apply(message []byte) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	entries, ok := decodeState(message)
	if !ok || len(message) == 0 {
		return
	}
	for f, e := range entries {
		g.applyEntry(f, e, now)
	}
	g.expire(now)
	if now.Sub(g.knownAt) >= knownInterval {
		g.knownAt = now
		for f, t := range g.shared {
			if _, listed := entries[f]; !listed && t.standing == Quarantined && now.Before(t.until) {
				g.report(f, report{quarantined: t.lasts})
			}
		}
	}
	g.updateActive()
}

// applyEntry applies what the leader says of one request. g.mu must be held.
func (g *Guard) applyEntry(f Fingerprint, e entry, now time.Time) {
	if e.standing == Clear {
		g.own.add(f, Evidence{Answered: true}, now)
		delete(g.shared, f)
		return
	}
	before, known := g.shared[f]
	if known && before.standing == e.standing && before.lasts == e.lasts {
		return
	}
	if known || len(g.shared) < maxRecords {
		g.shared[f] = told{standing: e.standing, lasts: e.lasts, until: now.Add(e.lasts)}
	}
}

// expire forgets requests that nobody has anything against any more. g.mu must be held.
func (g *Guard) expire(now time.Time) {
	g.own.expire(now)
	for f, t := range g.shared {
		after := suspectTime
		if t.standing == Quarantined {
			after = maxQuarantineTime
		}
		if now.Sub(t.until) > after {
			delete(g.shared, f)
		}
	}
}
