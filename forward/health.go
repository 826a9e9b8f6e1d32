package forward

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/peridotmux/peridotmux/internal/connpool"
)

const (
	// checkInterval is the time between two looks at doubted targets, and at attempts
	// that are out for too long.
	checkInterval = 20 * time.Millisecond
	// checkTimeout bounds one question for a target's health.
	checkTimeout = 500 * time.Millisecond
	// checkAgain is the least time between two questions to one target.
	checkAgain = 250 * time.Millisecond
	// goneAgain is the least time between two questions to a target that can't
	// be reached.
	goneAgain = time.Second
)

// health is what a target's health answer says.
type health struct {
	reached   bool
	id        string
	healthy   bool
	busy      bool
	coldUntil time.Time
	cause     error
}

// checker asks doubted targets for their health, so that one that restarted
// gets no work before it is known to be warm.
type checker struct {
	fleet   *fleet
	dialect *HeaderNames
	log     *slog.Logger
}

func (k *checker) run(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		k.fleet.reportOverdue(now)
		for _, b := range k.fleet.toCheck(now) {
			go k.check(ctx, b)
		}
	}
}

// toCheck lists the doubted targets whose health is to be asked for now.
func (f *fleet) toCheck(now time.Time) []*backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*backend
	for _, b := range f.byID {
		if !b.doubted || b.checking || b.target.Draining || b.checkAt.After(now) {
			continue
		}
		b.checking = true
		out = append(out, b)
	}
	return out
}

func (k *checker) check(ctx context.Context, b *backend) {
	h := k.ask(ctx, b)
	k.fleet.checked(b, &h, time.Now())
	k.log.Info("target checked", "target", string(b.target.ID), "service", string(b.target.Service),
		"reached", h.reached, "healthy", h.healthy, "busy", h.busy, "id", h.id, "cold_until", h.coldUntil, "error", h.cause)
}

// checked takes in a health answer.
func (f *fleet) checked(b *backend, h *health, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b.checking = false
	if !h.reached {
		b.checkAt = now.Add(goneAgain * time.Duration(1+f.routers/routersPerCheck))
		return
	}
	b.checkAt = now.Add(checkAgain)
	if h.id != "" && h.id != string(b.target.ID) {
		b.gone = true
		return
	}
	b.healthCold = h.coldUntil
	if h.busy && h.id == "" {
		return
	}
	b.unhealthy = !h.healthy && !h.busy
	b.doubted = false
	b.pool.SetRestartSuspected(false)
}

// routersPerCheck is the number of routers that may ask one target that is away
// in the same second.
const routersPerCheck = 16

func (k *checker) ask(ctx context.Context, b *backend) health {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	c, err := b.pool.Get(ctx, nil)
	if err != nil {
		return health{cause: err}
	}
	h, reusable := k.exchange(ctx, c, b)
	if reusable {
		c.Put()
	} else {
		c.Close()
	}
	return h
}

func (k *checker) exchange(ctx context.Context, c *connpool.Conn, b *backend) (health, bool) {
	deadline, _ := ctx.Deadline()
	if err := c.Net.SetDeadline(deadline); err != nil {
		return health{cause: err}, false
	}
	out := append(c.RequestBuffer[:0], "GET "+k.fleet.healthPath(b)+" HTTP/1.1\r\n"...)
	out = appendHeader(out, "Host", b.pool.Host())
	out = append(out, "\r\n"...)
	c.KeepRequestBuffer(out)
	if _, err := c.Net.Write(out); err != nil {
		return health{cause: err}, false
	}
	c.LimitedReader.N = maxAnswerHead
	resp, _, err := readAnswer(c, http.MethodGet)
	if err != nil {
		return health{cause: err}, false
	}
	noteKeepAlive(c, resp)
	return k.parse(resp, time.Now()), !resp.Close && c.Reader.Buffered() == 0
}

func (k *checker) parse(resp *http.Response, now time.Time) health {
	h := health{
		reached: true, id: resp.Header.Get(k.dialect.TargetID),
		healthy: resp.StatusCode == http.StatusOK, busy: resp.Header.Get(k.dialect.NotRun) != "",
	}
	left, err := strconv.ParseFloat(resp.Header.Get(k.dialect.ColdLeftMS), 64)
	if err == nil && left > 0 {
		h.coldUntil = now.Add(time.Duration(left * float64(time.Millisecond)))
	}
	return h
}

func (f *fleet) healthPath(b *backend) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table != nil {
		if s, ok := f.table.Services[b.target.Service]; ok && s.HealthPath != "" {
			return s.HealthPath
		}
	}
	return "/health"
}
