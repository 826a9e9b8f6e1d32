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

// TestClosedIdleConnectionIsAskedAbout closes the idle connections, as a
// restart does, and looks at what AllowReconnect decides.
func TestClosedIdleConnectionIsAskedAbout(t *testing.T) {
	var served atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		echo(w, r)
		_, _ = io.WriteString(w, "x")
	}))
	defer server.Close()
	tgt := asTarget(server.Listener.Addr())
	c := newClient(t)
	asked := 0
	ask := func(allow bool) target.Outcome {
		s := search(tgt, 5*time.Second)
		s.AllowReconnect = func() bool { asked++; return allow }
		return c.Search(context.Background(), s)
	}
	if out := ask(false); out.Status != target.OK || asked != 0 {
		t.Fatalf("the first search: %+v, asked %d times", out, asked)
	}
	server.CloseClientConnections()
	for range 2 {
		out := ask(false)
		if out.Status != target.NotStarted || out.Reason != target.ReasonConnectionLost || !out.TargetDone {
			t.Errorf("got %+v", out)
		}
	}
	if asked != 2 || served.Load() != 1 {
		t.Errorf("asked %d times, %d searches served", asked, served.Load())
	}
	if out := ask(true); out.Status != target.OK {
		t.Errorf("when allowed: %+v", out)
	}
	if out := ask(false); out.Status != target.OK || asked != 3 {
		t.Errorf("after an answer: %+v, asked %d times", out, asked)
	}
}
