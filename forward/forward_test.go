package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// The method, path, query, host, headers and body must reach the target unchanged,
// except for hop-by-hop headers and those that the router sets.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	s := newFakeTarget(t, "t1", "one")
	f := newTestServer(t, testTable(), s.entry())
	r, _ := http.NewRequest(http.MethodPost, f.url+"/once/a%2Fb/c?q=1&q=%20", strings.NewReader("the body"))
	r.Host = "h"
	r.Header.Set("Req-Id", "id-7")
	r.Header.Set("Left-Ms", "900")
	r.Header.Set("X-Other", "kept")
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "dropped")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	got := s.requests()
	if len(got) != 1 || resp.StatusCode != http.StatusOK || resp.Header.Get("Sig") != "sig-t1-id-7" {
		t.Fatalf("status %d, signature %q, %d requests", resp.StatusCode, resp.Header.Get("Sig"), len(got))
	}
	q := got[0]
	if q.method != "POST" || q.uri != "/once/a%2Fb/c?q=1&q=%20" || q.host != "h" || q.body != "the body" {
		t.Fatalf("the target received %+v", q)
	}
	left, _ := strconv.Atoi(q.header.Get("Left-Ms"))
	if q.header.Get("X-Other") != "kept" || q.header.Get("X-Hop") != "" || q.header.Get("For-Target") != "t1" || left < 1 || left > 900 {
		t.Fatalf("headers %v", q.header)
	}
}

// A chunked body must reach the target whole and without the chunked encoding.
func TestChunkedBodyIsForwardedWhole(t *testing.T) {
	s := newFakeTarget(t, "t1", "one")
	f := newTestServer(t, testTable(), s.entry())
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = c.Write([]byte("POST /once/x HTTP/1.1\r\nHost: h\r\nReq-Id: i\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v %v", resp, err)
	}
	if got := s.requests()[0]; got.body != "abcde" || got.header.Get("Transfer-Encoding") != "" {
		t.Fatalf("the target received %+v", got)
	}
}

// A request that two HTTP parsers could read differently must not reach a target.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	for name, raw := range map[string]string{
		"two lengths":          "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"bare carriage return": "POST /once/x HTTP/1.1\r\nHost: h\r\nX: a\rb\r\nContent-Length: 0\r\n\r\n",
		"space before colon":   "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc",
		"unknown encoding":     "POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"bad chunk":            "POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
		"no host":              "POST /once/x HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
		"negative length":      "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
		"two hosts":            "GET /once/x HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n",
		"length and chunks":    "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked, identity\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeTarget(t, "t1", "one")
			f := newTestServer(t, testTable(), s.entry())
			c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(2 * time.Second))
			_, _ = c.Write([]byte(raw))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil && resp.StatusCode < 400 {
				t.Fatalf("answered %d", resp.StatusCode)
			}
			if n := len(s.requests()); n != 0 {
				t.Fatalf("%d requests reached the target", n)
			}
		})
	}
}

// If a request has both a Content-Length and chunks, the length is dropped: only
// the chunks determine where the body ends, so that a following request can't be
// smuggled in as a body.
func TestLengthWithChunksIsNoSmuggling(t *testing.T) {
	s := newFakeTarget(t, "t1", "one")
	f := newTestServer(t, testTable(), s.entry())
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = c.Write([]byte("POST /once/x HTTP/1.1\r\nHost: h\r\nReq-Id: a\r\nContent-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
		"GET /once/smuggled HTTP/1.1\r\nHost: h\r\nReq-Id: b\r\n\r\n"))
	_, _ = http.ReadResponse(bufio.NewReader(c), nil)
	time.Sleep(50 * time.Millisecond)
	for _, q := range s.requests() {
		if q.body != "" || q.header.Get("Transfer-Encoding") != "" {
			t.Fatalf("the target received %+v", q)
		}
	}
}

// A request that matches no route gets 404. Without a route table it gets 503 with
// a time to retry after.
func TestNoRouteAndNoTable(t *testing.T) {
	f := newTestServer(t, testTable())
	if got := f.get("/other/"); got.status != http.StatusNotFound {
		t.Fatalf("status %d for an unknown route", got.status)
	}
	bare := newTestServer(t, nil)
	if got := bare.get("/one/x"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Fatalf("status %d, Retry-After %q without routes", got.status, got.header.Get("Retry-After"))
	}
}

