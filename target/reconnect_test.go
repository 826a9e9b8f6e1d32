package target_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/target"
)

// TestAllowReconnectDecidesAfterIdleClose guards against a search that reaches a
// restarted target without permission. It closes the idle connections, as a
// restart does, and checks that AllowReconnect is called before a new connection,
// and no longer once the target has answered.
func TestAllowReconnectDecidesAfterIdleClose(t *testing.T) {
	var served atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		echo(w, r)
		_, _ = io.WriteString(w, "x")
	}))
	defer server.Close()
	tgt := asTarget(server.Listener.Addr())
	c := newClient(t)
	calls := 0
	searchWith := func(allow bool) target.Outcome {
		s := search(tgt, 5*time.Second)
		s.AllowReconnect = func() bool { calls++; return allow }
		return c.Search(context.Background(), s)
	}
	if out := searchWith(false); out.Status != target.OK || calls != 0 {
		t.Fatalf("first search: %+v, AllowReconnect called %d times", out, calls)
	}
	server.CloseClientConnections()
	for range 2 {
		out := searchWith(false)
		if out.Status != target.NotStarted || out.Reason != target.ReasonConnectionLost || !out.TargetDone {
			t.Errorf("got %+v", out)
		}
	}
	if calls != 2 || served.Load() != 1 {
		t.Errorf("AllowReconnect called %d times, %d searches served", calls, served.Load())
	}
	if out := searchWith(true); out.Status != target.OK {
		t.Errorf("when allowed: %+v", out)
	}
	if out := searchWith(false); out.Status != target.OK || calls != 3 {
		t.Errorf("after an answer: %+v, AllowReconnect called %d times", out, calls)
	}
}
