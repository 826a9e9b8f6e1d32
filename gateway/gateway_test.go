package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/board/records"
	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/forward"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/telemetry"
)

var testHeaders = forward.HeaderNames{
	RequestID: "Req-Id", TimeLeftMS: "Left-Ms", Signature: "Sig", ExpectTarget: "For-Target", Load: "Load",
	NotRun: "Not-Run", RetryAfter: "Retry-After", PartSignatures: "Parts", MissingParts: "Missing", TargetID: "Target", ColdLeftMS: "Cold-Ms",
}

// ledger records the requests that a target ran and those that were answered.
type ledger struct {
	mu            sync.Mutex
	ran, answered map[string]bool
}

func (l *ledger) add(set map[string]bool, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	set[id] = true
}

// startServer returns a server that forwards to one target, which takes some time for a
// request.
func startServer(t *testing.T, l *ledger, serviceTime time.Duration) *forward.Server {
	t.Helper()
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Req-Id")
		l.add(l.ran, id)
		time.Sleep(serviceTime)
		w.Header().Set("Req-Id", id)
		w.Header().Set("Sig", "s")
		_, _ = io.WriteString(w, id)
	}))
	t.Cleanup(target.Close)
	table := &route.Table{
		Version:  1,
		Services: map[route.ServiceName]route.Service{"one": {Name: "one", HealthPath: "/health", MaxConnections: 100}},
		Routes: []route.Route{{
			Name: "one", Host: "h", Prefix: "/", Kind: route.NonIdempotent, TimeLimit: 2 * time.Second, Objective: time.Second,
			Attempts: 1, Split: []route.WeightedService{{Service: "one", Weight: 1}},
		}},
		Limits: route.Limits{BodyBytes: 1 << 20},
	}
	if err := table.Index(); err != nil {
		t.Fatal(err)
	}
	b, list := board.New(), discovery.NewInventory()
	b.Update(func(v *board.View) {
		*v = *records.EmptyView()
		v.Routes = &board.RouteDocument{Version: 1, Index: 1}
	})
	list.Replace([]discovery.Target{{
		ID: "t", Service: "one", DataCentre: "dc", Slots: 100, Addr: netip.MustParseAddrPort(strings.TrimPrefix(target.URL, "http://")),
	}}, time.Now())
	s := forward.New(forward.Config{
		Headers: testHeaders, VM: "gateway", DataCentre: "dc", Board: b, Inventory: list,
		Decode: func([]byte) (*route.Table, error) { return table, nil },
		Budget: forward.BudgetLimits{Ratio: 0.2, Slack: 10, Window: 10 * time.Second},
		Log:    slog.New(slog.DiscardHandler), Metrics: &telemetry.Forward{},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Run(ctx)
	for deadline := time.Now().Add(5 * time.Second); !s.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not ready")
		}
	}
	return s
}

// During a planned stop under load, with callers that keep using their connections
// and open new ones until the listener is closed, every request that reached the
// target must be answered, and the process must be free to end within the grace time.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	l := &ledger{ran: make(map[string]bool), answered: make(map[string]bool)}
	g := &Gateway{
		cfg: Config{Settings: &settings.Gateway{Grace: 2 * time.Second}}, log: slog.New(slog.DiscardHandler), server: startServer(t, l, 60*time.Millisecond),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	front := &http.Server{Handler: g.server, ReadHeaderTimeout: time.Second, ConnContext: forward.ConnContext, ConnState: forward.ConnState}
	go func() { _ = front.Serve(g.server.Listener(listener)) }()
	stopped := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Go(func() { callUntil(stopped, l, "http://"+listener.Addr().String(), i) })
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	if err := g.shutdown(front); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the stop took %v, more than the grace time", took)
	}
	close(stopped)
	callers.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.ran {
		if !l.answered[id] {
			t.Errorf("request %s reached the target and was cut off", id)
		}
	}
	if len(l.answered) < 24 {
		t.Errorf("only %d requests were answered", len(l.answered))
	}
}

// callUntil sends requests one after the other until stopped is closed. Callers with
// an odd number open a connection for each.
func callUntil(stopped <-chan struct{}, l *ledger, url string, caller int) {
	transport := &http.Transport{DisableKeepAlives: caller%2 == 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
	for n := 0; ; n++ {
		select {
		case <-stopped:
			return
		default:
		}
		id := fmt.Sprint(caller, "-", n)
		r, _ := http.NewRequest(http.MethodPost, url+"/x", strings.NewReader("order")) // A valid address.
		r.Host = "h"
		r.Header.Set("Req-Id", id)
		r.Header.Set("Left-Ms", "2000")
		resp, err := client.Do(r)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil && string(body) == id {
			l.add(l.answered, id)
		}
	}
}

// Guards against requests that are cut without an answer at the end of the grace time:
// those still in progress must get one, and those that come too late to be answered must
// be refused without running, also if they started to arrive before the stop.
func TestStopAnswersWhatItCannotFinish(t *testing.T) {
	l := &ledger{ran: make(map[string]bool), answered: make(map[string]bool)}
	g := &Gateway{
		cfg: Config{Settings: &settings.Gateway{Grace: 2 * time.Second}}, log: slog.New(slog.DiscardHandler), server: startServer(t, l, 4*time.Second),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	front := &http.Server{Handler: g.server, ReadHeaderTimeout: 5 * time.Second, ConnContext: forward.ConnContext, ConnState: forward.ConnState}
	go func() { _ = front.Serve(g.server.Listener(listener)) }()
	var callers sync.WaitGroup
	status := func(id string, bodyAfter time.Duration, want int) {
		callers.Go(func() {
			c, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nLeft-Ms: 2000\r\nContent-Length: 5\r\n\r\nor", id)
			time.Sleep(bodyAfter)
			_, _ = io.WriteString(c, "der")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Errorf("request %s got no answer: %v", id, err)
				return
			}
			_ = resp.Body.Close()
			if resp.StatusCode != want {
				t.Errorf("request %s got %d, want %d", id, resp.StatusCode, want)
			}
		})
	}
	status("early", 0, http.StatusBadGateway)
	status("late", 1200*time.Millisecond, http.StatusServiceUnavailable)
	time.Sleep(200 * time.Millisecond)
	if err := g.shutdown(front); err != nil {
		t.Fatal(err)
	}
	// The process ends now.
	_ = front.Close()
	callers.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ran["early"] || l.ran["late"] {
		t.Errorf("ran: %v", l.ran)
	}
}

// Background work that doesn't end must not delay the end of the process.
func TestWaitAtMost(t *testing.T) {
	var wg sync.WaitGroup
	release := make(chan struct{})
	wg.Go(func() { <-release })
	began := time.Now()
	waitAtMost(&wg, 20*time.Millisecond)
	if took := time.Since(began); took < 20*time.Millisecond || took > time.Second {
		t.Errorf("waited %v", took)
	}
	close(release)
	waitAtMost(&wg, 5*time.Second)
}
