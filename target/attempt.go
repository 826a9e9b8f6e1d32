package target

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/internal/connpool"
	"github.com/peridotmux/peridotmux/internal/response"
)

// attempt is one search in progress.
type attempt struct {
	client *Client
	search Search
	pool   *connpool.Pool
	// number is the value of HeaderAttempt.
	number string
	// memory bounds the bodies of the answers that are being read, nil for no bound.
	memory *response.Memory

	mu sync.Mutex
	// conn is the connection that the search reads from, nil otherwise.
	conn *connpool.Conn
}

// maxConnectAttempts bounds the connections that are tried. Another connection is
// tried only if no byte of the search was handed to the kernel.
const maxConnectAttempts = 2

// run sends the search and waits for the outcome.
func (a *attempt) run(ctx context.Context) Outcome {
	if !a.headersSafe() {
		return Outcome{Status: NotStarted, Reason: ReasonBadAnswer, TargetDone: true}
	}
	ctx, cancel := context.WithDeadline(ctx, a.search.Deadline)
	defer cancel()
	for try := 1; ; try++ {
		if ctx.Err() != nil {
			return a.notStarted(endReason(ctx))
		}
		c, err := a.pool.Get(ctx, a.search.AllowReconnect)
		if err != nil {
			return a.notStarted(connectReason(ctx, err))
		}
		n, err := a.send(c)
		if err == nil {
			return a.receive(ctx, c)
		}
		a.pool.SetRestartSuspected(true)
		c.Close()
		if n > 0 {
			return Outcome{Status: Unknown, Reason: connectionLostReason(ctx)}
		}
		if try == maxConnectAttempts {
			return a.notStarted(ReasonConnect)
		}
	}
}

func (a *attempt) notStarted(r Reason) Outcome {
	return Outcome{Status: NotStarted, Reason: r, TargetDone: true}
}

// headersSafe reports whether the values that go into headers are free of control
// characters, which would allow header injection.
func (a *attempt) headersSafe() bool {
	return headerSafe(a.search.RequestID) && headerSafe(string(a.search.Target.Shard))
}

func headerSafe(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// send writes the whole request with one Write and returns the number of bytes
// that were handed to the kernel.
func (a *attempt) send(c *connpool.Conn) (int, error) {
	s := &a.search
	if err := c.Net.SetDeadline(s.Deadline.Add(deadlineGrace)); err != nil {
		return 0, err
	}
	budget := max(time.Until(s.Deadline), 0).Microseconds()
	b := appendRequestHead(c.RequestBuffer[:0], "POST "+PathSearch, a.pool.Host())
	b = appendHeader(b, HeaderAttempt, a.number)
	b = appendHeader(b, HeaderShard, string(s.Target.Shard))
	b = appendNumber(b, HeaderIndexVersion, s.IndexVersion)
	b = appendNumber(b, HeaderBudget, uint64(budget)) //nolint:gosec // Never negative.
	b = appendHeader(b, HeaderRequestID, s.RequestID)
	b = appendHeader(b, "Content-Type", "application/json")
	b = appendNumber(b, "Content-Length", uint64(len(s.Body)))
	b = append(b, "\r\n"...)
	b = append(b, s.Body...)
	c.KeepRequestBuffer(b)
	return c.Net.Write(b)
}

// receive waits for the answer. If ctx is done first, it cancels the search at
// the target and waits briefly for the target to confirm that.
func (a *attempt) receive(ctx context.Context, c *connpool.Conn) Outcome {
	a.conn = c
	stop := context.AfterFunc(ctx, func() { a.cancelWaiting(ctx) })
	out, reusable := readAnswer(c, a)
	c.SetAnswered()
	stop()
	a.detachConn()
	switch {
	case out.Process != 0:
		a.pool.SetRestartSuspected(false)
	case out.Reason == ReasonConnectionLost:
		a.pool.SetRestartSuspected(true)
	}
	if reusable {
		c.Put()
	} else {
		c.Close()
	}
	if out.Reason == ReasonConnectionLost {
		out.Reason = connectionLostReason(ctx)
	}
	return out
}

// connectionLostReason returns why a connection was lost before the answer:
// because ctx is done, or ReasonConnectionLost.
func connectionLostReason(ctx context.Context) Reason {
	if ctx.Err() != nil {
		return endReason(ctx)
	}
	return ReasonConnectionLost
}

// detachConn detaches the attempt from its connection, so that a late
// cancelWaiting does not affect the connection's next user.
func (a *attempt) detachConn() {
	a.mu.Lock()
	a.conn = nil
	a.mu.Unlock()
}

// cancelWaiting shortens the read deadline and cancels the search at the target. It
// runs when ctx is done while the search waits for its answer. If the deadline
// passed, no cancel is needed because the target ends the search by itself.
func (a *attempt) cancelWaiting(ctx context.Context) {
	wait := a.client.opts.CancelWait
	if endReason(ctx) == ReasonDeadline {
		wait = deadlineGrace
	}
	a.mu.Lock()
	waiting := a.conn != nil
	if waiting {
		_ = a.conn.Net.SetReadDeadline(time.Now().Add(wait))
	}
	a.mu.Unlock()
	if waiting && endReason(ctx) == ReasonCancelled {
		a.client.cancel(a.pool, a.number)
	}
}

// endReason returns why ctx is done: ReasonDeadline or ReasonCancelled.
func endReason(ctx context.Context) Reason {
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return ReasonDeadline
	}
	return ReasonCancelled
}

// connectReason returns why no connection was obtained from the pool.
func connectReason(ctx context.Context, err error) Reason {
	var closed *connpool.ClosedIdleError
	switch {
	case ctx.Err() != nil:
		return endReason(ctx)
	case errors.As(err, &closed):
		return ReasonConnectionLost
	}
	return ReasonConnect
}

// cancel requests the target to cancel an attempt. It ignores errors: whether the
// attempt was cancelled follows from the answer to the search.
func (c *Client) cancel(p *connpool.Pool, number string) {
	ctx, stop := context.WithTimeout(context.Background(), c.opts.CancelWait)
	defer stop()
	conn, err := p.Get(ctx, nil)
	if err != nil {
		return
	}
	_ = conn.Net.SetDeadline(time.Now().Add(c.opts.CancelWait))
	b := appendRequestHead(conn.RequestBuffer[:0], "POST "+PathCancel, p.Host())
	b = appendHeader(b, HeaderAttempt, number)
	b = append(b, "Content-Length: 0\r\n\r\n"...)
	conn.KeepRequestBuffer(b)
	if _, err := conn.Net.Write(b); err != nil {
		conn.Close()
		return
	}
	if _, err := readUnmatched(conn); err != nil {
		conn.Close()
		return
	}
	conn.Put()
}

// appendRequestHead appends the request line and the Host header. Line is the
// method and path.
func appendRequestHead(b []byte, line, host string) []byte {
	b = append(b, line...)
	b = append(b, " HTTP/1.1\r\n"...)
	return appendHeader(b, "Host", host)
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

func appendNumber(b []byte, name string, n uint64) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = strconv.AppendUint(b, n, 10)
	return append(b, "\r\n"...)
}
