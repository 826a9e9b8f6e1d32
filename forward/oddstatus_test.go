package forward

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// Guards against a response whose status is none of HTTP's reaching the caller.
func TestStatusBelowHundredIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "+20"} {
		target := newFakeTarget(t, "t", "one")
		target.answer = func(c net.Conn, r *http.Request, _ []byte, _ int) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\nReq-Id: %s\r\nSig: s\r\nContent-Length: 2\r\n\r\nok", status, r.Header.Get("Req-Id"))
		}
		f := newTestServer(t, testTable(), target.entry())
		r, err := http.NewRequest(http.MethodGet, f.url+"/once/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "h"
		r.Header.Set("Req-Id", "odd")
		r.Header.Set("Left-Ms", "1000")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Errorf("status %s: %v", status, err)
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusBadGateway {
			t.Errorf("status %s: the caller got %d", status, resp.StatusCode)
		}
	}
}

// Guards against a response that stops in the middle of its head reaching the caller as a
// whole one.
func TestHeadThatStopsMidwayIsNoAnswer(t *testing.T) {
	for _, framing := range []string{"", "Content-Length: 0\r\n", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"} {
		cut := 0
		target := newFakeTarget(t, "t", "one")
		target.answer = func(c net.Conn, r *http.Request, _ []byte, _ int) {
			head := "HTTP/1.1 200 OK\r\nReq-Id: " + r.Header.Get("Req-Id") + "\r\nSig: s\r\n" + framing + "\r\n"
			_, _ = c.Write([]byte(head[:cut]))
			_ = c.Close()
		}
		f := newTestServer(t, testTable(), target.entry())
		whole := len("HTTP/1.1 200 OK\r\nReq-Id: odd\r\nSig: s\r\n" + framing + "\r\n")
		for cut = range whole {
			f.checkHealth()
			got := f.send(http.MethodGet, fmt.Sprint("/once/", cut), "", "odd", 1000)
			if got.status != http.StatusBadGateway || len(target.requests()) != cut+1 {
				t.Errorf("%q, %d of %d bytes of the head: status %d, body %q", framing, cut, whole, got.status, got.body)
			}
		}
	}
}
