package forward

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/internal/connpool"
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

// A request that the target's host doesn't acknowledge must go to another target soon,
// without using up an attempt, and the silent target must get no more requests.
func TestUnacknowledgedRequestGoesElsewhere(t *testing.T) {
	s, dark, good := startDarkPair(t, 1)
	time.AfterFunc(20*time.Millisecond, func() { s.setTargets(dark.entry(), good.entry()) })
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

// A request that isn't idempotent may have run although nothing was acknowledged, so
// it must not be sent again.
func TestUnacknowledgedRequestThatMustNotRepeat(t *testing.T) {
	s, dark, good := startDarkPair(t, 2)
	time.AfterFunc(20*time.Millisecond, func() { s.setTargets(dark.entry(), good.entry()) })
	if got := s.send(http.MethodPost, "/once/x", "b", "r1", 2000); got.status != http.StatusBadGateway {
		t.Fatalf("status %d", got.status)
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
