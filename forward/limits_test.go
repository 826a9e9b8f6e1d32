package forward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The route table's limits apply to callers: the size of headers, the time for
// sending them, and the time that a connection may be idle.
func TestTableLimitsApplyToCallers(t *testing.T) {
	s := newFakeTarget(t, "t1", "one")
	table := testTable()
	table.Limits.HeaderBytes = 1000
	table.Limits.HeaderTimeout = 300 * time.Millisecond
	table.Limits.IdleTimeout = 900 * time.Millisecond
	f := newTestServer(t, table, s.entry())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: f.Server, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, ConnContext: ConnContext, ConnState: ConnState,
	}
	go func() { _ = server.Serve(f.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	head := "GET /one/x HTTP/1.1\r\nHost: h\r\nReq-Id: 1\r\nLeft-Ms: 2000\r\n"
	send := func(c net.Conn, text string) *http.Response {
		t.Helper()
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	dial := func() net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	closedAfter := func(c net.Conn) time.Duration {
		t.Helper()
		start := time.Now()
		_ = c.SetReadDeadline(start.Add(20 * time.Second))
		if _, err := io.Copy(io.Discard, c); errors.Is(err, net.ErrClosed) || isTimeout(err) {
			t.Fatal("the connection was left open: ", err)
		}
		return time.Since(start)
	}
	c := dial()
	if r := send(c, head+"Pad: "+strings.Repeat("x", 1000)+"\r\n\r\n"); r.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d for large headers", r.StatusCode)
	}
	if n := len(s.requests()); n != 0 {
		t.Errorf("%d requests forwarded", n)
	}
	c = dial()
	if r := send(c, head+"\r\n"); r.StatusCode != http.StatusOK {
		t.Errorf("status %d", r.StatusCode)
	}
	time.Sleep(4 * table.Limits.IdleTimeout / 5)
	if r := send(c, head+"\r\n"); r.StatusCode != http.StatusOK {
		t.Errorf("status %d on a connection that was idle for less than its limit", r.StatusCode)
	}
	if took := closedAfter(c); took < table.Limits.IdleTimeout/2 {
		t.Errorf("idle connection closed after %v", took)
	}
	c = dial()
	if _, err := io.WriteString(c, head); err != nil {
		t.Fatal(err)
	}
	if took := closedAfter(c); took < table.Limits.HeaderTimeout/2 || took > 10*time.Second {
		t.Errorf("connection with unfinished headers closed after %v", took)
	}
}
