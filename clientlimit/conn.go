package clientlimit

import (
	"errors"
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// baseBytes is what an open connection costs: its buffers, stacks and descriptors.
	baseBytes = 20 << 10
	// freeHeadBytes is the part of a head that baseBytes covers.
	freeHeadBytes = 1 << 10
	// headFactor is how much memory a byte of a head may take while it is parsed: many
	// short fields take the most.
	headFactor = 20
	// parsedFactor and fieldBytes are what a byte and a field of a parsed head take.
	parsedFactor = 2
	fieldBytes   = 160
	// messageFactor is what a byte of an incomplete message between processes takes: its
	// buffer grows by doubling, and the one before is there until it is copied.
	messageFactor = 3
	// answerStall is how long an answer may make no progress before its connection is
	// closed.
	answerStall = 5 * time.Second
	// answerRefresh is the time between two extensions of an answer's time.
	answerRefresh = time.Second
	// minAnswerRate is the rate, in bytes per second, below which an answer is cut after
	// answerStall.
	minAnswerRate = 8 << 10
	// slowPiece is how long the caller may take for a piece of an answer before the answer
	// may be cut if unread answers take too much: 16 KiB in 50 ms are 2.6 Mbit/s, besides
	// what the kernel buffers.
	slowPiece = 50 * time.Millisecond
	// settleTime is how long an answer may take to be flushed after its handler returned.
	settleTime = time.Second
	// writePiece is the part of an answer after which its progress is noted, in bytes.
	writePiece = 16 << 10
	// socketBuffer bounds the kernel's buffers of a caller's connection, in bytes, in each
	// direction. Otherwise they grow to some MiB, which the VM's memory includes.
	socketBuffer = 64 << 10
)

// phase is where a connection is in the life of a request.
type phase int32

const (
	// phaseOpen waits for the first byte of a request.
	phaseOpen phase = iota
	phaseHead
	phaseBody
	// phaseHandled is a request that was handed on.
	phaseHandled
	// phaseAfter is a request whose handler has returned. Its answer may be being flushed.
	phaseAfter
	// phaseRefused is a request whose handler has returned without handing it on.
	phaseRefused
	phaseClosed
)

// Conn is a client's connection on the account. All methods of a nil *Conn, which stands
// for a connection without an account, do nothing and allow everything.
type Conn struct {
	net.Conn
	account *Account
	class   Class
	phase   atomic.Int32
	// since is when the phase began, in ns since the account's start.
	since atomic.Int64
	// request is the bytes of the request or message in progress, and answers those of
	// the answer that is being written.
	request, answers atomic.Int64
	served           atomic.Int64
	// head is the number of bytes read since the last request.
	head atomic.Int64
	// early means that bytes arrived after a request was handed on and before its answer
	// was begun.
	early, wrote atomic.Bool
	pipelined    atomic.Bool
	// refused means that the request in progress is refused, so that it is no progress.
	refused atomic.Bool
	// expected means that the request counts among those whose answers are to come.
	expected atomic.Bool
	// answerSince is when the caller last took a piece of the answer that is being written,
	// in ns since the account's start, 0 if none is.
	answerSince atomic.Int64
	// writeUntil is the deadline of writes, in ns since the account's start.
	writeUntil atomic.Int64
	released   atomic.Bool
	messages   messageCounter
}

// enter begins a phase from now on, unless the connection was closed.
func (c *Conn) enter(to phase) bool {
	c.since.Store(int64(c.account.now()))
	return c.move(to)
}

// move changes the phase, but not the time from which the client's progress counts, unless
// the connection was closed.
func (c *Conn) move(to phase) bool {
	for {
		p := c.phase.Load()
		if phase(p) == phaseClosed {
			return false
		}
		if c.phase.CompareAndSwap(p, int32(to)) {
			return true
		}
	}
}

// Take adds n bytes to what the request in progress holds. It reports false if the client
// is to be refused.
func (c *Conn) Take(n int64) bool {
	if c == nil {
		return true
	}
	if c.released.Load() || !c.account.take(c, n) {
		return false
	}
	c.request.Add(n)
	if c.released.Load() {
		c.account.held.Add(-c.request.Swap(0))
		return false
	}
	return true
}

// Give returns n bytes of those that Take added.
func (c *Conn) Give(n int64) {
	if c == nil {
		return
	}
	if left := c.request.Add(-n); left < 0 {
		// The connection was closed, which returned all of them.
		c.request.Add(n)
		return
	}
	c.account.held.Add(-n)
}

// giveAll returns all bytes of the request in progress.
func (c *Conn) giveAll() {
	if n := c.request.Swap(0); n != 0 {
		c.account.held.Add(-n)
	}
}

// holder returns what the connection holds.
func (c *Conn) holder(now time.Duration) Holder {
	waiting := now - time.Duration(c.since.Load())
	h := Holder{Bytes: baseBytes + c.request.Load() + c.answers.Load(), Waiting: waiting, Served: c.served.Load()}
	if since := c.answerSince.Load(); since != 0 {
		h.Waiting = now - time.Duration(since)
	}
	switch phase(c.phase.Load()) {
	case phaseOpen, phaseHead, phaseBody, phaseRefused:
		h.Closable = true
	case phaseHandled:
		h.Closable = c.class == Peers && c.request.Load() > 0 && waiting > settleTime
	case phaseAfter:
		h.Closable = waiting > settleTime && c.answerSince.Load() == 0
	case phaseClosed:
	}
	return h
}

