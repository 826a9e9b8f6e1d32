// Package quota keeps the rate of each workspace's requests within its quota over all
// gateways. The holder, which is the leader of control, has a token bucket for each
// workspace and hands out credits; a gateway spends one credit for each request. See
// docs/design/quotas.md for the argument that bounds the number of requests.
package quota

import (
	"time"

	"github.com/peridotmux/peridotmux/workspace"
)

// Instant is a point in time on one VM's clock, as the time since the clock's zero. The
// clock also counts the time during which the VM is suspended.
type Instant = time.Duration

const (
	// CreditLife is how long a gateway may spend its credits after it sent the last
	// report that the holder answered. It covers the loss of the leader for 2 s, a report interval
	// before it, and the time to find the next holder.
	CreditLife = 3000 * time.Millisecond
	// confirmLife is how long a holder goes on after the start of the last round in
	// which a majority confirmed that it leads.
	confirmLife = 500 * time.Millisecond
	// drift covers clocks that run at different rates during CreditLife and
	// confirmLife.
	drift = 50 * time.Millisecond
	// leftoverLife is how long after a change of leader the previous holder's credits
	// may be spent.
	leftoverLife = confirmLife + CreditLife + drift
	// startShare is the share of a workspace's budget that is kept for the start of the
	// next holder. The current holder has the rest.
	startShare = 0.2
	// usableSlack is the share of the allowed excess that the budget uses. The rest
	// covers clocks that run at different rates during a window.
	usableSlack = 0.95
	// urgentReserve is the number of tokens that the holder keeps for requests that
	// wait, rather than for gateways that want some in stock. With fewer tokens, more
	// than 1 in 1,000 random requests at 0.6 times the rate find none. What standbys keep
	// serves these requests, too, so that minReserve tokens are enough beside it.
	urgentReserve = 10
	minReserve    = 2
	// expireInterval is the time between two searches of a holder for expired sessions.
	// Until one is found, its credits only count for longer.
	expireInterval = 100 * time.Millisecond
	// maxRetryAfter bounds when a refused caller may retry.
	maxRetryAfter = 2 * time.Second
	// minRetryAfter is the shortest time after which a refused caller may retry.
	minRetryAfter = 20 * time.Millisecond
)

// Rules bound the requests of a workspace in any window: at most
// (rate Window + burst) (1 + Overage) + Slack.
type Rules struct {
	Window time.Duration
	// Overage is a share of the quota of a window, and Slack a number of requests.
	Overage, Slack float64
}

// Limit is the quota of a workspace: requests per second, and requests on top of that.
// A rate of 0 is no limit.
type Limit struct{ RatePerSecond, Burst float64 }

// LimitOf returns the limit of a workspace.
func LimitOf(w *workspace.Workspace) Limit {
	return Limit{RatePerSecond: w.RatePerSecond, Burst: w.Burst}
}

// perWindow returns the requests of a window that are within the quota.
func (r Rules) perWindow(l Limit) float64 { return l.RatePerSecond*r.Window.Seconds() + l.Burst }

// Bound returns the number of requests that a window may have.
func (r Rules) Bound(l Limit) float64 { return r.perWindow(l)*(1+r.Overage) + r.Slack }

// budget returns the tokens and unspent credits that all holders together may have at
// any moment.
func (r Rules) budget(l Limit) float64 {
	return l.Burst + usableSlack*(r.Overage*r.perWindow(l)+r.Slack)
}

// startTokens returns the part of the budget with which a new holder starts.
func (r Rules) startTokens(l Limit) float64 { return startShare * r.budget(l) }

// steadyTokens returns the part of the budget of a holder later on.
func (r Rules) steadyTokens(l Limit) float64 { return (1 - startShare) * r.budget(l) }

// Decision is whether a request may be sent.
type Decision struct {
	Admitted bool
	// Reason is why the request is refused.
	Reason Reason
	// RetryAfter is when the caller of a refused request may retry.
	RetryAfter time.Duration
}

// Reason is why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// ReasonExhausted means that the workspace has used its quota.
	ReasonExhausted Reason = "quota exhausted"
	// ReasonNoHolder means that no credits could be had in time.
	ReasonNoHolder Reason = "no quota granted in time"
)