// A request that a target refused without running it is sent to another target,
// even if it must run at most once.
func TestNotRunIsRetriedAtAnotherTarget(t *testing.T) {
	a, b := newFakeTarget(t, "t1", "one"), newFakeTarget(t, "t2", "one")
	a.answer = func(c net.Conn, r *http.Request, _ []byte, _ int) { a.refuse(c, r) }
	f := newTestServer(t, testTable(), a.entry(), b.entry())
	for i := range 20 {
		if got := f.send(http.MethodPost, "/once/x", "b", fmt.Sprint("id-", i), 1000); got.status != http.StatusOK {
			t.Fatalf("status %d", got.status)
		}
	}
}

// A request that may have run is sent again only if its route is idempotent.
func TestLostResponseIsRetriedOnlyIfIdempotent(t *testing.T) {
	lose := func(c net.Conn, _ *http.Request, _ []byte, _ int) { _ = c.Close() }
	for path, want := range map[string]struct{ status, runs int }{
		"/once/x": {http.StatusBadGateway, 1},
		"/one/x":  {http.StatusBadGateway, 2},
	} {
		a, b := newFakeTarget(t, "t1", "one"), newFakeTarget(t, "t2", "one")
		a.answer, b.answer = lose, lose
		f := newTestServer(t, testTable(), a.entry(), b.entry())
		got := f.get(path)
		if runs := len(a.requests()) + len(b.requests()); got.status != want.status || runs != want.runs {
			t.Fatalf("%s: status %d after %d runs, want %d after %d", path, got.status, runs, want.status, want.runs)
		}
	}
}

// A response that is malformed, truncated, unsigned or for another request must not
// be forwarded as a success.
func TestInvalidResponsesAreNoSuccess(t *testing.T) {
	for name, raw := range map[string]string{
		"garbage":                     "\x00\x01\x02 nothing\r\n\r\n",
		"truncated body":              "HTTP/1.1 200 OK\r\nReq-Id: %s\r\nSig: s\r\nContent-Length: 100\r\n\r\nhalf",
		"truncated chunks":            "HTTP/1.1 200 OK\r\nReq-Id: %s\r\nSig: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal",
		"missing signature":           "HTTP/1.1 200 OK\r\nReq-Id: %s\r\nContent-Length: 2\r\n\r\nok",
		"response to another request": "HTTP/1.1 200 OK\r\nReq-Id: other-%s\r\nSig: s\r\nContent-Length: 2\r\n\r\nok",
		"encoded body":                "HTTP/1.1 200 OK\r\nReq-Id: %s\r\nSig: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeTarget(t, "t1", "one")
			s.answer = func(c net.Conn, r *http.Request, _ []byte, _ int) {
				_, _ = c.Write([]byte(strings.ReplaceAll(raw, "%s", r.Header.Get("Req-Id"))))
				_ = c.Close()
			}
			f := newTestServer(t, testTable(), s.entry())
			if got := f.get("/once/x"); got.status != http.StatusBadGateway {
				t.Fatalf("status %d, body %q", got.status, got.body)
			}
		})
	}
}

// A response without a length ends when its connection is closed.
func TestResponseWithoutLengthIsComplete(t *testing.T) {
	s := newFakeTarget(t, "t1", "one")
	s.answer = func(c net.Conn, r *http.Request, _ []byte, _ int) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nReq-Id: %s\r\nSig: s\r\n\r\nto the end", r.Header.Get("Req-Id"))
		_ = c.Close()
	}
	f := newTestServer(t, testTable(), s.entry())
	if got := f.get("/once/x"); got.status != http.StatusOK || got.body != "to the end" {
		t.Fatalf("status %d, body %q", got.status, got.body)
	}
}

// A surplus response, immediate or delayed, must not be taken for the response to
// another request.
func TestSurplusResponsesAreDropped(t *testing.T) {
	s := newFakeTarget(t, "t1", "one")
	s.answer = func(c net.Conn, r *http.Request, _ []byte, n int) {
		s.ok(c, r, "answer "+r.Header.Get("Req-Id"))
		if n%2 == 0 {
			s.ok(c, r, "extra answer")
		} else {
			time.AfterFunc(5*time.Millisecond, func() { s.ok(c, r, "late extra answer") })
		}
	}
	f := newTestServer(t, testTable(), s.entry())
	for i := range 40 {
		id := fmt.Sprint("id-", i)
		got := f.send(http.MethodGet, "/one/x", "", id, 1000)
		if got.status == http.StatusOK && got.body != "answer "+id {
			t.Fatalf("request %s got %q", id, got.body)
		}
		time.Sleep(time.Duration(i%3) * 4 * time.Millisecond)
	}
}

