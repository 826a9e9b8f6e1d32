package forward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/ratelimit"
)

// A malformed limit must neither limit a target nor end the limit that it has.
func TestParseLimit(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   targetLimit
	}{
		{nil, targetLimit{notice: limitNone}},
		{[]string{"0.5"}, targetLimit{notice: limitStated, perSecond: 0.5}},
		{[]string{"0"}, targetLimit{notice: limitStated}},
		{[]string{"-1"}, targetLimit{}},
		{[]string{"NaN"}, targetLimit{}},
		{[]string{"Inf"}, targetLimit{}},
		{[]string{""}, targetLimit{}},
		{[]string{"1", "2"}, targetLimit{}},
	} {
		if got := parseLimit(c.values); got != c.want {
			t.Errorf("%q: %+v, want %+v", c.values, got, c.want)
		}
	}
}

// The log must say since when a target limits its requests, once for each change.
func TestLimitsAreLogged(t *testing.T) {
	target := newFakeTarget(t, "t", "one")
	f := newTestServer(t, testTable(), target.entry())
	for _, lines := range []string{"", "Limit: 1000\r\n", "Limit: 1001\r\n", "Limit: 2000\r\n", "Limit: x\r\n", "", ""} {
		target.mu.Lock()
		target.answer = respond(http.StatusOK, lines)
		target.mu.Unlock()
		if got := f.get("/one/x"); got.status != http.StatusOK {
			t.Fatalf("status %d", got.status)
		}
	}
	if n := strings.Count(f.lines(), msgLimited); n != 2 {
		t.Errorf("%d lines about a limit, want 2", n)
	}
	if n := strings.Count(f.lines(), msgUnlimited); n != 1 {
		t.Errorf("%d lines about its end, want 1", n)
	}
}

// Guards against more requests at a target than one and a half times the limit it named.
func TestTargetGetsNoMoreThanTheLimitItNames(t *testing.T) {
	limited := newFakeTarget(t, "limited", "one")
	limited.answer = respond(http.StatusOK, "Limit: 4\r\n")
	f := newTestServer(t, testTable(), limited.entry())
	start := time.Now()
	for i := range 200 {
		got := f.send(http.MethodGet, "/one/x", "", fmt.Sprint(i), 2000)
		if got.status != http.StatusOK && (got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "") {
			t.Fatalf("status %d, %v", got.status, got.header)
		}
		time.Sleep(10 * time.Millisecond)
	}
	allowed := 1.5*4*time.Since(start).Seconds() + 5
	if n := len(limited.requests()); float64(n) > allowed || n < 2 {
		t.Errorf("%d requests at a target that takes 4 a second, %.0f allowed", n, allowed)
	}
}

// exchangeLimits passes what the server reports of limits to a leader, and tells it the
// leader's state, until the test ends.
func (f *testServer) exchangeLimits() {
	hub := ratelimit.NewHub()
	tick := time.NewTicker(50 * time.Millisecond)
	done := f.t.Context().Done()
	go func() {
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			if report := f.fleet.limits.Report(); report != nil {
				hub.Add(report, time.Now())
			}
			f.fleet.limits.Apply(hub.State(time.Now()))
		}
	}()
}

// If the limits of all shards' targets don't suffice, queries must be refused before
// anything of them is sent, so that the others get all of their parts.
func TestQueriesAreRefusedWholeAtLimitedShards(t *testing.T) {
	const shards, perSecond = 6, 30
	names, targets, entries := startShards(t, shards)
	for i, s := range targets {
		s.answer = func(c net.Conn, r *http.Request, _ []byte, _ int) {
			body := partBody(i / 2)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nReq-Id: %s\r\nSig: sig-%s-%s\r\nLimit: %d\r\nContent-Length: %d\r\n\r\n%s",
				r.Header.Get("Req-Id"), s.id, r.Header.Get("Req-Id"), perSecond/2, len(body), body)
		}
	}
	table := testTable(names...)
	table.Routes[2].Gather.MinCoverage = 1
	f := newTestServer(t, table, entries...)
	f.exchangeLimits()
	count := func(d time.Duration) (answered, refused, failed int) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(8 * time.Millisecond) {
			switch got := f.send(http.MethodGet, "/all/x", "", fmt.Sprint(time.Now().UnixNano()), 2000); {
			case got.status == http.StatusOK:
				answered++
			case got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "":
				refused++
			default:
				failed++
			}
		}
		return answered, refused, failed
	}
	count(6 * time.Second)
	answered, refused, failed := count(4 * time.Second)
	t.Logf("%d answered, %d refused before they were sent, %d failed", answered, refused, failed)
	if answered < 4*perSecond/2 || failed > answered/5 {
		t.Errorf("%d answered, %d failed: most parts are wasted", answered, failed)
	}
}
