package forward

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/peridotmux/peridotmux/internal/connpool"
	"github.com/peridotmux/peridotmux/internal/response"
)

const (
	// checkInterval is the time between two searches for suspect targets and for
	// attempts that have been in flight for too long.
	checkInterval = 20 * time.Millisecond
	// maxHealthBytes bounds the body of a health response.
	maxHealthBytes = 64 << 10
	// checkTimeout bounds one health check.
	checkTimeout = 500 * time.Millisecond
	// recheckInterval is the minimum time between two health checks of one target.
	recheckInterval = 250 * time.Millisecond
	// unreachableRecheckInterval is the minimum time between two health checks of
	// an unreachable target. It is extended for every routersPerRecheck routers.
	unreachableRecheckInterval = time.Second
)

// health is the result of a health check.
type health struct {
	// reached means that the target responded. Otherwise cause is the error.
	reached bool
	// id is the target ID in the response, empty if it has none.
	id      string
	healthy bool
	// busy means that the target didn't run the health check.
	busy bool
	// coldUntil is the end of the target's cold start, zero if it is warm.
	coldUntil time.Time
	// leaving means that the target is about to stop.
	leaving bool
	cause   error
}

// healthChecker checks the health of suspect and silent targets, so that a target that
// restarted gets no requests until its cold start has ended.
type healthChecker struct {
	fleet   *fleet
	headers *HeaderNames
	log     *slog.Logger
}

// run checks targets until ctx ends.
func (hc *healthChecker) run(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		hc.fleet.reportOverdue(now)
		for _, b := range hc.fleet.dueChecks(now) {
			go hc.check(ctx, b)
		}
	}
}

// dueChecks returns the suspect and silent targets whose health check is due and marks them as
// being checked. One whose address another target uses stays out of use until the list
// names it anew, so that no check can help.
func (f *fleet) dueChecks(now time.Time) []*backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*backend
	for _, b := range f.byID {
		if !b.suspect && !b.silent || b.replaced || b.leaving || b.checking || b.target.Draining || b.nextCheckAt.After(now) || !f.rollouts.admits(b, now) {
			continue
		}
		b.checking = true
		out = append(out, b)
	}
	return out
}

// check runs one health check, applies its result and logs it.
func (hc *healthChecker) check(ctx context.Context, b *backend) {
	h := hc.query(ctx, b)
	hc.fleet.recordHealth(b, &h, time.Now())
	hc.log.Info("target checked", "target", string(b.id), "service", string(b.service),
		"reached", h.reached, "healthy", h.healthy, "busy", h.busy, "id", h.id, "cold_until", h.coldUntil, "error", h.cause)
}

// recordHealth applies the result of a health check.
func (f *fleet) recordHealth(b *backend, h *health, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b.checking = false
	if !h.reached {
		b.nextCheckAt = now.Add(unreachableRecheckInterval * time.Duration(1+f.routers/routersPerRecheck))
		return
	}
	b.nextCheckAt = now.Add(recheckInterval)
	b.silent = false
	if h.id != "" && h.id != string(b.id) {
		b.replaced = true
		return
	}
	if h.leaving {
		b.markLeaving()
		return
	}
	b.healthColdUntil = h.coldUntil
	if h.busy && h.id == "" {
		return
	}
	b.unhealthy = !h.healthy && !h.busy
	b.suspect = false
	b.pool.SetRestartSuspected(false)
}

// routersPerRecheck is the number of routers that may check one unreachable target
// within one unreachableRecheckInterval.
const routersPerRecheck = 16

// query requests a target's health over a pooled connection.
func (hc *healthChecker) query(ctx context.Context, b *backend) health {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	c, err := b.pool.Get(ctx, nil)
	if err != nil {
		return health{cause: err}
	}
	h, reusable := hc.exchange(ctx, c, b)
	if reusable {
		c.Put()
	} else {
		c.Close()
	}
	return h
}

// exchange performs a health request over c and reports whether c can be reused.
func (hc *healthChecker) exchange(ctx context.Context, c *connpool.Conn, b *backend) (health, bool) {
	deadline, _ := ctx.Deadline()
	if err := c.Net.SetDeadline(deadline); err != nil {
		return health{cause: err}, false
	}
	out := append(c.RequestBuffer[:0], "GET "+hc.fleet.healthPath(b)+" HTTP/1.1\r\n"...)
	out = appendHeader(out, "Host", b.pool.Host())
	out = append(out, "\r\n"...)
	c.KeepRequestBuffer(out)
	if _, err := c.Net.Write(out); err != nil {
		return health{cause: err}, false
	}
	resp, _, err := response.Read(c, http.MethodGet, response.Limits{HeadBytes: maxResponseHeadBytes, BodyBytes: maxHealthBytes})
	if err != nil {
		return health{cause: err}, false
	}
	if resp.Header.Get(hc.headers.RequestID) != "" {
		return health{cause: &ProtocolError{Reason: "a request's response to a health check"}}, false
	}
	applyKeepAlive(c, resp)
	return hc.parse(resp, time.Now()), !resp.Close && c.Reader.Buffered() == 0
}

func (hc *healthChecker) parse(resp *http.Response, now time.Time) health {
	h := health{
		reached: true, id: resp.Header.Get(hc.headers.TargetID),
		healthy: resp.StatusCode == http.StatusOK, busy: resp.Header.Get(hc.headers.NotRun) != "",
		leaving: isLeaving(resp.Header, hc.headers),
	}
	left, err := strconv.ParseFloat(resp.Header.Get(hc.headers.ColdLeftMS), 64)
	if err == nil && left > 0 {
		h.coldUntil = now.Add(time.Duration(left * float64(time.Millisecond)))
	}
	return h
}

// healthPath returns the path of a target's health check.
func (f *fleet) healthPath(b *backend) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table != nil {
		if s, ok := f.table.Services[b.service]; ok && s.HealthPath != "" {
			return s.HealthPath
		}
	}
	return "/health"
}
