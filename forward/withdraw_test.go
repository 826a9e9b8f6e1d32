package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/discovery"
)

// delayConnections makes connections to a target take most of connectTimeout.
func (f *testServer) delayConnections(slow *fakeTarget) {
	f.fleet.dialer.ControlContext = func(_ context.Context, _, addr string, _ syscall.RawConn) error {
		if addr == slow.addr.String() {
			time.Sleep(connectTimeout * 8 / 10)
		}
		return nil
	}
}

// A target from which an attempt was withdrawn while it connected must be used if the
// hedge that replaced it fails.
func TestWithdrawnTargetIsUsedAfterFailedHedge(t *testing.T) {
	slow, bad := newFakeTarget(t, "slow-to-connect", "one"), newFakeTarget(t, "bad", "one")
	bad.answer = func(c net.Conn, _ *http.Request, _ []byte, _ int) { _, _ = io.WriteString(c, "no response\r\n\r\n") }
	f := newTestServer(t, testTable(), slow.entry(), bad.entry())
	f.delayConnections(slow)
	f.fleet.byID["bad"].failureRate, f.fleet.byID["bad"].failureRateAt = 0.9, time.Now()
	got := f.get("/one/x")
	if got.status != http.StatusOK || len(bad.requests()) != 1 || len(slow.requests()) != 1 {
		t.Fatalf("status %d, %d requests at the failing target, %d at the other", got.status, len(bad.requests()), len(slow.requests()))
	}
}

// Guards against a request that spends its last run on the target whose kept connection
// was garbled, while its attempt at the healthy one is being withdrawn: it failed, and a
// gather lacked the part.
func TestWithdrawnTargetIsPreferredToGarbledOne(t *testing.T) {
	slow, bad := newFakeTarget(t, "slow-to-connect", "one"), newFakeTarget(t, "bad", "one")
	bad.answer = func(c net.Conn, r *http.Request, _ []byte, n int) {
		if n > 1 {
			_, _ = io.WriteString(c, "no response\r\n\r\n")
			return
		}
		bad.ok(c, r, "warm")
	}
	f := newTestServer(t, testTable(), bad.entry())
	f.get("/one/x")
	f.setTargets(slow.entry(), bad.entry())
	f.delayConnections(slow)
	f.fleet.byID["bad"].failureRate, f.fleet.byID["bad"].failureRateAt = 0.9, time.Now()
	got := f.get("/one/x")
	if runs := len(bad.requests()) - 1; got.status != http.StatusOK || runs != 1 || len(slow.requests()) != 1 {
		t.Fatalf("status %d, %d requests at the garbled target, %d at the other", got.status, runs, len(slow.requests()))
	}
}

// A non-idempotent request that a target may have run must not be sent again when an
// earlier attempt, withdrawn while it connected, ends.
func TestWithdrawnAttemptCausesNoSecondRun(t *testing.T) {
	for _, withOther := range []bool{false, true} {
		slow, lossy, other := newFakeTarget(t, "slow-to-connect", "one"), newFakeTarget(t, "lossy", "one"), newFakeTarget(t, "other", "one")
		lossy.answer = func(c net.Conn, _ *http.Request, _ []byte, _ int) { _ = c.Close() }
		entries := []discovery.Target{slow.entry(), lossy.entry()}
		if withOther {
			entries = append(entries, other.entry())
		}
		f := newTestServer(t, testTable(), entries...)
		f.delayConnections(slow)
		f.fleet.byID["lossy"].failureRate, f.fleet.byID["lossy"].failureRateAt = 0.5, time.Now()
		if withOther {
			f.fleet.byID["other"].failureRate, f.fleet.byID["other"].failureRateAt = 0.9, time.Now()
		}
		got := f.send(http.MethodPost, "/once/x", "order", "id-1", 2000)
		time.Sleep(connectTimeout)
		runs := len(slow.requests()) + len(lossy.requests()) + len(other.requests())
		if got.status != http.StatusBadGateway || runs != 1 {
			t.Errorf("with a third target %v: status %d, %d runs", withOther, got.status, runs)
		}
	}
}
