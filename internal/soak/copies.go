package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/peridotmux/peridotmux/internal/wait"
)

// resetInterval is the time between two resets of a target's connections, after each of
// which gateways check its health.
const resetInterval = 300 * time.Millisecond

// copyHealthAnswers lets a target that gateways doubt send its answers to health checks
// twice, the second time where the answer to a request is due. It is one of the targets
// of requests that must not run twice.
func (r *runner) copyHealthAnswers(ctx context.Context, rng *rand.Rand, d time.Duration) {
	targets := r.cluster.targetsOf(r.cluster.cfg.Shards)
	t := targets[rng.IntN(len(targets))]
	r.printf("target %s: copies of health answers for %v", t.id, d)
	t.setCopies(true)
	defer t.setCopies(false)
	for until := time.Now().Add(d); time.Now().Before(until) && ctx.Err() == nil; {
		t.proxy.resetAll()
		wait.For(ctx, resetInterval)
	}
}

func (t *standinTarget) setCopies(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.copies = on
}

func (t *standinTarget) sendsCopies() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.copies
}

// serveCopies rejects a health check. To each request that follows on the connection it
// sends a copy of that answer, then the request's own.
func (t *standinTarget) serveCopies(w http.ResponseWriter) {
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	rejection := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headers.NotRun, headers.TargetID, t.id)
	for _, err = io.WriteString(c, rejection); err == nil; {
		err = t.serveAfterCopy(c, buffered.Reader, rejection)
	}
}

// serveAfterCopy reads a request and answers it after a rejection that isn't its own.
func (t *standinTarget) serveAfterCopy(c net.Conn, reader *bufio.Reader, rejection string) error {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return err
	}
	answer := ""
	if r.URL.Path != healthPath {
		id := r.Header.Get(headers.RequestID)
		t.checkArrival(id, r.Header)
		if t.crashesOn(r, id) {
			return c.Close()
		}
		t.ledger.recordRun(id, t.service, t.id)
		body := answerBody(t.service, id)
		answer = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			headers.RequestID, id, headers.Signature, signature(t.id, id), t.leavingLine(), len(body), body)
	}
	_, err = io.WriteString(c, rejection+answer)
	return err
}
