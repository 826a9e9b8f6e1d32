package forward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/discovery"
)

// A target gets nothing while it is cold, draining, in a quiet data centre, or in
// one whose return the list is too old to know.
func TestTargetsThatGetNothing(t *testing.T) {
	s := newStandin(t, "t1", "one")
	cold, draining := s.entry(), s.entry()
	cold.ColdUntil = time.Now().Add(300 * time.Millisecond)
	draining.Draining = true
	f := newFront(t, testTable(), cold)
	refused := func(what string) {
		t.Helper()
		if got := f.get("/one/x"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || len(s.requests()) != 0 {
			t.Fatalf("%s: status %d, %d requests", what, got.status, len(s.requests()))
		}
	}
	refused("cold")
	f.setTargets(draining)
	refused("draining")
	f.setTargets(s.entry())
	f.setQuiet("dc-a")
	refused("quiet")
	f.setQuiet()
	refused("returned, with an old list")
	time.Sleep(150 * time.Millisecond)
	f.setTargets(s.entry())
	if got := f.get("/one/x"); got.status != http.StatusOK {
		t.Fatalf("status %d after the return", got.status)
	}
}

// A target that may have restarted gets no request before its health answer says
// that it is warm, also if it kept its id and the list shows nothing.
func TestRestartedTargetIsAskedFirst(t *testing.T) {
	s := newStandin(t, "t1", "one")
	f := newFront(t, testTable(), s.entry())
	if got := f.get("/one/x"); got.status != http.StatusOK {
		t.Fatal(got.status)
	}
	s.mu.Lock()
	s.health = func(w net.Conn) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTarget: t1\r\nCold-Ms: 60000\r\nContent-Length: 0\r\n\r\n")
	}
	s.answer = func(c net.Conn, _ *http.Request, _ []byte, _ int) { _ = c.Close() }
	s.mu.Unlock()
	f.send(http.MethodPost, "/once/x", "", "lost", 1000)
	before := len(s.requests())
	b := f.fleet.byID["t1"]
	for _, x := range f.fleet.toCheck(time.Now()) {
		f.checker.check(t.Context(), x)
	}
	if got := f.get("/one/x"); got.status != http.StatusServiceUnavailable || len(s.requests()) != before {
		t.Fatalf("status %d, %d requests after a restart", got.status, len(s.requests())-before)
	}
	if b.doubted || time.Until(b.coldUntil()) < 50*time.Second {
		t.Fatalf("doubted %v, cold until %v", b.doubted, b.coldUntil())
	}
}

// Another target at the address means that the one named is gone.
func TestAddressUsedByAnotherTarget(t *testing.T) {
	s := newStandin(t, "t1", "one")
	s.answer = func(c net.Conn, r *http.Request, _ []byte, _ int) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Other\r\nReq-Id: %s\r\nNot-Run: other\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Req-Id"))
	}
	f := newFront(t, testTable(), s.entry())
	for range 3 {
		if got := f.get("/once/x"); got.status != http.StatusServiceUnavailable {
			t.Fatalf("status %d", got.status)
		}
	}
	if n := len(s.requests()); n != 1 {
		t.Fatalf("%d requests to another target's address", n)
	}
	born := s.entry()
	born.BornUnixMS = 5
	s.mu.Lock()
	s.answer = nil
	s.mu.Unlock()
	f.setTargets(born)
	if got := f.get("/once/x"); got.status != http.StatusOK {
		t.Fatalf("status %d for the target that the list names now", got.status)
	}
}

func TestEndOfAColdStart(t *testing.T) {
	now := time.Now()
	at := func(d time.Duration) time.Time { return now.Add(d) }
	for _, c := range []struct{ known, listed, want time.Time }{
		{time.Time{}, time.Time{}, time.Time{}},
		{time.Time{}, at(3 * time.Second), at(3 * time.Second)},
		{at(3 * time.Second), at(2600 * time.Millisecond), at(2600 * time.Millisecond)},
		{at(2600 * time.Millisecond), at(3 * time.Second), at(2600 * time.Millisecond)},
		{at(time.Second), at(4 * time.Second), at(4 * time.Second)},
		{at(time.Second), time.Time{}, time.Time{}},
	} {
		if got := laterCold(c.known, c.listed); !got.Equal(c.want) {
			t.Errorf("known %v, listed %v: %v, want %v", c.known, c.listed, got, c.want)
		}
	}
}

