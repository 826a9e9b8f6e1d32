package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// backOffGrace is the time after a target's 503 with Retry-After within which the
	// gateway's requests may still reach it, and maxUnderWay how many may later.
	backOffGrace = 500 * time.Millisecond
	maxUnderWay  = 2
)

// entry is the gateway that a caller sent a request to. sender is whether this gateway
// also sends it to targets; it doesn't where gateways divide requests among them.
type entry struct {
	gateway int
	sender  bool
	sentAt  time.Time
	// ended means that the caller has an answer or left.
	ended bool
}

// link is a gateway's use of a target.
type link struct {
	gateway int
	target  string
}

// backOff is one answer of a target that asked a gateway for no requests until a time.
type backOff struct {
	// id is that of the request that was answered.
	id                string
	answeredAt, until time.Time
	// late are the requests since backOffGrace after the answer, for the report.
	late []string
}

// notices records what targets said about their own future, and checks what reaches them
// afterwards. Its methods may be called concurrently.
type notices struct {
	mu      sync.Mutex
	entries map[string]entry
	// leaving holds the responses in which a target said that it leaves, by the target
	// and the request's id, and passedOn when a gateway first passed one on.
	leaving  map[[2]string]bool
	passedOn map[link]time.Time
	backOffs map[link][]*backOff
	// leftChecks and backOffChecks count the arrivals that could have been violations.
	leftChecks, backOffChecks int
}

func newNotices() *notices {
	return &notices{
		entries: map[string]entry{}, leaving: map[[2]string]bool{}, passedOn: map[link]time.Time{}, backOffs: map[link][]*backOff{},
	}
}

// addEntry records that a caller sends a request now.
func (n *notices) addEntry(id string, gateway int, sender bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entries[id] = entry{gateway: gateway, sender: sender, sentAt: time.Now()}
}

// endEntry records that the caller of a request has an answer or left.
func (n *notices) endEntry(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.entries[id]
	e.ended = true
	n.entries[id] = e
}

// addLeaving records that a target says that it leaves, in its response to a request.
func (n *notices) addLeaving(target, id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving[[2]string{target, id}] = true
}

// addPassedOn records that the caller of a request has a target's response.
func (n *notices) addPassedOn(target, id string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.entries[id]
	l := link{e.gateway, target}
	if _, known := n.passedOn[l]; e.sender && !known && n.leaving[[2]string{target, id}] {
		n.passedOn[l] = now
	}
}

// addBackOff records that a target answers a request by asking for none for a time. A
// gateway ends its attempts once the caller has left, as after it was frozen for longer
// than callers wait, so that it doesn't read such an answer.
func (n *notices) addBackOff(target, id string, d time.Duration, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e, known := n.entries[id]; known && e.sender && !e.ended {
		l := link{e.gateway, target}
		n.backOffs[l] = append(n.backOffs[l], &backOff{id: id, answeredAt: now, until: now.Add(d)})
	}
}

// arrive records that a request reached a target, and returns the violations. excused
// reports whether a disruption since a time explains that the gateway doesn't know what
// the target said; restarted reports the same of a restart of the gateway only.
func (n *notices) arrive(target, id string, now time.Time, excused, restarted func(gateway int, since time.Time) bool) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	e, known := n.entries[id]
	if !known || !e.sender {
		return nil
	}
	l := link{e.gateway, target}
	var out []string
	if at, left := n.passedOn[l]; left {
		n.leftChecks++
		if late := e.sentAt.Sub(at); late > drainTime && !restarted(e.gateway, at) {
			out = append(out, fmt.Sprintf("request %s of gateway %d reached %s, sent %v after the gateway passed on that it leaves", id, e.gateway, target, late))
		}
	}
	for _, b := range n.backOffs[l] {
		if now.Before(b.answeredAt.Add(backOffGrace)) || now.After(b.until) {
			continue
		}
		n.backOffChecks++
		if excused(e.gateway, b.answeredAt) {
			continue
		}
		b.late = append(b.late, fmt.Sprintf("%s after %v", id, now.Sub(b.answeredAt)))
		if len(b.late) == maxUnderWay+1 {
			out = append(out, fmt.Sprintf("requests %s of gateway %d reached %s, which asked for none for %v in its answer to %s",
				strings.Join(b.late, ", "), e.gateway, target, b.until.Sub(b.answeredAt), b.id))
		}
	}
	return out
}
