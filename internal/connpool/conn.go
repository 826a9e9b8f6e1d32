package connpool

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a connection that carries one request at a time. It must not be used
// concurrently; its user ends with Put or Close.
type Conn struct {
	// Net is the underlying connection, used for writes and deadlines.
	Net net.Conn
	// LimitedReader bounds the bytes that Reader may still read from Net. The
	// caller sets its N before each response.
	LimitedReader io.LimitedReader
	// Reader reads responses.
	Reader *bufio.Reader
	// RequestBuffer is an empty buffer to encode a request into, reused between
	// requests (see KeepRequestBuffer).
	RequestBuffer []byte
	// Reused reports whether the connection was taken from the idle ones.
	Reused bool

	pool *Pool
	raw  syscall.RawConn
	// idleExpiry is when the target closes the connection if it stays idle, or
	// zero if unknown.
	idleExpiry time.Time
	// idleSince is when the connection was put back.
	idleSince time.Time
	// answered means that the connection carried a response.
	answered bool
}

// Put returns c to the pool. It closes c if the pool is closed or above its
// maximum, or if c has unread data.
func (c *Conn) Put() {
	p := c.pool
	p.mu.Lock()
	c.idleSince = time.Now()
	if !p.closed && p.open <= p.maxConnections && c.Reader.Buffered() == 0 {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.Close()
}

// Close closes c and frees its place in the pool.
func (c *Conn) Close() {
	_ = c.Net.Close()
	c.pool.unreserve()
}

// alive reports whether the target has neither closed the idle connection nor
// sent unsolicited data. It doesn't block: it peeks at the socket's receive
// buffer, which is empty on a healthy idle connection. It clears the deadline.
func (c *Conn) alive() bool {
	if c.idleExpired() {
		return false
	}
	if c.raw == nil {
		return true
	}
	if err := c.Net.SetDeadline(time.Time{}); err != nil {
		return false
	}
	open := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// Unacked reports whether the target's host hasn't acknowledged all bytes written to
// c. It must not be called after Put or Close.
func (c *Conn) Unacked() bool {
	if c.raw == nil {
		return false
	}
	unacked := 0
	err := c.raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if err == nil {
			unacked = n
		}
	})
	return err == nil && unacked > 0
}

// closingSuspicious reports whether the closing of this idle connection is a sign
// that the target restarted. It isn't after the time that the target announced, nor
// before a first response, when that time is unknown.
func (c *Conn) closingSuspicious() bool { return c.answered && !c.idleExpired() }

func (c *Conn) idleExpired() bool { return !c.idleExpiry.IsZero() && time.Now().After(c.idleExpiry) }

// SetIdleTimeout sets after which time the target closes the connection if it
// stays idle from now on. An idle connection past that time is not reused, and its
// closing does not count as a sign of a restart. The time applies to connections
// that Open opens from now on, too.
func (c *Conn) SetIdleTimeout(d time.Duration) {
	c.idleExpiry = time.Now().Add(d)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.idleTimeout = d
}

// SetAnswered records that the connection carried a response.
func (c *Conn) SetAnswered() { c.answered = true }

// KeepRequestBuffer keeps b as the buffer for the connection's next request,
// unless its capacity is above maxKeptBufferSize.
func (c *Conn) KeepRequestBuffer(b []byte) {
	if cap(b) <= maxKeptBufferSize {
		c.RequestBuffer = b[:0]
	}
}
