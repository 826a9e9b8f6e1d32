package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/internal/endless"
)

// step is what a target does with one request in a fuzzed exchange.
type step byte

// The steps.
const (
	stepAnswer step = iota
	stepAnswerChunked
	stepAnswerToEnd
	stepCopyOfPrevious // a late copy of the previous answer, then the answer
	stepSecondCopy     // the answer, and a copy after a pause
	stepForeign        // an answer to a request of nobody, then the answer
	stepCut            // a part of the answer, then the end
	stepNothing        // the end
	stepGarbage
	stepEndless
	stepNotRun
	stepHealthCopy // an answer without a request ID and signature, then the answer
	stepLateCopy   // the answer, and a copy that the next request meets
)

// stepCount is the number of steps.
const stepCount = byte(stepLateCopy) + 1

// lateCopies lets copies of answers come late, but not into an answer that only the
// end of the connection delimits or that is cut: nothing would tell the copy's bytes
// from the answer's.
type lateCopies struct {
	mu      sync.Mutex
	allowed bool
}

func (l *lateCopies) allow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allowed = true
}

// end runs write, after which no copy comes until allow is called.
func (l *lateCopies) end(write func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allowed = false
	write()
}

func (l *lateCopies) send(write func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allowed {
		write()
	}
}

// answerText returns a complete answer to a request.
func answerText(s *fakeTarget, id string) string {
	body := "for " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nReq-Id: %s\r\nSig: sig-%s-%s\r\nContent-Length: %d\r\n\r\n%s", id, s.id, id, len(body), body)
}

// play performs a step. previous is the request ID before this one on any connection;
// late allows late copies.
func (st step) play(c net.Conn, s *fakeTarget, id, previous string, form endless.Form, late *lateCopies) {
	own := answerText(s, id)
	write := func(text string) { _, _ = io.WriteString(c, text) }
	head := "HTTP/1.1 200 OK\r\nReq-Id: " + id + "\r\nSig: sig-" + s.id + "-" + id + "\r\n"
	switch st {
	case stepAnswer:
		write(own)
	case stepAnswerChunked:
		write(head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\nfor %s\r\n0\r\n\r\n", len("for "+id), id))
	case stepAnswerToEnd:
		late.end(func() {
			write(head + "Connection: close\r\n\r\nfor " + id)
			_ = c.Close()
		})
	case stepCopyOfPrevious:
		write(answerText(s, previous) + own)
	case stepSecondCopy:
		write(own)
		time.Sleep(100 * time.Microsecond)
		write(own)
	case stepForeign:
		write(answerText(s, "nobody") + own)
	case stepCut:
		late.end(func() {
			write(own[:len(own)-1-len(id)%len(own)])
			_ = c.Close()
		})
	case stepNothing:
		_ = c.Close()
	case stepGarbage:
		write("\x00\x01\x02 no response\r\n\r\n")
	case stepEndless:
		endless.Write(c, form, "Req-Id: "+id+"\r\nSig: sig-"+s.id+"-"+id+"\r\n", "for "+id)
		_ = c.Close()
	case stepNotRun:
		s.refuse(c, &http.Request{Header: http.Header{"Req-Id": {id}}})
	case stepHealthCopy:
		write("HTTP/1.1 200 OK\r\nTarget: " + s.id + "\r\nContent-Length: 0\r\n\r\n" + own)
	case stepLateCopy:
		late.allow()
		write(own)
		go func() {
			time.Sleep(time.Duration(len(previous)) * 50 * time.Microsecond)
			late.send(func() { write(own) })
		}()
	}
}

// FuzzExchange lets a target answer each request over kept connections with a step
// that the input chooses. A caller must get its own whole answer or an error, and a
// refusal that says "not run" only if no target ran the request.
func FuzzExchange(f *testing.F) {
	f.Add([]byte{0, 3, 4, 5, 0, 12, 0, 6, 11, 0})
	f.Add([]byte{4, 4, 4, 0, 0, 12, 12, 12, 0, 0})
	f.Add([]byte{9, 0, 19, 0, 29, 0, 39, 0, 49, 0, 59, 0, 69, 0, 79, 0, 89, 0, 99, 0})
	f.Add([]byte{10, 7, 8, 1, 2, 0, 3})
	f.Fuzz(func(t *testing.T, script []byte) {
		if len(script) > 24 {
			script = script[:24]
		}
		s := newFakeTarget(t, "s", "one")
		var previous atomic.Value
		previous.Store("id-before")
		late := &lateCopies{}
		s.answer = func(c net.Conn, r *http.Request, _ []byte, n int) {
			b := script[(n-1)%len(script)]
			id := r.Header.Get("Req-Id")
			before := previous.Swap(id).(string)
			step(b%stepCount).play(c, s, id, before, endless.Forms[int(b/stepCount)%len(endless.Forms)], late)
		}
		table := testTable()
		table.Routes[0].TimeLimit, table.Routes[1].TimeLimit = 60*time.Millisecond, 60*time.Millisecond
		srv := newTestServer(t, table, s.entry())
		for i, b := range script {
			id := fmt.Sprint("id-", i)
			path := "/one/x"
			if b&0x80 != 0 {
				path = "/once/x"
			}
			srv.checkAnswer(t, s, path, id)
			srv.fleet.recordHealth(srv.fleet.byID["s"], &health{reached: true, healthy: true}, time.Now())
		}
	})
}

// checkAnswer sends one request and checks what its caller gets.
func (f *testServer) checkAnswer(t *testing.T, s *fakeTarget, path, id string) {
	t.Helper()
	got := f.send(http.MethodGet, path, "", id, 60)
	switch got.status {
	case http.StatusOK:
		if got.body != "for "+id || got.header.Get("Sig") != "sig-s-"+id {
			t.Fatalf("request %s got body %.60q with signature %q", id, got.body, got.header.Get("Sig"))
		}
	case http.StatusServiceUnavailable:
		for _, r := range s.requests() {
			if r.header.Get("Req-Id") == id && !s.refused(id) {
				t.Fatalf("request %s was said not to have run, but ran", id)
			}
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		t.Fatalf("request %s: status %d", id, got.status)
	}
}
