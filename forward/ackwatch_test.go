package forward

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/internal/connpool"
	"github.com/peridotmux/peridotmux/route"
)

// startDarkPair starts a server with two targets of one service. The host of the first
// one acknowledges nothing, and its process never answers.
func startDarkPair(t *testing.T, attempts int) (s *testServer, dark, good *fakeTarget) {
	t.Helper()
	dark, good = newFakeTarget(t, "dark", "one"), newFakeTarget(t, "good", "one")
	dark.answer = func(net.Conn, *http.Request, []byte, int) { time.Sleep(3 * time.Second) }
	dark.health = func(net.Conn) { time.Sleep(3 * time.Second) }
	table := testTable()
	for i := range table.Routes {
		table.Routes[i].Attempts = attempts
	}
	s = newTestServer(t, table, dark.entry())
	s.unacked = func(c *connpool.Conn) bool { return c.Net.RemoteAddr().String() == dark.addr.String() }
	return s, dark, good
}

// addOnceAsked adds a target as soon as another one has got a request, so that a slow
// machine doesn't add it before.
func addOnceAsked(s *testServer, first, added *fakeTarget) {
	go func() {
		for len(first.requests()) == 0 && s.t.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		s.setTargets(first.entry(), added.entry())
	}()
}

// A request that the target's host doesn't acknowledge must go to another target soon,
// and the silent target must get no more requests.
func TestUnacknowledgedRequestGoesElsewhere(t *testing.T) {
	s, dark, good := startDarkPair(t, 2)
	addOnceAsked(s, dark, good)
	start := time.Now()
	if got := s.send(http.MethodGet, "/one/x", "", "r1", 2000); got.status != http.StatusOK || time.Since(start) > 300*time.Millisecond {
		t.Fatalf("status %d after %v", got.status, time.Since(start))
	}
	for range 5 {
		if got := s.send(http.MethodGet, "/one/x", "", "r2", 2000); got.status != http.StatusOK {
			t.Fatalf("status %d", got.status)
		}
	}
	if n := len(dark.requests()); n != 1 {
		t.Errorf("the silent target got %d requests", n)
	}
}

// Guards against attempts that don't count as runs because their bytes weren't
// acknowledged in time. On a busy machine most are delivered all the same, and a request
// then ran at more targets than its route allows. The answer of one must still be used.
func TestUnacknowledgedAttemptCountsAsRun(t *testing.T) {
	for _, attempts := range []int{1, 2} {
		var targets []*fakeTarget
		var entries []discovery.Target
		for _, id := range []string{"t1", "t2", "t3", "t4"} {
			x := newFakeTarget(t, id, "one")
			x.answer = func(c net.Conn, r *http.Request, _ []byte, _ int) {
				time.Sleep(6 * ackTime)
				x.ok(c, r, "late")
			}
			targets, entries = append(targets, x), append(entries, x.entry())
		}
		table := testTable()
		for i := range table.Routes {
			table.Routes[i].Attempts = attempts
		}
		s := newTestServer(t, table, entries...)
		s.unacked = func(*connpool.Conn) bool { return true }
		got := s.send(http.MethodGet, "/one/x", "", "r1", 2000)
		if got.status != http.StatusOK || got.body != "late" {
			t.Errorf("%d attempts: status %d, body %q", attempts, got.status, got.body)
		}
		runs := 0
		for _, x := range targets {
			runs += len(x.requests())
		}
		if runs > attempts {
			t.Errorf("%d attempts: ran at %d targets", attempts, runs)
		}
	}
}

// A target that answered another request since isn't silent, whatever its host has still
// to acknowledge, so it must not be left.
func TestTargetHeardOfIsNotSilent(t *testing.T) {
	x := newFakeTarget(t, "t1", "one")
	s := newTestServer(t, testTable(), x.entry())
	f := s.fleet
	b := f.byID["t1"]
	sent := time.Now()
	f.finish(&selection{backend: b}, &Outcome{Verdict: Answered, Status: http.StatusOK}, sent.Add(time.Millisecond))
	if f.markSilent(b, sent) {
		t.Error("a target that answered after the sending counts as silent")
	}
	if !f.markSilent(b, sent.Add(2*time.Millisecond)) {
		t.Error("a target that answered nothing since the sending doesn't count as silent")
	}
}

// A request that isn't idempotent may have run although nothing was acknowledged, so
// it must not be sent again, and the answer must be waited for.
func TestUnacknowledgedRequestThatMustNotRepeat(t *testing.T) {
	s, dark, good := startDarkPair(t, 2)
	dark.answer = func(c net.Conn, r *http.Request, _ []byte, _ int) {
		time.Sleep(6 * ackTime)
		dark.ok(c, r, "late")
	}
	addOnceAsked(s, dark, good)
	if got := s.send(http.MethodPost, "/once/x", "b", "r1", 2000); got.status != http.StatusOK || got.body != "late" {
		t.Fatalf("status %d, body %q", got.status, got.body)
	}
	if n := len(good.requests()); n != 0 {
		t.Errorf("sent again to %d targets", n)
	}
}

// A target that takes long but whose host acknowledged the request must be waited for.
func TestAcknowledgedRequestIsAwaited(t *testing.T) {
	slow := newFakeTarget(t, "slow", "one")
	slow.answer = func(c net.Conn, r *http.Request, _ []byte, _ int) {
		time.Sleep(4 * ackTime)
		slow.ok(c, r, "late")
	}
	s := newTestServer(t, testTable(), slow.entry())
	if got := s.send(http.MethodGet, "/one/x", "", "r1", 2000); got.status != http.StatusOK || got.body != "late" {
		t.Fatalf("status %d, body %q", got.status, got.body)
	}
}

// Guards against a shard that waits for a busy target, since its first one is silent, and
// is asked again although the silent one answered meanwhile.
func TestAnswerOfSilentTargetEndsWait(t *testing.T) {
	x := newFakeTarget(t, "t1", "one")
	s := newTestServer(t, testTable(), x.entry())
	req := &request{
		id: "r", method: http.MethodGet, table: testTable(), received: time.Now(), deadline: time.Now().Add(time.Second),
		route: &route.Route{Kind: route.Idempotent, Attempts: 2, Gather: &route.Gather{Shards: []route.ServiceName{"one", "two"}, TopK: 1}},
	}
	g := s.newGathering(req)
	c := &call{server: s.Server, req: req, service: "one", attempts: 2, inFlight: 1, silent: 1, waiting: true, sendStates: []*sendState{{}}}
	g.calls[0] = c
	g.handleResult(context.Background(), &result{
		shard: 0, backend: s.fleet.byID["t1"], sendState: c.sendStates[0],
		outcome: Outcome{Verdict: Answered, Status: http.StatusOK, Header: http.Header{testHeaders.Signature: {"s"}}},
	})
	g.retryWaiting(context.Background())
	if g.received != 1 || c.pending() || len(c.tried) != 0 {
		t.Errorf("%d parts, pending %v, asked %d targets again", g.received, c.pending(), len(c.tried))
	}
}
