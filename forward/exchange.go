package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/peridotmux/peridotmux/internal/connpool"
)

const (
	// maxAnswerBytes bounds the body of a target's answer.
	maxAnswerBytes = 4 << 20
	// maxAnswerHead bounds the head of a target's answer.
	maxAnswerHead = 64 << 10
	// largeBody is the size of a request above which an answer may come before
	// the body is written.
	largeBody = 4 << 10
	// maxForeign bounds the answers to other requests that are passed over.
	maxForeign = 2
	// keepAliveMargin is kept from the time after which a target closes an idle
	// connection.
	keepAliveMargin = 300 * time.Millisecond
)

// Verdict says what became of one attempt.
type Verdict uint8

const (
	// Answered says that the target answered this attempt, whatever the status.
	Answered Verdict = iota + 1
	// NotRun says that the target certainly didn't run the request.
	NotRun
	// Unknown says that the target may have run the request.
	Unknown
)

// String returns the verdict's name in logs.
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

// Outcome is what came of one attempt.
type Outcome struct {
	Verdict Verdict
	// Status, Header and Body are the target's answer, if there is one.
	Status int
	Header http.Header
	Body   []byte
	// Load is what the target reported of itself.
	Load Load
	// ServiceTime is the time from sending to the end of the answer.
	ServiceTime time.Duration
	// ConnectFailed says that no connection could be made, so that the target may be gone.
	ConnectFailed bool
	// ConnectionLost says that the target ended the connection before the answer.
	ConnectionLost bool
	// OverConnectionLimit says that the target ended a connection that had carried nothing
	// yet, as it does when it has too many.
	OverConnectionLimit bool
	// TimedOut says that the time was over before the answer.
	TimedOut bool
	// Cancelled says that the router gave the attempt up.
	Cancelled bool
	// Withdrawn says that the router took the attempt back before it was handed over.
	Withdrawn bool
	// WrongTarget says that another target answered at the address.
	WrongTarget bool
	// Cause is the failure, nil if there is an answer.
	Cause error
}

// Success reports a whole 2xx answer that the target signed.
func (o *Outcome) Success() bool {
	return o.Verdict == Answered && o.Status >= 200 && o.Status < 300
}

// sound reports an answer that doesn't speak against the target.
func (o *Outcome) sound() bool {
	return o.Verdict == Answered && o.Status < http.StatusInternalServerError
}

// Load is what a target reports of itself.
type Load struct {
	Running, Waiting, Slots int
	// At is when it was reported, zero if never.
	At time.Time
}

// ProtocolError says that a target's bytes are no answer to the request.
type ProtocolError struct{ Reason string }

// Error describes the failure.
func (e *ProtocolError) Error() string { return "target's answer: " + e.Reason }

// attempt is one sending of a request to one target.
type attempt struct {
	dialect *HeaderNames
	pool    *connpool.Pool
	target  string
	request *request
	// until is when the answer is no longer of use to the caller.
	until time.Time
	// gate lets the attempt be withdrawn while it waits for a connection.
	gate *gate
}

// run sends the request and waits for its answer. It ends the work at the target
// by closing the connection when ctx ends, which is no later than a.until.
func (a *attempt) run(ctx context.Context) Outcome {
	begun := time.Now()
	c, err := a.pool.Get(ctx, nil)
	if err != nil {
		a.gate.fail()
		var limit *connpool.ConnectionLimitError
		full := errors.As(err, &limit)
		crowded := errors.Is(err, syscall.ECONNRESET)
		return Outcome{
			Verdict: NotRun, ConnectFailed: !full && !crowded && ctx.Err() == nil, OverConnectionLimit: crowded,
			Cancelled: errors.Is(ctx.Err(), context.Canceled), Cause: err, ServiceTime: time.Since(begun),
		}
	}
	if !a.gate.pass() {
		c.Put()
		return Outcome{Verdict: NotRun, Withdrawn: true, Cause: &WithdrawnError{}, ServiceTime: time.Since(begun)}
	}
	out := a.exchange(ctx, c)
	out.ServiceTime = time.Since(begun)
	return out
}

// WithdrawnError says that an attempt was taken back before it was handed over.
type WithdrawnError struct{}

// Error describes the failure.
func (*WithdrawnError) Error() string { return "withdrawn while it waited for a connection" }

