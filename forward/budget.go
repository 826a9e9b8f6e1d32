package forward

import (
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/route"
)

// BudgetLimits bound the extra arrivals at a service from all routers together.
// Extra arrivals are the requests that retries and hedges add to the first attempt
// of each caller's request.
type BudgetLimits struct {
	// Ratio is the maximum ratio of extra arrivals to callers' requests in a
	// window.
	Ratio float64
	// Slack is the number of extra arrivals allowed in a window on top of the
	// ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// budgetBuckets is the number of buckets that a window is divided into.
	budgetBuckets = 20
	// ratioFactor and slackFactor are the fractions of the limits that routers use.
	// The rest is a margin, since a request may arrive at its target in a later
	// window than the one in which it was sent.
	ratioFactor = 0.95
	slackFactor = 0.8
)

// urgency is how much a request needs an extra arrival.
type urgency uint8

// The urgencies. Each may use the budget up to its budgetShare.
const (
	// urgencyLow is for hedging a request that may still be answered in time
	// without.
	urgencyLow urgency = iota
	// urgencyMedium is for a request that wouldn't be answered in time without the
	// extra arrival.
	urgencyMedium
	// urgencyHigh is for a request that would fail without the extra arrival.
	urgencyHigh
)

// budgetShare returns the fraction of the budget up to which an urgency may use it,
// so that higher urgencies find some left.
func (u urgency) budgetShare() float64 {
	switch u {
	case urgencyLow:
		return 0.4
	case urgencyMedium:
		return 0.75
	default:
		return 1
	}
}

// budget counts a router's requests and extra arrivals for each service. Each
// router applies the ratio to its own requests and uses its share of the slack,
// so that all routers together keep the limits without coordination. It is safe for
// concurrent use.
type budget struct {
	limits BudgetLimits
	// started is when this process started. Times are counted from it by the steady
	// clock, since the time of day may jump.
	started time.Time

	mu       sync.Mutex
	services map[route.ServiceName]*usage
}

// usage holds the counts of one service in rings of buckets. The requests cover two
// windows. The extra arrivals have one bucket more than a window, so that they
// cover a whole window at any time.
type usage struct {
	bucket   int64
	requests [2 * budgetBuckets]float64
	extra    [budgetBuckets + 1]float64
}

func newBudget(l BudgetLimits, started time.Time) *budget {
	return &budget{limits: l, started: started, services: make(map[route.ServiceName]*usage)}
}

// bucketAt returns the number of the bucket for a time.
func (b *budget) bucketAt(now time.Time) int64 {
	return int64(now.Sub(b.started) / (b.limits.Window / budgetBuckets))
}

// usage returns the counts of a service, advanced to now. b.mu must be held.
func (b *budget) usage(s route.ServiceName, now time.Time) *usage {
	u := b.services[s]
	if u == nil {
		u = &usage{bucket: b.bucketAt(now)}
		b.services[s] = u
	}
	u.advance(b.bucketAt(now))
	return u
}

// advance clears the buckets between the last one used and the current one.
func (u *usage) advance(to int64) {
	if to-u.bucket >= int64(len(u.requests)) {
		u.requests, u.extra = [2 * budgetBuckets]float64{}, [budgetBuckets + 1]float64{}
		u.bucket = to
		return
	}
	for u.bucket < to {
		u.bucket++
		u.requests[u.bucket%int64(len(u.requests))] = 0
		u.extra[u.bucket%(budgetBuckets+1)] = 0
	}
}

// recordRequest counts a caller's request for a service.
func (b *budget) recordRequest(s route.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(s, now)
	u.requests[u.bucket%int64(len(u.requests))]++
}

// recordRequests counts a caller's request for several services.
func (b *budget) recordRequests(services []route.ServiceName, now time.Time) {
	for _, s := range services {
		b.recordRequest(s, now)
	}
}

// slackFactorAt returns the fraction of its slack that a router uses. In the first window
// after its start it is the margin that routers otherwise leave: an earlier process on
// the same VM may have used the rest just before it ended.
func (b *budget) slackFactorAt(now time.Time) float64 {
	if now.Sub(b.started) < b.limits.Window {
		return 1 - slackFactor
	}
	return slackFactor
}

// tryAcquire counts one extra arrival and returns true if the budget has room for
// it. share is the fraction of all routers' slack that this one may use.
func (b *budget) tryAcquire(s route.ServiceName, share float64, level urgency, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(s, now)
	slack := b.limits.Slack * b.slackFactorAt(now) * share
	room := b.limits.Ratio*ratioFactor*u.maxRequests() + slack
	if u.spent()+1 > room*level.budgetShare() {
		return false
	}
	u.extra[u.bucket%(budgetBuckets+1)]++
	return true
}

// spent returns the number of extra arrivals in the current window.
func (u *usage) spent() float64 {
	sum := 0.0
	for _, n := range u.extra {
		sum += n
	}
	return sum
}

// maxRequests returns the number of requests in the current window or in the one
// before it, whichever is greater.
func (u *usage) maxRequests() float64 {
	var current, previous float64
	for i := range int64(budgetBuckets) {
		current += u.requests[(u.bucket-i+2*budgetBuckets)%(2*budgetBuckets)]
		previous += u.requests[(u.bucket-i+budgetBuckets)%(2*budgetBuckets)]
	}
	return max(current, previous)
}
