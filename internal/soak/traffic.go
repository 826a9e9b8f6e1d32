package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// The limits that the gateways' settings and the routes state.
const (
	// maxAttempts is the number of targets that may run one request to a service.
	maxAttempts = 2
	// budgetRatio, budgetSlack and budgetWindow bound the arrivals beyond the first of
	// each request.
	budgetRatio  = 0.2
	budgetSlack  = 56
	budgetWindow = 10 * time.Second
)

// arrival is one request that reached a target. ran is whether the target ran it.
type arrival struct {
	id, target string
	at         time.Time
	ran        bool
}

// traffic records what callers sent and what reached the targets. Its methods may be
// called concurrently.
type traffic struct {
	mu sync.Mutex
	// sent holds the times of callers' requests, and arrivals what reached the targets,
	// by service.
	sent     map[string][]time.Time
	arrivals map[string][]arrival
}

func newTraffic() *traffic {
	return &traffic{sent: map[string][]time.Time{}, arrivals: map[string][]arrival{}}
}

// addSentAt records a caller's request to services that was sent at a time.
func (t *traffic) addSentAt(services []string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range services {
		t.sent[s] = append(t.sent[s], at)
	}
}

func (t *traffic) addArrival(service, id, target string, ran bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals[service] = append(t.arrivals[service], arrival{id: id, target: target, at: time.Now(), ran: ran})
}

// violations returns the requests that ran at too many targets, and for each service the
// window with the most arrivals beyond the budget.
func (t *traffic) violations() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for service, arrivals := range t.arrivals {
		slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
		out = append(out, overAttempts(service, arrivals)...)
		if text := overBudget(service, t.sent[service], arrivals); text != "" {
			out = append(out, text)
		}
	}
	return out
}

// overAttempts returns the requests that ran at more targets than a route allows.
func overAttempts(service string, arrivals []arrival) []string {
	targets := map[string][]string{}
	var out []string
	for _, a := range arrivals {
		if !a.ran || slices.Contains(targets[a.id], a.target) {
			continue
		}
		targets[a.id] = append(targets[a.id], a.target)
		if len(targets[a.id]) == maxAttempts+1 {
			out = append(out, fmt.Sprintf("request %s to %s ran at %v, %d allowed", a.id, service, targets[a.id], maxAttempts))
		}
	}
	return out
}

// overBudget describes the worst window in which a service got more arrivals beyond the
// first of each request than allowed, "" if there is none. arrivals are sorted by time.
func overBudget(service string, sent []time.Time, arrivals []arrival) string {
	known := map[string]bool{}
	var extra []time.Time
	worst, text := 0.0, ""
	for _, a := range arrivals {
		if !known[a.id] {
			known[a.id] = true
			continue
		}
		extra = append(extra, a.at)
		got := countWithin(extra, a.at)
		requests := max(countWithin(sent, a.at), countWithin(sent, a.at.Add(-budgetWindow/2)), countWithin(sent, a.at.Add(-budgetWindow)))
		if over := float64(got) - budgetRatio*float64(requests) - budgetSlack; over > worst {
			worst = over
			text = fmt.Sprintf("%s got %d extra arrivals within %v before %s, with %d requests",
				service, got, budgetWindow, a.at.Format("15:04:05.000"), requests)
		}
	}
	return text
}

// countWithin returns how many of some times lie in the window that ends at end.
func countWithin(times []time.Time, end time.Time) int {
	n := 0
	for i := len(times) - 1; i >= 0; i-- {
		if !times[i].After(end) && times[i].After(end.Add(-budgetWindow)) {
			n++
		}
	}
	return n
}
