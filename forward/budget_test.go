package forward

import (
	"testing"
	"time"
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

// The extra arrivals of all routers together stay within the limits in every
// window, even if every request needs some, and each urgency finds room.
func TestBudgetOverAllRouters(t *testing.T) {
	const routers, slack = 8, 56
	limits := BudgetLimits{Ratio: 0.2, Slack: slack, Window: 10 * time.Second}
	start := time.Unix(1000, 0)
	var all [routers]*budget
	for i := range all {
		all[i] = newBudget(limits, start.Add(-limits.Window))
	}
	var requests, extra []time.Time
	for ms := range 60_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		b := all[ms%routers]
		if ms < 20_000 || ms%10 == 0 {
			b.recordRequest("s", now)
			requests = append(requests, now)
		}
		for range 2 {
			if b.tryAcquire("s", 1/float64(routers), urgencyHigh, now) {
				extra = append(extra, now)
			}
		}
	}
	checkExtra(t, limits, requests, extra)
	b := newBudget(limits, start.Add(-limits.Window))
	for range 1000 {
		b.recordRequest("s", start)
	}
	count := func(level urgency) int {
		n := 0
		for b.tryAcquire("s", 1, level, start) {
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
	const routers = 8
	limits := BudgetLimits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	start := time.Unix(1000, 0)
	var all [routers]*budget
	for i := range all {
		all[i] = newBudget(limits, start.Add(-limits.Window))
	}
	var requests, extra []time.Time
	for ms := range 40_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms == 15_000 {
			for i := range all {
				all[i] = newBudget(limits, now)
			}
		}
		b := all[ms%routers]
		if ms%100 < routers {
			b.recordRequest("s", now)
			requests = append(requests, now)
		}
		if b.tryAcquire("s", 1/float64(routers), urgencyHigh, now) {
			extra = append(extra, now)
		}
	}
	checkExtra(t, limits, requests, extra)
}
