package forward

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/peridotmux/peridotmux/route"
)

// The messages of log lines about requests. All but msgSuppressed and those about targets
// have the attribute "request".
const (
	msgTargetChosen = "target chosen"
	msgAttemptEnded = "attempt ended"
	msgTargetSilent = "target silent"
	msgExtraDenied  = "extra arrival denied"
	msgNoCapacity   = "attempt not made at a scarce service"
	msgNoTarget     = "no usable target"
	msgAnswered     = "request answered"
	msgRefused      = "request refused"
	msgGivenUp      = "request given up"
	msgResumed      = "request held after a pause"
	msgSuppressed   = "request lines left out"
	msgTargetsLost  = "targets lost under a request"
	msgStanding     = "request's standing changed"

	// About targets.
	msgLeaving   = "target is leaving"
	msgLimited   = "target limits its requests"
	msgUnlimited = "target no longer limits its requests"

	// Of requests whose shards other routers ask.
	msgHandedOver    = "shards handed over"
	msgPartsReceived = "parts received"
	msgHelperFailed  = "helper failed"
	msgPartsServed   = "parts served"
)

const (
	// sampleEvery is the sampling rate of requests without problems: one in
	// sampleEvery is logged.
	sampleEvery = 128
	// loggedPerSecond and loggedBurst bound the requests that are logged.
	loggedPerSecond = 30
	loggedBurst     = 60
	// maxDecisions bounds the decisions kept of one request.
	maxDecisions = 256
	// extraDecisions is the approximate number of decisions besides those for first
	// attempts.
	extraDecisions = 16
	// suppressedInterval is the minimum time between two reports of requests left
	// out.
	suppressedInterval = time.Second
)

// decision is one logged step of handling a request.
type decision struct {
	msg     string
	at      time.Time
	service route.ServiceName
	target  string
	hedge   bool
	// candidate holds the inputs of the choice and cost its result; candidate is
	// nil for other steps.
	candidate *candidate
	cost      time.Duration
	// outcome is how an attempt ended, nil for other steps.
	outcome *Outcome
	// shards is the number of shards handed over to another router, whether that may
	// repeat them, how long it took, and how it failed and what followed.
	shards int
	repeat bool
	took   time.Duration
	cause  error
	step   handOverStep
	// waiting means that the request waits for a busy target.
	waiting bool
	// missing describes the shards of which the other router got no part.
	missing []string
}

// requestTrace collects a request's decisions until it is known whether they are
// logged. It is safe for concurrent use.
type requestTrace struct {
	mu        sync.Mutex
	decisions []decision
	closed    bool
}

func (t *requestTrace) add(d decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed && len(t.decisions) < maxDecisions {
		t.decisions = append(t.decisions, d)
	}
}

// reserve allocates space for the decisions of the given number of attempts.
func (t *requestTrace) reserve(attempts int) {
	t.decisions = make([]decision, 0, min(2*attempts+extraDecisions, maxDecisions))
}

// close returns the decisions. Later ones are dropped.
func (t *requestTrace) close() []decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	return t.decisions
}

// requestLogger writes the log lines of requests, sampled and rate limited.
type requestLogger struct {
	log   *slog.Logger
	limit *rate.Limiter
	// suppressed counts the requests left out by the rate limit.
	suppressed atomic.Uint64
	// reportedAt is when they were last reported, in Unix nanoseconds.
	reportedAt atomic.Int64
}

func newRequestLogger(log *slog.Logger) *requestLogger {
	return &requestLogger{log: log, limit: rate.NewLimiter(loggedPerSecond, loggedBurst)}
}

// shouldLog reports whether a request is logged: requests with problems and a
// sample of the others, up to the rate limit. Either all lines of a request are
// written or none.
func (w *requestLogger) shouldLog(id string, problem bool) bool {
	if !problem && xxhash.Sum64String(id)%sampleEvery != 0 {
		return false
	}
	if w.limit.Allow() {
		return true
	}
	w.suppressed.Add(1)
	now := time.Now()
	reportedAt := w.reportedAt.Load()
	if now.UnixNano()-reportedAt > int64(suppressedInterval) && w.reportedAt.CompareAndSwap(reportedAt, now.UnixNano()) {
		w.log.Warn(msgSuppressed, "requests", w.suppressed.Load())
	}
	return false
}

// write logs a request's decisions.
func (w *requestLogger) write(req *request, decisions []decision) {
	for i := range decisions {
		d := &decisions[i]
		attrs := []any{"request", req.id, "after", d.at.Sub(req.received)}
		if d.service != "" {
			attrs = append(attrs, "service", string(d.service))
		}
		switch d.msg {
		case msgNoTarget:
			attrs = append(attrs, "waiting", d.waiting)
		case msgTargetSilent:
			attrs = append(attrs, "target", d.target)
		case msgHandedOver:
			attrs = append(attrs, "helper", d.target, "shards", d.shards, "repeat", d.repeat)
		case msgPartsReceived:
			attrs = append(attrs, "helper", d.target, "shards", d.shards, "took", d.took, "lacking", d.missing)
		case msgHelperFailed:
			attrs = append(attrs, "helper", d.target, "shards", d.shards, "took", d.took, "error", d.cause, "then", d.step.String())
		case msgTargetChosen:
			attrs = append(attrs, "target", d.target, "hedge", d.hedge, "cost", d.cost, "in_flight", d.candidate.inFlight,
				"oldest", d.candidate.oldest, "load_running", d.candidate.load.Running, "load_waiting", d.candidate.load.Waiting,
				"load_age", d.candidate.loadAge, "slowness", d.candidate.slowness, "failing", d.candidate.failureRate, "shared", d.candidate.usesShared,
				"local", d.candidate.sameDataCentre)
		case msgAttemptEnded:
			attrs = append(attrs, "target", d.target, "hedge", d.hedge, "verdict", d.outcome.Verdict.String(),
				"status", d.outcome.Status, "took", d.outcome.ServiceTime, "given_up", d.outcome.Cancelled, "error", d.outcome.Cause)
		}
		w.log.Info(d.msg, attrs...)
	}
}
