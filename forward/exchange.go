package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/peridotmux/peridotmux/internal/connpool"
	"github.com/peridotmux/peridotmux/internal/response"
)

const (
	// maxResponseBytes bounds the body of a target's response.
	maxResponseBytes = 4 << 20
	// minPartLimit and partLimitFactor bound the body of a gathered response's part:
	// to minPartLimit bytes, or to partLimitFactor times the records that the caller
	// gets, whichever is more.
	minPartLimit    = 64 << 10
	partLimitFactor = 8
	// maxResponseHeadBytes bounds the status line and headers of a target's
	// response.
	maxResponseHeadBytes = 16 << 10
	// asyncBodyBytes is the size of a request's body above which it is written
	// concurrently, since the response may come before the body is written.
	asyncBodyBytes = 4 << 10
	// maxStrayResponses bounds the responses to other requests that are skipped.
	maxStrayResponses = 2
	// keepAliveMargin is subtracted from the time after which a target closes an
	// idle connection.
	keepAliveMargin = 300 * time.Millisecond
)

// Verdict says whether a target ran an attempt.
type Verdict uint8

const (
	// Answered means that the target answered this attempt, with whatever status.
	Answered Verdict = iota + 1
	// NotRun means that the target certainly didn't run the request.
	NotRun
	// Unknown means that the target may have run the request.
	Unknown
)

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string {
	switch v {
	case Answered:
		return "answered"
	case NotRun:
		return "not run"
	default:
		return "unknown"
	}
}

// Outcome is the result of one attempt.
type Outcome struct {
	Verdict Verdict
	// Status, Header and Body are the target's response, if there is one.
	Status int
	Header http.Header
	Body   []byte
	// Load is the load that the target reported.
	Load Load
	// ServiceTime is the time from the start of the attempt to the end of the
	// response, including the wait for a connection.
	ServiceTime time.Duration
	// ConnectFailed means that no connection could be made, so the target may be
	// gone.
	ConnectFailed bool
	// ConnectionLost means that the target closed the connection before the
	// response.
	ConnectionLost bool
	// OverConnectionLimit means that the target closed a connection that had
	// carried nothing yet, as targets do above their connection limit.
	OverConnectionLimit bool
	// TimedOut means that the deadline passed before the response.
	TimedOut bool
	// Cancelled means that the router cancelled the attempt.
	Cancelled bool
	// Withdrawn means that the router withdrew the attempt before it was sent.
	Withdrawn bool
	// PoolFull means that all connections that this router may have to the target are
	// in use.
	PoolFull bool
	// Garbled means that the bytes where the response was due on a kept connection were
	// no response to this request, as after surplus bytes of an earlier one.
	Garbled bool
	// Leaving means that the target said that it is about to stop, and BackOff how long
	// it wants no requests from this router, 0 if it didn't say.
	Leaving bool
	BackOff time.Duration
	// Limit is the target's rate limit.
	Limit targetLimit
	// WrongTarget means that another target answered at the address.
	WrongTarget bool
	// Cause is the failure, nil if there is a valid response.
	Cause error
}

// Success reports whether the target sent a complete, signed 2xx response.
func (o *Outcome) Success() bool {
	return o.Verdict == Answered && o.Status >= 200 && o.Status < 300
}

// noServerError reports whether the target answered with a status below 500.
func (o *Outcome) noServerError() bool {
	return o.Verdict == Answered && o.Status < http.StatusInternalServerError
}

// ProtocolError means that a target's bytes are not a valid response to the
// request.
type ProtocolError struct{ Reason string }

// Error describes the failure.
func (e *ProtocolError) Error() string { return "target's answer: " + e.Reason }