// A target may respond before it has read a large body, and read on later. The next
// bytes on the connection must be the rest of that body or nothing.
func TestEarlyResponseToLargeBody(t *testing.T) {
	const bodyBytes = 4 << 20
	s := newFakeTarget(t, "t1", "one")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	unexpected := make(chan string, 100)
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if r.URL.Path != "/once/x" || r.ContentLength != bodyBytes {
				unexpected <- r.Method + " " + r.URL.Path
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 400 No\r\nReq-Id: %s\r\nSig: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Req-Id"))
			time.Sleep(20 * time.Millisecond)
			body, err := io.ReadAll(r.Body)
			if err == nil && strings.Trim(string(body), "x") != "" {
				unexpected <- "other bytes in the body"
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	entry := s.entry()
	entry.Addr = mustAddr(l.Addr().String())
	table := testTable()
	table.Limits.BodyBytes = bodyBytes
	f := newTestServer(t, table, entry)
	for i := range 5 {
		got := f.send(http.MethodPost, "/once/x", strings.Repeat("x", bodyBytes), fmt.Sprint(i), 1500)
		if got.status != http.StatusBadRequest {
			t.Fatalf("status %d, log: %s", got.status, f.lines())
		}
	}
	select {
	case got := <-unexpected:
		t.Fatal("the target received ", got)
	default:
	}
}

// A request with too large a body must be refused without reaching a target.
func TestBodyOverTheLimitIsRefused(t *testing.T) {
	s := newFakeTarget(t, "t1", "one")
	table := testTable()
	table.Limits.BodyBytes = 10
	f := newTestServer(t, table, s.entry())
	got := f.send(http.MethodPost, "/once/x", "more than ten bytes", "i", 1000)
	if got.status != http.StatusRequestEntityTooLarge || len(s.requests()) != 0 {
		t.Fatalf("status %d, %d requests", got.status, len(s.requests()))
	}
}

// A request to a slow target is hedged at another target, which answers first.
func TestSlowRequestIsHedged(t *testing.T) {
	a, b := newFakeTarget(t, "t1", "one"), newFakeTarget(t, "t2", "one")
	slow := func(s *fakeTarget) func(net.Conn, *http.Request, []byte, int) {
		return func(c net.Conn, r *http.Request, _ []byte, n int) {
			if s == a {
				time.Sleep(time.Second)
			}
			s.ok(c, r, s.id)
		}
	}
	a.answer, b.answer = slow(a), slow(b)
	f := newTestServer(t, testTable(), a.entry(), b.entry())
	for i := range 10 {
		start := time.Now()
		got := f.send(http.MethodGet, "/one/x", "", fmt.Sprint(i), 2000)
		if got.status != http.StatusOK || got.body != "t2" || time.Since(start) > 400*time.Millisecond {
			t.Fatalf("status %d from %q after %v", got.status, got.body, time.Since(start))
		}
	}
}

// A request that exceeds its time limit is answered at that time, and a caller that
// disconnects ends the work at the target.
func TestTimeLimitAndCallerDisconnect(t *testing.T) {
	s := newFakeTarget(t, "t1", "one")
	ended := make(chan time.Duration, 1)
	s.answer = func(c net.Conn, r *http.Request, _ []byte, _ int) {
		start := time.Now()
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		var b [1]byte
		_, _ = c.Read(b[:])
		ended <- time.Since(start)
	}
	f := newTestServer(t, testTable(), s.entry())
	start := time.Now()
	if got := f.send(http.MethodPost, "/once/x", "b", "i", 200); got.status != http.StatusGatewayTimeout || time.Since(start) > 600*time.Millisecond {
		t.Fatalf("status %d after %v", got.status, time.Since(start))
	}
	<-ended
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, f.url+"/one/x", nil)
	r.Host = "h"
	if resp, err := http.DefaultClient.Do(r); err == nil {
		_ = resp.Body.Close()
		t.Fatal("answered")
	}
	if after := <-ended; after > 500*time.Millisecond {
		t.Fatalf("the target continued for %v after the caller had disconnected", after)
	}
}
