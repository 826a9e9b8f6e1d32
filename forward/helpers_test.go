package forward

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/board/records"
	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/telemetry"
	"github.com/peridotmux/peridotmux/topology"
)

// testHeaders has names of its own, so that no test depends on a platform's.
var testHeaders = HeaderNames{
	RequestID: "Req-Id", TimeLeftMS: "Left-Ms", Signature: "Sig", ExpectTarget: "For-Target", Load: "Load",
	NotRun: "Not-Run", RetryAfter: "Retry-After", PartSignatures: "Parts", MissingParts: "Missing", TargetID: "Target", ColdLeftMS: "Cold-Ms",
	Leaving: "Leaving", RateLimit: "Limit", Key: "Key", Workspace: "Workspace",
}

// fakeTarget is a target whose responses a test writes byte by byte.
type fakeTarget struct {
	t       *testing.T
	id      string
	service route.ServiceName
	addr    netip.AddrPort
	// answer writes the response to the n-th request, counted from 1. If nil, the
	// target sends a signed success.
	answer func(w net.Conn, r *http.Request, body []byte, n int)
	// health writes the response to a health check. If nil, the target is healthy
	// and warm.
	health func(w net.Conn)

	mu       sync.Mutex
	received []receivedRequest
	conns    int
	// refusals are the IDs of the requests that weren't run.
	refusals []string
}

// receivedRequest is a request that a fakeTarget received, with the number of its
// connection.
type receivedRequest struct {
	method, uri, host string
	header            http.Header
	body              string
	conn              int
}

// targetCount counts the targets that tests started.
var targetCount atomic.Uint32

// nextTargetIP returns loopback addresses in turn, so that thousands of targets don't
// use up the ports of one.
func nextTargetIP() string {
	n := targetCount.Add(1)
	return fmt.Sprintf("127.0.%d.%d", 1+n/250%250, 1+n%250)
}

func newFakeTarget(t *testing.T, id string, service route.ServiceName) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", nextTargetIP()+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &fakeTarget{t: t, id: id, service: service, addr: netip.MustParseAddrPort(l.Addr().String())}
	go s.accept(l)
	return s
}

func (s *fakeTarget) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		n := s.conns
		s.mu.Unlock()
		go s.serve(c, n)
	}
}

func (s *fakeTarget) serve(c net.Conn, conn int) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			s.serveHealth(c)
			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.received = append(s.received, receivedRequest{r.Method, r.RequestURI, r.Host, r.Header, string(body), conn})
		n := len(s.received)
		answer := s.answer
		s.mu.Unlock()
		if answer == nil {
			s.ok(c, r, "hello from "+s.id)
			continue
		}
		answer(c, r, body, n)
	}
}

func (s *fakeTarget) serveHealth(c net.Conn) {
	s.mu.Lock()
	health := s.health
	s.mu.Unlock()
	if health != nil {
		health(c)
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTarget: %s\r\nContent-Length: 0\r\n\r\n", s.id)
}

// ok writes a complete, signed response to r.
func (s *fakeTarget) ok(c net.Conn, r *http.Request, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nReq-Id: %s\r\nSig: sig-%s-%s\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get("Req-Id"), s.id, r.Header.Get("Req-Id"), len(body), body)
}

// refuse writes a response that says that the request wasn't run.
func (s *fakeTarget) refuse(c net.Conn, r *http.Request) {
	s.mu.Lock()
	s.refusals = append(s.refusals, r.Header.Get("Req-Id"))
	s.mu.Unlock()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nReq-Id: %s\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Req-Id"))
}

// refused reports whether the target said that it didn't run a request.
func (s *fakeTarget) refused(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.refusals, id)
}

func (s *fakeTarget) requests() []receivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]receivedRequest(nil), s.received...)
}

func (s *fakeTarget) entry() discovery.Target {
	return discovery.Target{ID: discovery.TargetID(s.id), Service: s.service, Addr: s.addr, DataCentre: "dc-a", Slots: 4}
}