// attempt sends a request to one target once.
type attempt struct {
	headers  *HeaderNames
	pool     *connpool.Pool
	targetID string
	request  *request
	// deadline is when the response is no longer of use to the caller.
	deadline time.Time
	// sendState lets the attempt be withdrawn while it waits for a connection.
	sendState *sendState
	// mayStillSend reports whether the target may get the request at the moment when it
	// is sent. The choice of the target may be older.
	mayStillSend func() bool
	// memory bounds the bodies of responses, and cancel ends the wait for it.
	memory *response.Memory
	cancel <-chan struct{}
	// unacked reports whether the target's host hasn't acknowledged all that was sent.
	unacked func(*connpool.Conn) bool
	// onBadBackOff is called if the target's back-off time is malformed or too long.
	onBadBackOff func()
	// onBadLimit is called if the target's rate limit is malformed.
	onBadLimit func()
	// onSilent is called if it hasn't within ackTime.
	onSilent func()
}

// run sends the request and waits for its response. When ctx ends, no later than
// a.deadline, it closes the connection, which ends the work at the target.
func (a *attempt) run(ctx context.Context) Outcome {
	start := time.Now()
	a.cancel = ctx.Done()
	c, err := a.pool.Get(ctx, nil)
	if err != nil {
		a.sendState.markFailed()
		var limit *connpool.ConnectionLimitError
		poolFull := errors.As(err, &limit)
		reset := errors.Is(err, syscall.ECONNRESET)
		return Outcome{
			Verdict: NotRun, PoolFull: poolFull, ConnectFailed: !poolFull && !reset && ctx.Err() == nil, OverConnectionLimit: reset,
			Cancelled: errors.Is(ctx.Err(), context.Canceled), Cause: err, ServiceTime: time.Since(start),
		}
	}
	if !a.mayStillSend() {
		a.sendState.withdraw()
	}
	if !a.sendState.markSent() {
		c.Put()
		return Outcome{Verdict: NotRun, Withdrawn: true, Cause: &WithdrawnError{}, ServiceTime: time.Since(start)}
	}
	out := a.exchange(ctx, c)
	out.ServiceTime = time.Since(start)
	return out
}

// WithdrawnError means that an attempt was withdrawn before it was sent.
type WithdrawnError struct{}

// Error describes the failure.
func (*WithdrawnError) Error() string { return "withdrawn while waiting for a connection" }

