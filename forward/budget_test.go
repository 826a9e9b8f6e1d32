package forward

import (
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/board/records"
	"github.com/peridotmux/peridotmux/discovery"
)

// checkExtra fails the test if extra arrivals at a service exceed the limits in a window.
func checkExtra(t *testing.T, limits BudgetLimits, requests, extra []time.Time) {
	t.Helper()
	in := func(times []time.Time, from time.Time) int {
		n := 0
		for _, x := range times {
			if !x.Before(from) && x.Before(from.Add(limits.Window)) {
				n++
			}
		}
		return n
	}
	first, last := requests[0], requests[len(requests)-1]
	for from := first; from.Before(last.Add(-limits.Window)); from = from.Add(100 * time.Millisecond) {
		most := max(in(requests, from), in(requests, from.Add(-limits.Window/2)), in(requests, from.Add(-limits.Window)))
		if got := float64(in(extra, from)); got > limits.Ratio*float64(most)+limits.Slack {
			t.Fatalf("%v extra arrivals from %v on, with %d requests", got, from.Sub(first), most)
		}
	}
}

// budgetPlay plays the requests and extra arrivals of routers at one service, one router
// after the other.
type budgetPlay struct {
	limits          BudgetLimits
	start           time.Time
	budgets         []*budget
	requests, extra []time.Time
}

// newBudgetPlay returns routers that started more than a window ago.
func newBudgetPlay(routers int) *budgetPlay {
	p := &budgetPlay{
		limits: BudgetLimits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second},
		start:  time.Unix(1000, 0), budgets: make([]*budget, routers),
	}
	p.restart(p.start.Add(-p.limits.Window))
	return p
}

// restart starts all routers at a time.
func (p *budgetPlay) restart(at time.Time) {
	for i := range p.budgets {
		p.budgets[i] = newBudget(p.limits, at)
	}
}

// step plays the millisecond ms after the start: at one router a request, if there is
// one, and some tries of an extra arrival.
func (p *budgetPlay) step(ms int, request bool, tries int) {
	now := p.start.Add(time.Duration(ms) * time.Millisecond)
	b := p.budgets[ms%len(p.budgets)]
	if request {
		b.recordRequest("s", now)
		p.requests = append(p.requests, now)
	}
	for range tries {
		if b.tryAcquire("s", 1/float64(len(p.budgets)), urgencyHigh, now) {
			p.extra = append(p.extra, now)
		}
	}
}

// The extra arrivals of all routers together stay within the limits in every
// window, even if every request needs some, and each urgency finds room.
func TestBudgetOverAllRouters(t *testing.T) {
	p := newBudgetPlay(8)
	for ms := range 60_000 {
		p.step(ms, ms < 20_000 || ms%10 == 0, 2)
	}
	checkExtra(t, p.limits, p.requests, p.extra)
	b := newBudget(p.limits, p.start.Add(-p.limits.Window))
	for range 1000 {
		b.recordRequest("s", p.start)
	}
	count := func(level urgency) int {
		n := 0
		for b.tryAcquire("s", 1, level, p.start) {
			n++
		}
		return n
	}
	if a, c, d := count(urgencyLow), count(urgencyMedium), count(urgencyHigh); a < 80 || c < 60 || d < 40 {
		t.Fatalf("room for %d of low, %d of medium, %d of high urgency", a, c, d)
	}
}

// Guards against processes that have the whole slack again after a restart: the earlier
// ones on their VMs may have used it just before.
func TestBudgetOverRestarts(t *testing.T) {
	const routers, restartMS = 8, 15_000
	p := newBudgetPlay(routers)
	for ms := range 40_000 {
		if ms == restartMS {
			p.restart(p.start.Add(restartMS * time.Millisecond))
		}
		p.step(ms, ms%100 < routers, 1)
	}
	checkExtra(t, p.limits, p.requests, p.extra)
}

// Guards against shares of the budget that grow as soon as control loses sight of some
// routers: those that are only cut off go on with their old share.
func TestBudgetShareOfAnOldView(t *testing.T) {
	const routers, cutOff = 12, 6
	now := time.Now()
	withRouters := func(f *fleet, n int, at time.Time) {
		v := records.EmptyView()
		for i := range n {
			v.Routers[gatewayName(i)] = gatewayRouter(i)
		}
		f.update(&discovery.List{}, v, testTable(), at)
	}
	var fleets []*fleet
	for i := range routers {
		f := newFleet(gatewayName(i), "dc-a", 0, nil)
		withRouters(f, routers, now)
		if i >= cutOff {
			withRouters(f, routers-cutOff, now)
		}
		fleets = append(fleets, f)
	}
	sum := func(at time.Time) float64 {
		total := 0.0
		for _, f := range fleets {
			total += f.budgetShare("one", at)
		}
		return total
	}
	if got := sum(now.Add(recentTime - time.Second)); got > 1+1e-9 {
		t.Errorf("the routers claim %.2f times the budget", got)
	}
	// Later, those in sight may use what the others had.
	if got := fleets[cutOff].budgetShare("one", now.Add(recentTime)); got < 1.0/(routers-cutOff)-1e-9 {
		t.Errorf("a router's share is %.3f long after the others left", got)
	}
}

func TestRecentMost(t *testing.T) {
	start := time.Unix(1000, 0)
	var r recentMost
	for _, c := range []struct {
		after time.Duration
		// count is added unless it is 0.
		count, want int
	}{
		{0, 0, 1},
		{0, 12, 12},
		{time.Second, 6, 12},
		{10 * time.Second, 8, 12},
		{time.Minute, 0, 12},
		{61 * time.Second, 0, 8},
		{62 * time.Second, 4, 8},
		{63 * time.Second, 9, 9},
		{64 * time.Second, 3, 9},
		{124 * time.Second, 0, 3},
	} {
		now := start.Add(c.after)
		if c.count > 0 {
			r.add(c.count, now)
		}
		if got := r.at(now); got != c.want {
			t.Errorf("after %v: %d, want %d", c.after, got, c.want)
		}
	}
}
