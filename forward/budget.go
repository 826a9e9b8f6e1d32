package forward

import (
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/route"
)

// BudgetLimits bound the extra arrivals at a service, of all routers together.
type BudgetLimits struct {
	// Ratio is the share of extra arrivals among a window's requests.
	Ratio float64
	// Slack is the number of extra arrivals that a window may have besides.
	Slack float64
	// Window is the length of the window, which slides.
	Window time.Duration
}

const (
	// budgetBuckets divide a window.
	budgetBuckets = 20
	// ratioShare and slackShare are the parts of the limits that routers use, since
	// not every arrival at a target falls into the window in which it was sent.
	ratioShare = 0.95
	slackShare = 0.8
)

// urgency says what an extra arrival is worth to its request.
type urgency uint8

// The urgencies, each with its share of the room.
const (
	// early betters an answer that may still come in time without it.
	early urgency = iota
	// useful betters an answer that wouldn't come in time without it.
	useful
	// needed keeps a request from failing.
	needed
)

// share returns the part of the room up to which an urgency may be spent, so that
// the more urgent find some left.
func (u urgency) share() float64 {
	switch u {
	case early:
		return 0.4
	case useful:
		return 0.75
	default:
		return 1
	}
}

// budget counts a router's requests and extra arrivals for each service. Each
// router keeps to the ratio of its own requests and to its part of the slack, so
// that all together keep the limits without asking each other.
type budget struct {
	limits BudgetLimits

	mu       sync.Mutex
	services map[route.ServiceName]*usage
}

// usage holds the counts of one service in a ring of buckets. The extra arrivals
// have one bucket more, so that they cover a whole window at any moment.
type usage struct {
	bucket   int64
	requests [2 * budgetBuckets]float64
	extra    [budgetBuckets + 1]float64
}

func newBudget(l BudgetLimits) *budget {
	return &budget{limits: l, services: make(map[route.ServiceName]*usage)}
}

func (b *budget) at(now time.Time) int64 {
	return now.UnixNano() / int64(b.limits.Window/budgetBuckets)
}

func (b *budget) usage(s route.ServiceName, now time.Time) *usage {
	u := b.services[s]
	if u == nil {
		u = &usage{bucket: b.at(now)}
		b.services[s] = u
	}
	u.advance(b.at(now))
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

// request counts a caller's request for a service.
func (b *budget) request(s route.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(s, now)
	u.requests[u.bucket%int64(len(u.requests))]++
}

// take counts one extra arrival if the budget has room, with the slack divided
// among the given number of routers.
func (b *budget) take(s route.ServiceName, routers int, why urgency, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(s, now)
	slack := b.limits.Slack * slackShare / float64(max(routers, 1))
	room := b.limits.Ratio*ratioShare*u.busiest() + slack
	if u.spent()+1 > room*why.share() {
		return false
	}
	u.extra[u.bucket%(budgetBuckets+1)]++
	return true
}

func (u *usage) spent() float64 {
	sum := 0.0
	for _, n := range u.extra {
		sum += n
	}
	return sum
}

// busiest returns the requests of the current window or of the one before it,
// whichever has more.
func (u *usage) busiest() float64 {
	var current, before float64
	for i := range int64(budgetBuckets) {
		current += u.requests[(u.bucket-i+2*budgetBuckets)%(2*budgetBuckets)]
		before += u.requests[(u.bucket-i+budgetBuckets)%(2*budgetBuckets)]
	}
	return max(current, before)
}