// exchange sends the request over c, then returns c to the pool or closes it.
func (a *attempt) exchange(ctx context.Context, c *connpool.Conn) Outcome {
	if err := c.Net.SetDeadline(a.deadline); err != nil {
		c.Close()
		return Outcome{Verdict: NotRun, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Net.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	out, reusable := a.roundTrip(c)
	if out.Cause != nil {
		out.Cancelled = errors.Is(ctx.Err(), context.Canceled)
		out.TimedOut = !out.Cancelled && isTimeout(out.Cause)
		out.ConnectionLost = out.ConnectionLost && !out.Cancelled && !out.TimedOut
		out.OverConnectionLimit = out.ConnectionLost && !c.Reused
	}
	if !reusable || !stop() {
		c.Close()
		return out
	}
	c.Put()
	return out
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// roundTrip sends the request, reads the response and reports whether the
// connection can be reused.
func (a *attempt) roundTrip(c *connpool.Conn) (Outcome, bool) {
	written := make(chan error, 1)
	sent, err := a.send(c, written)
	if err != nil && sent == 0 {
		return Outcome{Verdict: NotRun, ConnectionLost: true, Cause: err}, false
	}
	if err != nil {
		return Outcome{Verdict: Unknown, ConnectionLost: true, Cause: err}, false
	}
	if len(a.request.body) > asyncBodyBytes {
		out, reusable := a.receive(c)
		return out, reusable && bodyWritten(written)
	}
	watch := startAckWatch(c, a.unacked, a.onSilent)
	out, reusable := a.receive(c)
	watch.stop()
	return out, reusable && bodyWritten(written)
}

// bodyWritten reports whether the whole request was written. If a target responds
// early, the rest of the body must not be read as the next request.
func bodyWritten(written <-chan error) bool {
	select {
	case err := <-written:
		return err == nil
	default:
		return false
	}
}

// send writes the request and returns the number of bytes written so far. A large
// body is written while the response is awaited; written receives the result.
func (a *attempt) send(c *connpool.Conn, written chan<- error) (int, error) {
	b := a.request.appendHead(c.RequestBuffer[:0], a.headers, a.targetID, time.Until(a.deadline))
	if len(a.request.body) <= asyncBodyBytes {
		b = append(b, a.request.body...)
		c.KeepRequestBuffer(b)
		n, err := c.Net.Write(b)
		written <- err
		return n, err
	}
	c.KeepRequestBuffer(b)
	n, err := c.Net.Write(b)
	if err != nil {
		return n, err
	}
	go func() {
		_, err := c.Net.Write(a.request.body)
		written <- err
	}()
	return n, nil
}

// receive reads the response and reports whether the connection can be reused.
func (a *attempt) receive(c *connpool.Conn) (Outcome, bool) {
	clean := true
	for range maxStrayResponses + 1 {
		resp, body, err := response.Read(c, a.request.method, response.Limits{
			HeadBytes: maxResponseHeadBytes, BodyBytes: a.bodyLimit(), Memory: a.memory, Hold: &a.request.bodies, Cancel: a.cancel,
		})
		if err != nil {
			return Outcome{Verdict: Unknown, ConnectionLost: connectionEnded(err), Garbled: c.Reused && isGarbage(err), Cause: err}, false
		}
		if resp.Header.Get(a.headers.RequestID) != a.request.id {
			clean = false
			continue
		}
		out := a.classify(resp, body)
		applyKeepAlive(c, resp)
		return out, clean && !resp.Close && c.Reader.Buffered() == 0
	}
	return Outcome{Verdict: Unknown, Garbled: c.Reused, Cause: &ProtocolError{Reason: "it belongs to other requests"}}, false
}

// isGarbage reports whether an error of response.Read means that the bytes are no head of
// a response.
func isGarbage(err error) bool {
	var (
		malformed *response.MalformedError
		tooLarge  *response.TooLargeError
	)
	return errors.As(err, &malformed) || errors.As(err, &tooLarge) && tooLarge.Part == response.Head
}

// bodyLimit returns the maximum size in bytes of a response's body. A part of a
// gathered response has few records, so that a target that sends bytes without end is
// left early.
func (a *attempt) bodyLimit() int64 {
	gather := a.request.route.Gather
	if gather == nil {
		return maxResponseBytes
	}
	return max(minPartLimit, partLimitFactor*int64(gather.TopK)*recordBytes)
}

// connectionEnded reports whether an error of response.Read means that the connection
// ended, rather than that the target sent something else than a response.
func connectionEnded(err error) bool {
	var (
		malformed *response.MalformedError
		tooLarge  *response.TooLargeError
		memory    *response.OutOfMemoryError
	)
	return !errors.As(err, &malformed) && !errors.As(err, &tooLarge) && !errors.As(err, &memory)
}

// classify determines the outcome of a response to this attempt.
func (a *attempt) classify(resp *http.Response, body []byte) Outcome {
	h := resp.Header
	out := Outcome{
		Verdict: Answered, Status: resp.StatusCode, Header: h, Body: body,
		Load:    parseLoad(h.Get(a.headers.Load), time.Now()),
		Leaving: isLeaving(h, a.headers),
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		out.BackOff = a.backOff(h)
	}
	if resp.StatusCode != http.StatusMisdirectedRequest {
		out.Limit = a.rateLimit(h)
	}
	switch {
	case h.Get(a.headers.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest:
		out.Verdict = NotRun
		out.WrongTarget = resp.StatusCode == http.StatusMisdirectedRequest
	case !out.Success():
	case h.Get(a.headers.Signature) == "":
		out.Verdict, out.Cause = Unknown, &ProtocolError{Reason: "a success without a signature"}
	case h.Get("Content-Encoding") != "":
		out.Verdict, out.Cause = Unknown, &ProtocolError{Reason: "an encoded body"}
	}
	return out
}

// applyKeepAlive sets when the connection expires from the Keep-Alive header of the
// response that it carried.
func applyKeepAlive(c *connpool.Conn, resp *http.Response) {
	c.SetAnswered()
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err == nil && seconds > 0 {
			c.SetIdleTimeout(time.Duration(seconds)*time.Second - keepAliveMargin)
		}
	}
}
