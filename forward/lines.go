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

// The messages of lines about requests. Each has the attribute "request".
const (
	lineChosen   = "target chosen"
	lineEnded    = "attempt ended"
	lineDenied   = "extra arrival denied"
	lineNoTarget = "no usable target"
	lineAnswered = "request answered"
	lineRefused  = "request refused"
	lineGivenUp  = "request given up"
	lineLeftOut  = "request lines left out"
)

const (
	// sampleEvery is the share of untroubled requests whose lines are written:
	// one in so many.
	sampleEvery = 128
	// tracedPerSecond and tracedBurst bound the requests whose lines are written.
	tracedPerSecond = 30
	tracedBurst     = 60
	// maxDecisions bounds what is kept of one request.
	maxDecisions = 256
	// stepsBesides is about the number of steps besides first attempts.
	stepsBesides = 16
	// leftOutInterval is the time between two lines about requests without lines.
	leftOutInterval = time.Second
)

// decision is one step on a request's way.
type decision struct {
	line    string
	at      time.Time
	service route.ServiceName
	target  string
	hedge   bool
	// seen is what the choice rested on, nil for other steps, and cost what it came
	// to.
	seen *candidate
	cost time.Duration
	// outcome is how an attempt ended, nil for other steps.
	outcome *Outcome
}

// trail collects a request's decisions until it is known whether they are of
// interest.
type trail struct {
	mu        sync.Mutex
	decisions []decision
	closed    bool
}

func (t *trail) add(d decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed && len(t.decisions) < maxDecisions {
		t.decisions = append(t.decisions, d)
	}
}

// expect makes room for the steps of that many attempts.
func (t *trail) expect(attempts int) {
	t.decisions = make([]decision, 0, min(2*attempts+stepsBesides, maxDecisions))
}

// close returns the decisions; later ones are dropped.
func (t *trail) close() []decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	return t.decisions
}

// lineWriter writes the lines of requests, within bounds.
type lineWriter struct {
	log     *slog.Logger
	limit   *rate.Limiter
	leftOut atomic.Uint64
	told    atomic.Int64
}

func newLineWriter(log *slog.Logger) *lineWriter {
	return &lineWriter{log: log, limit: rate.NewLimiter(tracedPerSecond, tracedBurst)}
}

// wanted reports whether a request's lines are written: those of troubled
// requests up to a bound, and those of a sample. A request has all of its lines
// or none.
func (w *lineWriter) wanted(id string, troubled bool) bool {
	if !troubled && xxhash.Sum64String(id)%sampleEvery != 0 {
		return false
	}
	if w.limit.Allow() {
		return true
	}
	w.leftOut.Add(1)
	now := time.Now()
	told := w.told.Load()
	if now.UnixNano()-told > int64(leftOutInterval) && w.told.CompareAndSwap(told, now.UnixNano()) {
		w.log.Warn(lineLeftOut, "requests", w.leftOut.Load())
	}
	return false
}

// write writes a request's decisions.
func (w *lineWriter) write(q *request, decisions []decision) {
	for i := range decisions {
		d := &decisions[i]
		attrs := []any{"request", q.id, "after", d.at.Sub(q.received), "service", string(d.service)}
		switch d.line {
		case lineChosen:
			attrs = append(attrs, "target", d.target, "hedge", d.hedge, "cost", d.cost, "in_flight", d.seen.inflight,
				"oldest", d.seen.oldest, "load_running", d.seen.load.Running, "load_waiting", d.seen.load.Waiting,
				"load_age", d.seen.loadAge, "slowness", d.seen.slowness, "failing", d.seen.failing, "shared", d.seen.shared,
				"local", d.seen.local)
		case lineEnded:
			attrs = append(attrs, "target", d.target, "hedge", d.hedge, "verdict", d.outcome.Verdict.String(),
				"status", d.outcome.Status, "took", d.outcome.ServiceTime, "given_up", d.outcome.Cancelled, "error", d.outcome.Cause)
		}
		w.log.Info(d.line, attrs...)
	}
}