// answerIsStalled reports whether an answer is being written whose caller hardly reads it.
func (c *Conn) answerIsStalled(now time.Duration) bool {
	since := c.answerSince.Load()
	return since != 0 && now-time.Duration(since) > slowPiece
}

// evict closes the connection if it may still be closed: for an answer that isn't read, if
// it still isn't. It reports whether it closed it.
func (c *Conn) evict(why cause) bool {
	p := c.phase.Load()
	now := c.account.now()
	closable := c.holder(now).Closable
	if why == causeAnswer {
		closable = c.answerIsStalled(now)
	}
	if !closable || !c.phase.CompareAndSwap(p, int32(phaseClosed)) {
		return false
	}
	c.account.reports.add(c.class, why)
	_ = c.Close()
	return true
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.released.CompareAndSwap(false, true) {
		c.phase.Store(int32(phaseClosed))
		c.account.forget(c)
		c.account.held.Add(-baseBytes)
		c.giveAll()
	}
	return c.Conn.Close()
}

// CloseWrite shuts down the sending side, so that an http.Server can send a refusal before
// it closes a connection whose client is still sending.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Read implements net.Conn. What was read of a head or of a message between processes is
// on the account before more of it is read.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	if c.class == Peers {
		return c.readMessage(p, n, err)
	}
	switch phase(c.phase.Load()) {
	case phaseOpen:
		c.enter(phaseHead)
		return c.readHead(n, err)
	case phaseHead:
		return c.readHead(n, err)
	case phaseBody:
		// Parsing hundreds of bodies of tiny chunks would otherwise take the processor for
		// 10 ms each, and ordinary requests would wait for a turn several times.
		runtime.Gosched()
	case phaseHandled:
		if !c.wrote.Load() {
			c.early.Store(true)
		}
	case phaseAfter, phaseRefused, phaseClosed:
	}
	return n, err
}

// readHead notes n bytes of a head.
func (c *Conn) readHead(n int, err error) (int, error) {
	before := c.head.Load()
	after := c.head.Add(int64(n))
	if more := max(after, freeHeadBytes) - max(before, freeHeadBytes); more > 0 && !c.Take(more*headFactor) {
		c.account.reports.add(c.class, causeMemory)
		// For other errors than those of a connection, an http.Server answers 400.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: &ShortError{}}
	}
	return n, err
}

// readMessage notes n bytes of messages between processes.
func (c *Conn) readMessage(p []byte, n int, err error) (int, error) {
	pending, complete := c.messages.add(p[:n])
	if complete && phase(c.phase.Load()) != phaseHandled {
		c.enter(phaseHandled)
		c.served.Add(1)
	}
	held := c.request.Load()
	want := pending * messageFactor
	switch {
	case want < held:
		c.Give(held - want)
	case want > held:
		if held == 0 {
			c.since.Store(int64(c.account.now()))
		}
		if !c.Take(want - held) {
			c.account.reports.add(c.class, causeMemory)
			return 0, &ShortError{}
		}
	}
	return n, err
}

// SetWriteDeadline implements net.Conn. An http.Server removes the deadline after each
// request; that of a caller's answers stays, and Write extends it.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if c.class == Callers && t.IsZero() {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. A caller's answer is on the account until it is written, and
// the connection ends if the caller doesn't take it.
func (c *Conn) Write(p []byte) (int, error) {
	if c.class != Callers {
		return c.Conn.Write(p)
	}
	c.wrote.Store(true)
	size := int64(len(p))
	c.answers.Store(size)
	c.account.noteAnswer(size)
	if c.account.answers.Add(size) > c.account.limits.Bytes/answersDivisor {
		c.account.limitAnswers()
	}
	began := c.account.now()
	c.answerSince.Store(int64(began))
	defer func() {
		c.answerSince.Store(0)
		c.answers.Store(0)
		c.account.answers.Add(-size)
	}()
	now := began
	for sent := 0; ; now = c.account.now() {
		if c.writeUntil.Load()-int64(now) < int64(answerStall-answerRefresh) {
			c.writeUntil.Store(int64(now + answerStall))
			_ = c.SetWriteDeadline(time.Now().Add(answerStall)) // Fails only if it is closed.
		}
		n, err := c.Conn.Write(p[sent:min(len(p), sent+writePiece)])
		sent += n
		switch {
		case err == nil && sent == len(p):
			return sent, nil
		case err == nil:
			c.answerSince.Store(int64(c.account.now()))
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return sent, err
		case n == 0 || float64(sent) < (c.account.now()-began-answerStall).Seconds()*minAnswerRate:
			c.report(causeAnswer)
			return sent, err
		default:
			c.writeUntil.Store(0) // It makes progress and goes on.
		}
	}
}