// The extra arrivals of all routers together stay within the limits in every
// window, also in a storm, and what is urgent finds room.
func TestBudgetOverAllRouters(t *testing.T) {
	const routers, slack = 8, 56
	limits := BudgetLimits{Ratio: 0.2, Slack: slack, Window: 10 * time.Second}
	var all [routers]*budget
	for i := range all {
		all[i] = newBudget(limits)
	}
	start := time.Unix(1000, 0)
	var requests, extra []time.Time
	for ms := range 60_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		b := all[ms%routers]
		if ms < 20_000 || ms%10 == 0 {
			b.request("s", now)
			requests = append(requests, now)
		}
		for range 2 {
			if b.take("s", routers, needed, now) {
				extra = append(extra, now)
			}
		}
	}
	in := func(times []time.Time, from time.Time) int {
		n := 0
		for _, x := range times {
			if !x.Before(from) && x.Before(from.Add(limits.Window)) {
				n++
			}
		}
		return n
	}
	for s := 0; s <= 50; s++ {
		from := start.Add(time.Duration(s) * time.Second)
		most := max(in(requests, from), in(requests, from.Add(-limits.Window/2)), in(requests, from.Add(-limits.Window)))
		if got := float64(in(extra, from)); got > limits.Ratio*float64(most)+slack {
			t.Fatalf("%v extra arrivals from second %d on, with %d requests", got, s, most)
		}
	}
	b := newBudget(limits)
	for range 1000 {
		b.request("s", start)
	}
	count := func(why urgency) int {
		n := 0
		for b.take("s", 1, why, start) {
			n++
		}
		return n
	}
	if a, c, d := count(early), count(useful), count(needed); a < 80 || c < 60 || d < 40 {
		t.Fatalf("room for %d early, %d useful, %d needed", a, c, d)
	}
}

func TestStatusNamesStatesAndReasons(t *testing.T) {
	a, b := newStandin(t, "t1", "one"), newStandin(t, "t2", "one")
	cold := b.entry()
	cold.ColdUntil = time.Now().Add(time.Minute)
	other := a.entry()
	other.ID, other.DataCentre = "t3", "dc-b"
	f := newFront(t, testTable(), a.entry(), cold, other)
	f.setQuiet("dc-b")
	var out strings.Builder
	f.WriteStatus(&out)
	for _, want := range []string{"version 1", "t1", "usable", "cold", "quiet"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, out.String())
		}
	}
}

// Where routers are many, a router keeps to the targets that it is connected to.
func TestScarceConnectionsAreReused(t *testing.T) {
	var targets []*standin
	var entries []discovery.Target
	for i := range 3 {
		s := newStandin(t, fmt.Sprint("t", i), "one")
		targets = append(targets, s)
		entries = append(entries, s.entry())
	}
	f := newFront(t, testTable(), entries...)
	f.fleet.mu.Lock()
	f.fleet.routers = 40
	f.fleet.limitConnections()
	f.fleet.mu.Unlock()
	for i := range 50 {
		f.send(http.MethodGet, "/one/x", "", fmt.Sprint(i), 1000)
	}
	conns := 0
	for _, s := range targets {
		s.mu.Lock()
		conns += s.conns
		s.mu.Unlock()
	}
	if conns > 2 {
		t.Fatalf("%d connections for 50 requests in a row", conns)
	}
}

// A target that resets connections beyond its limit, at once or while one is
// made, hasn't restarted: it is used again soon and over what is open.
func TestTargetWithTooManyConnectionsIsNotDoubted(t *testing.T) {
	s := newStandin(t, "t1", "one")
	s.answer = func(c net.Conn, r *http.Request, _ []byte, n int) {
		if n == 1 {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			return
		}
		s.ok(c, r, "ok")
	}
	f := newFront(t, testTable(), s.entry())
	if got := f.get("/one/x"); got.status == http.StatusOK {
		t.Fatal("answered over a reset connection")
	}
	b := f.fleet.byID["t1"]
	if b.doubted || !b.full(time.Now()) {
		t.Fatalf("doubted %v, full %v", b.doubted, b.full(time.Now()))
	}
	if b.full(time.Now().Add(crowdedTime)) {
		t.Fatal("still full later")
	}
	reset := Outcome{Verdict: NotRun, OverConnectionLimit: true}
	b.learn(&reset, time.Millisecond, time.Now())
	if b.doubted {
		t.Fatal("doubted after a connection that was reset while it was made")
	}
}

// Where the targets that are left can't take a connection of every router, idle
// ones end at once.
func TestIdleConnectionsEndWhereTheyAreShort(t *testing.T) {
	a, b := newStandin(t, "t1", "one"), newStandin(t, "t2", "one")
	drained := b.entry()
	f := newFront(t, testTable(), a.entry(), b.entry())
	f.fleet.routers = 30
	backends := f.fleet.byService["one"]
	if got := f.fleet.lastIdle("one", backends, time.Now()); got != lastIdleTime {
		t.Fatalf("%v with two targets of 40 connections for 30 routers", got)
	}
	drained.Draining = true
	f.setTargets(a.entry(), drained)
	f.fleet.routers = 30
	if got := f.fleet.lastIdle("one", f.fleet.byService["one"], time.Now()); got != shortIdleTime {
		t.Fatalf("%v with one target of 40 connections for 30 routers", got)
	}
}
