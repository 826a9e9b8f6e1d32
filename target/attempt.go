package target

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/internal/connpool"
)

// attempt is one search on its way.
type attempt struct {
	client *Client
	search Search
	pool   *connpool.Pool
	number string

	mu   sync.Mutex
	conn *connpool.Conn // nil once the search no longer reads from it
}

// maxTries bounds the connections tried. Another one is only tried while not a
// byte was handed to the kernel.
const maxTries = 2

func (a *attempt) run(ctx context.Context) Outcome {
	if !a.wellFormed() {
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
			return Outcome{Status: Unknown, Reason: lostReason(ctx)}
		}
		if try == maxTries {
			return a.notStarted(ReasonConnect)
		}
	}
}

func (a *attempt) notStarted(r Reason) Outcome {
	return Outcome{Status: NotStarted, Reason: r, TargetDone: true}
}

// wellFormed reports whether the values that go into headers hold no byte that
// could end a header line.
func (a *attempt) wellFormed() bool {
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

// send writes the whole search at once and returns how many bytes went out.
func (a *attempt) send(c *connpool.Conn) (int, error) {
	s := &a.search
	if err := c.Net.SetDeadline(s.Deadline.Add(deadlineGrace)); err != nil {
		return 0, err
	}
	budget := max(time.Until(s.Deadline), 0).Microseconds()
	b := appendHead(c.RequestBuffer[:0], "POST "+PathSearch, a.pool.Host())
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

// receive waits for the answer. If ctx ends first, it cancels the search at
// the target and waits shortly for the target to say so.
func (a *attempt) receive(ctx context.Context, c *connpool.Conn) Outcome {
	a.conn = c
	stop := context.AfterFunc(ctx, func() { a.withdraw(ctx) })
	out, reusable := readAnswer(c, a)
	stop()
	a.forget()
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
		out.Reason = lostReason(ctx)
	}
	return out
}

// lostReason says why a connection ended before the answer.
func lostReason(ctx context.Context) Reason {
	if ctx.Err() != nil {
		return endReason(ctx)
	}
	return ReasonConnectionLost
}

// forget keeps a late withdraw off the connection.
func (a *attempt) forget() {
	a.mu.Lock()
	a.conn = nil
	a.mu.Unlock()
}

// withdraw runs when the caller's context ended while the search waits. Past
// the deadline the target ends the search by itself.
func (a *attempt) withdraw(ctx context.Context) {
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

// endReason says why ctx ended.
func endReason(ctx context.Context) Reason {
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return ReasonDeadline
	}
	return ReasonCancelled
}

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

// cancel tells the target to end an attempt. The search's own answer says
// whether it did.
func (c *Client) cancel(p *connpool.Pool, number string) {
	ctx, stop := context.WithTimeout(context.Background(), c.opts.CancelWait)
	defer stop()
	conn, err := p.Get(ctx, nil)
	if err != nil {
		return
	}
	_ = conn.Net.SetDeadline(time.Now().Add(c.opts.CancelWait))
	b := appendHead(conn.RequestBuffer[:0], "POST "+PathCancel, p.Host())
	b = appendHeader(b, HeaderAttempt, number)
	b = append(b, "Content-Length: 0\r\n\r\n"...)
	conn.KeepRequestBuffer(b)
	if _, err := conn.Net.Write(b); err != nil {
		conn.Close()
		return
	}
	if _, err := readPlain(conn); err != nil {
		conn.Close()
		return
	}
	conn.Put()
}

func appendHead(b []byte, line, host string) []byte {
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