// testServer is a Server with its inputs and its log.
type testServer struct {
	*Server
	t     *testing.T
	board *board.Board
	list  *discovery.Inventory
	table *route.Table
	url   string
	log   *strings.Builder
	logMu sync.Mutex
}

func (f *testServer) Write(p []byte) (int, error) {
	f.logMu.Lock()
	defer f.logMu.Unlock()
	return f.log.Write(p)
}

// lines returns what was logged so far.
func (f *testServer) lines() string {
	f.logMu.Lock()
	defer f.logMu.Unlock()
	return f.log.String()
}

// testTable returns a route table with three prefixes: /one/ is idempotent, /once/
// is not, and /all/ gathers from the services in shards, if there are any.
func testTable(shards ...route.ServiceName) *route.Table {
	t := &route.Table{
		Version: 1, Services: map[route.ServiceName]route.Service{"one": {Name: "one", HealthPath: "/health", MaxConnections: 40}},
		Limits: route.Limits{BodyBytes: 1 << 20},
	}
	split := []route.WeightedService{{Service: "one", Weight: 1}}
	t.Routes = []route.Route{
		{Name: "one", Host: "h", Prefix: "/one/", Kind: route.Idempotent, TimeLimit: 2 * time.Second, Objective: 400 * time.Millisecond, Attempts: 2, Split: split},
		{Name: "once", Host: "h", Prefix: "/once/", Kind: route.NonIdempotent, TimeLimit: 2 * time.Second, Objective: 400 * time.Millisecond, Attempts: 2, Split: split},
	}
	if len(shards) > 0 {
		for _, s := range shards {
			t.Services[s] = route.Service{Name: s, HealthPath: "/health", MaxConnections: 40}
		}
		t.Routes = append(t.Routes, route.Route{
			Name: "all", Host: "h", Prefix: "/all/", Kind: route.Idempotent, TimeLimit: 2 * time.Second, Objective: 300 * time.Millisecond,
			Attempts: 2, Gather: &route.Gather{Shards: shards, TopK: 3, MinCoverage: 0.6},
		})
	}
	return t
}

func newTestServer(t *testing.T, table *route.Table, targets ...discovery.Target) *testServer {
	t.Helper()
	f := &testServer{t: t, board: board.New(), list: discovery.NewInventory(), table: table, log: &strings.Builder{}}
	if table != nil {
		if err := table.Index(); err != nil {
			t.Fatal(err)
		}
	}
	f.Server = New(Config{
		Headers: testHeaders, DataCentre: "dc-a", Board: f.board, Inventory: f.list,
		Decode:  func([]byte) (*route.Table, error) { return f.table, nil },
		Budget:  BudgetLimits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
		ListLag: 100 * time.Millisecond,
		Log:     slog.New(slog.NewJSONHandler(f, nil)), Metrics: &telemetry.Forward{},
	})
	f.board.Update(func(v *board.View) {
		*v = *records.EmptyView()
		if table != nil {
			v.Routes = &board.RouteDocument{Version: table.Version, Index: 1}
		}
	})
	f.setTargets(targets...)
	f.refresh()
	server := httptest.NewUnstartedServer(f.Server)
	server.Config.ConnContext = ConnContext
	server.Start()
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

func (f *testServer) setTargets(targets ...discovery.Target) {
	f.list.Replace(targets, time.Now())
	f.refresh()
}

func (f *testServer) setQuiet(dcs ...topology.DataCentre) {
	f.board.Update(func(v *board.View) {
		v.QuietDCs = map[topology.DataCentre]board.Quiet{}
		for _, dc := range dcs {
			v.QuietDCs[dc] = board.Quiet{Intent: "i"}
		}
	})
	f.refresh()
}

// reply is a response as received by a caller.
type reply struct {
	status int
	header http.Header
	body   string
}

func (f *testServer) get(path string) reply { return f.send(http.MethodGet, path, "", "id-1", 2000) }

func (f *testServer) send(method, path, body, id string, leftMS int) reply {
	f.t.Helper()
	r, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Req-Id", id)
	r.Header.Set("Left-Ms", fmt.Sprint(leftMS))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return reply{resp.StatusCode, resp.Header, string(got)}
}
