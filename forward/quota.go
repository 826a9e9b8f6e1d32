package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/peridotmux/peridotmux/quota"
	"github.com/peridotmux/peridotmux/workspace"
)

const (
	// quotaWaitDivisor is the part of a request's objective that it may wait for its
	// workspace's quota: one in quotaWaitDivisor.
	quotaWaitDivisor = 2
	// minQuotaWait leaves time for a round trip to the holder if the objective is short.
	minQuotaWait = 20 * time.Millisecond
)

// Quota decides which requests are within the quotas of their workspaces. A request that
// is admitted counts, whether it is sent or not.
type Quota interface {
	// Admit decides on one request at now. It may wait until the deadline of ctx.
	Admit(ctx context.Context, w *workspace.Workspace, now time.Time) quota.Decision
}

// admitQuota returns a refusal if the request is not within the quota of its workspace.
// It is called once for each request of a caller.
func (s *Server) admitQuota(ctx context.Context, req *request, now time.Time) *refusal {
	w := req.workspace
	if s.cfg.Quota == nil || w == nil || !w.Limited() {
		return nil
	}
	until := now.Add(max(req.route.Objective/quotaWaitDivisor, minQuotaWait))
	d := s.cfg.Quota.Admit(waitContext{Context: ctx, until: until}, w, now)
	if d.Admitted {
		return nil
	}
	return &refusal{status: http.StatusTooManyRequests, reason: reason(d.Reason), retryAfter: d.RetryAfter}
}

// waitContext is a context with a deadline of its own. Unlike one of package context, it
// needs no timer: only requests that wait start one.
type waitContext struct {
	context.Context
	until time.Time
}

// Deadline implements context.Context.
func (c waitContext) Deadline() (time.Time, bool) { return c.until, true }