func (a *attempt) exchange(ctx context.Context, c *connpool.Conn) Outcome {
	if err := c.Net.SetDeadline(a.until); err != nil {
		c.Close()
		return Outcome{Verdict: NotRun, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Net.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	out, reusable := a.trade(c)
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
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// trade sends the request, reads the answer and says whether the connection can
// be used again.
func (a *attempt) trade(c *connpool.Conn) (Outcome, bool) {
	written := make(chan error, 1)
	sent, err := a.send(c, written)
	if err != nil && sent == 0 {
		return Outcome{Verdict: NotRun, ConnectionLost: true, Cause: err}, false
	}
	if err != nil {
		return Outcome{Verdict: Unknown, ConnectionLost: true, Cause: err}, false
	}
	out, reusable := a.receive(c)
	return out, reusable && bodyWritten(written)
}

// bodyWritten reports whether the whole request was written. The rest of
// a request that was answered early must not reach the next one.
func bodyWritten(written <-chan error) bool {
	select {
	case err := <-written:
		return err == nil
	default:
		return false
	}
}

// send writes the request. A large one is written while the answer is awaited;
// written then tells how that ended.
func (a *attempt) send(c *connpool.Conn, written chan<- error) (int, error) {
	b := a.request.appendHead(c.RequestBuffer[:0], a.dialect, a.target, time.Until(a.until))
	if len(a.request.body) <= largeBody {
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

// receive reads the answer and says whether the connection can be used again.
func (a *attempt) receive(c *connpool.Conn) (Outcome, bool) {
	clean := true
	for range maxForeign + 1 {
		c.LimitedReader.N = maxAnswerBytes + maxAnswerHead
		resp, body, err := readAnswer(c, a.request.method)
		if err != nil {
			var protocol *ProtocolError
			return Outcome{Verdict: Unknown, ConnectionLost: !errors.As(err, &protocol), Cause: err}, false
		}
		if id := resp.Header.Get(a.dialect.RequestID); id != "" && id != a.request.id {
			clean = false
			continue
		}
		out := a.classify(resp, body)
		noteKeepAlive(c, resp)
		return out, clean && !resp.Close && c.Reader.Buffered() == 0
	}
	return Outcome{Verdict: Unknown, Cause: &ProtocolError{Reason: "it belongs to other requests"}}, false
}

func readAnswer(c *connpool.Conn, method string) (*http.Response, []byte, error) {
	for {
		resp, err := http.ReadResponse(c.Reader, &http.Request{Method: method})
		if err != nil {
			return nil, nil, answerError(err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		body, err := readBody(resp)
		if err != nil {
			return nil, nil, answerError(err)
		}
		return resp, body, nil
	}
}

// answerError tells bytes that aren't an answer from a connection that ended.
func answerError(err error) error {
	var network net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) {
		return err
	}
	return &ProtocolError{Reason: err.Error()}
}

func readBody(resp *http.Response) ([]byte, error) {
	n := resp.ContentLength
	switch {
	case n > maxAnswerBytes:
		return nil, &ProtocolError{Reason: "it is too large"}
	case n == 0:
		return nil, nil
	case n > 0:
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	var buf bytes.Buffer
	read, err := buf.ReadFrom(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if read > maxAnswerBytes {
		return nil, &ProtocolError{Reason: "it is too large"}
	}
	return buf.Bytes(), nil
}

// classify types an answer to this attempt.
func (a *attempt) classify(resp *http.Response, body []byte) Outcome {
	h := resp.Header
	out := Outcome{
		Verdict: Answered, Status: resp.StatusCode, Header: h, Body: body,
		Load: parseLoad(h.Get(a.dialect.Load), time.Now()),
	}
	switch {
	case h.Get(a.dialect.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest:
		out.Verdict = NotRun
		out.WrongTarget = resp.StatusCode == http.StatusMisdirectedRequest
	case !out.Success():
	case h.Get(a.dialect.Signature) == "":
		out.Verdict, out.Cause = Unknown, &ProtocolError{Reason: "a success without a signature"}
	case h.Get("Content-Encoding") != "":
		out.Verdict, out.Cause = Unknown, &ProtocolError{Reason: "an encoded body"}
	}
	return out
}

// noteKeepAlive notes when the target closes the idle connection.
func noteKeepAlive(c *connpool.Conn, resp *http.Response) {
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err == nil && seconds > 0 {
			c.SetIdleExpiry(time.Now().Add(time.Duration(seconds)*time.Second - keepAliveMargin))
		}
	}
}

func parseLoad(text string, now time.Time) Load {
	fields := strings.Split(text, ",")
	if len(fields) != 3 {
		return Load{}
	}
	var n [3]int
	for i, f := range fields {
		v, err := strconv.Atoi(strings.TrimSpace(f))
		if err != nil || v < 0 {
			return Load{}
		}
		n[i] = v
	}
	return Load{Running: n[0], Waiting: n[1], Slots: n[2], At: now}
}
