package forward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// crashOn makes a target close the connection, after some time, for requests whose path or
// body contains "deadly".
func (s *fakeTarget) crashOn(after time.Duration, body func() string) {
	s.answer = func(c net.Conn, r *http.Request, sent []byte, _ int) {
		if strings.Contains(r.RequestURI+string(sent), "deadly") {
			time.Sleep(after)
			_ = c.Close()
			return
		}
		s.ok(c, r, body())
	}
}

// deadlyRequests counts the requests that crash targets among those that reached some.
func deadlyRequests(targets []*fakeTarget) int {
	n := 0
	for _, s := range targets {
		for _, r := range s.requests() {
			if strings.Contains(r.uri+r.body, "deadly") {
				n++
			}
		}
	}
	return n
}

// checkHealth lets the targets that were lost be used again, also those that closed a new
// connection.
func (f *testServer) checkHealth() {
	f.fleet.mu.Lock()
	for _, b := range f.fleet.byID {
		b.connLimitedUntil = time.Time{}
	}
	f.fleet.mu.Unlock()
	for _, b := range f.fleet.dueChecks(time.Now().Add(time.Minute)) {
		f.checker.check(f.t.Context(), b)
	}
}

// Guards against a request that takes down target after target.
func TestRequestThatCrashesTargetsIsStopped(t *testing.T) {
	var targets []*fakeTarget
	var entries []discovery.Target
	for i := range 6 {
		s := newFakeTarget(t, fmt.Sprint("t", i), "one")
		s.crashOn(0, func() string { return "fine" })
		targets, entries = append(targets, s), append(entries, s.entry())
	}
	f := newTestServer(t, testTable(), entries...)
	var last reply
	for i := range 10 {
		last = f.send(http.MethodPost, "/one/x", "deadly", fmt.Sprint("d", i), 2000)
		f.checkHealth()
	}
	if n := deadlyRequests(targets); n > 3 {
		t.Errorf("%d targets crashed, want 3", n)
	}
	if last.status != http.StatusServiceUnavailable || last.header.Get("Retry-After") == "" {
		t.Errorf("status %d, %v for a request that crashes targets", last.status, last.header)
	}
	if got := f.send(http.MethodPost, "/one/x", "other", "o", 2000); got.status != http.StatusOK {
		t.Errorf("status %d for another body on the same path", got.status)
	}
}

// Guards against a gather that takes down several targets of each shard.
func TestGatherThatCrashesTargetsIsStopped(t *testing.T) {
	const shards = 5
	names, targets, entries := startShards(t, shards)
	for i, s := range targets {
		s.crashOn(150*time.Millisecond, func() string { return partBody(i / 2) })
	}
	f := newTestServer(t, testTable(names...), entries...)
	for i := range 4 {
		f.send(http.MethodGet, "/all/deadly", "", fmt.Sprint("d", i), 2000)
		f.checkHealth()
	}
	if n := deadlyRequests(targets); n > shards+1 {
		t.Errorf("%d targets crashed, want one of each of %d shards and a canary", n, shards)
	}
	if got := f.send(http.MethodGet, "/all/other", "", "o", 2000); got.status != http.StatusOK || got.header.Get("Missing") != "0" {
		t.Errorf("status %d, %v for another query", got.status, got.header)
	}
}

// loseFirst makes the targets of the first shards close the connection on the first request
// that a shard gets.
func loseFirst(targets []*fakeTarget, shards int) {
	once := make([]sync.Once, shards)
	for i, s := range targets[:2*shards] {
		s.answer = func(c net.Conn, r *http.Request, _ []byte, _ int) {
			lost := false
			once[i/2].Do(func() { lost = true })
			if lost {
				_ = c.Close()
				return
			}
			s.ok(c, r, partBody(i/2))
		}
	}
}

// A query that ran beside one that crashes targets must be served: at once if a shard's
// target has answered, otherwise when it is retried.
func TestQueryBesideACrashIsServed(t *testing.T) {
	names, targets, entries := startShards(t, 5)
	loseFirst(targets, 3)
	f := newTestServer(t, testTable(names...), entries...)
	if got := f.send(http.MethodGet, "/all/x", "", "some", 2000); got.status != http.StatusOK || got.header.Get("Missing") != "0" {
		t.Errorf("status %d, %v with three of five shards lost at first", got.status, got.header)
	}
	names, targets, entries = startShards(t, 5)
	loseFirst(targets, 5)
	f = newTestServer(t, testTable(names...), entries...)
	first := f.send(http.MethodGet, "/all/x", "", "first", 2000)
	f.checkHealth()
	second := f.send(http.MethodGet, "/all/x", "", "second", 2000)
	if second.status != http.StatusOK || second.header.Get("Missing") != "0" {
		t.Errorf("status %d, then %d, %v with all shards lost at first", first.status, second.status, second.header)
	}
}

// A gather whose every shard is late must not be hedged before a part has come: it would
// reach twice as many targets before it is known what it does to them.
func TestNoHedgesBeforeTheFirstPart(t *testing.T) {
	names, targets, entries := startShards(t, 4)
	var sent atomic.Int64
	answers := make(chan struct{})
	for i, s := range targets {
		s.answer = func(c net.Conn, r *http.Request, _ []byte, _ int) {
			sent.Add(1)
			<-answers
			s.ok(c, r, partBody(i/2))
		}
	}
	f := newTestServer(t, testTable(names...), entries...)
	time.AfterFunc(250*time.Millisecond, func() {
		if n := sent.Load(); n != int64(len(names)) {
			t.Errorf("%d requests for %d shards before the first answer", n, len(names))
		}
		close(answers)
	})
	if got := f.send(http.MethodGet, "/all/x", "", "late", 2000); got.status != http.StatusOK {
		t.Errorf("status %d", got.status)
	}
}

// A shard that waits for another one's part must be given up when the last router that may
// send one ends without, rather than at the deadline.
func TestWaitingShardEndsWithTheLastHelper(t *testing.T) {
	names, _, entries := startShards(t, 4)
	f := newTestServer(t, testTable(names...), entries...)
	g := f.newGathering(&request{id: "q", route: &f.table.Routes[2], table: f.table})
	for i := range g.calls {
		g.calls[i] = &call{server: f.Server, req: g.req}
	}
	h := &handOver{shards: []int{1, 2, 3}, open: true, try: 1}
	g.handedOver[1], g.handedOver[2], g.handedOver[3] = h, h, h
	g.handleLoss(t.Context(), 0, true)
	if !g.shardInFlight(0) {
		t.Fatal("the shard doesn't wait")
	}
	done := &helperReply{from: h, try: 1, message: &pb.PartsReply{Status: pb.PartsStatus_PARTS_STATUS_DONE}}
	g.handleReply(t.Context(), done)
	if g.anyInFlight() {
		t.Error("the shard still waits though no part can come")
	}
}
