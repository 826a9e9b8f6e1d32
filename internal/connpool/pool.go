// Package connpool pools TCP connections to one target. A connection carries one
// request at a time, and an idle one is checked for being open before reuse.
package connpool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4 << 10
	// maxKeptBufferSize is the largest request buffer, in bytes, that a connection
	// keeps for reuse.
	maxKeptBufferSize = 16 << 10
	// idleCheckInterval is the time between two checks of the idle connections.
	idleCheckInterval = 5 * time.Second
)

// ConnectionLimitError reports that the maximum number of connections to a
// target is open and none of them is idle.
type ConnectionLimitError struct {
	// Limit is Options.MaxConnections, regardless of SetMaxConnections.
	Limit int
}

// Error implements error.
func (e *ConnectionLimitError) Error() string { return "connection limit reached" }

// Options configures a Pool.
type Options struct {
	// MaxConnections is the maximum number of open connections to the target.
	MaxConnections int
	// ConnectTimeout bounds each dial.
	ConnectTimeout time.Duration
	Dialer         *net.Dialer
}

// Pool holds the connections to one target. Its methods may be called
// concurrently.
type Pool struct {
	opts Options
	addr netip.AddrPort
	host string // addr as text

	mu             sync.Mutex
	maxConnections int
	// idle is used as a stack: the last element was put back last.
	idle []*Conn
	// open counts idle and in-use connections and dials in progress.
	open   int
	closed bool
	// idleTimeout is the time after which the target closes idle connections, 0 if
	// unknown.
	idleTimeout time.Duration
	// checkedAt is when Trim last checked the idle connections.
	checkedAt time.Time
	// suspected is set while the target may have restarted: it closed a
	// connection and has sent no response since.
	suspected bool
}

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

// New returns a pool without connections for the target at addr.
func New(addr netip.AddrPort, o Options) *Pool {
	return &Pool{opts: o, maxConnections: o.MaxConnections, addr: addr, host: addr.String()}
}

// SetMaxConnections sets the maximum number of open connections. Connections
// above it are closed when they are put back.
func (p *Pool) SetMaxConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConnections = n
}

// RestartSuspected reports whether the target may have restarted: it closed a
// connection and has sent no response since.
func (p *Pool) RestartSuspected() bool { return p.restartSuspected() }

// Addr returns the target's address.
func (p *Pool) Addr() netip.AddrPort { return p.addr }

// Host returns the target's address as "host:port".
func (p *Pool) Host() string { return p.host }

// NumOpen returns the number of open connections, idle and in use, plus the
// dials in progress.
func (p *Pool) NumOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// ClosedIdleError reports that the target closed an idle connection and that
// the request was therefore not sent.
type ClosedIdleError struct{}

// Error implements error.
func (*ClosedIdleError) Error() string { return "the target closed an idle connection" }

// Get returns an idle connection that is still open, or dials a new one. While a
// restart of the target is suspected, it dials only if allowReconnect is nil or
// returns true, and otherwise returns a *ClosedIdleError. If the maximum number
// of connections is open, it returns a *ConnectionLimitError.
func (p *Pool) Get(ctx context.Context, allowReconnect func() bool) (*Conn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			if allowReconnect != nil && p.restartSuspected() && !allowReconnect() {
				return nil, &ClosedIdleError{}
			}
			return p.dial(ctx)
		}
		if c.alive() {
			c.Reused = true
			return c, nil
		}
		if c.closingSuspicious() {
			p.SetRestartSuspected(true)
		}
		c.Close()
	}
}

// SetRestartSuspected sets whether the target may have restarted.
func (p *Pool) SetRestartSuspected(suspected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspected = suspected
}

func (p *Pool) restartSuspected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspected
}

// popIdle returns the connection that was put back last, or nil.
func (p *Pool) popIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	if !p.reserve() {
		return nil, &ConnectionLimitError{Limit: p.opts.MaxConnections}
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.ConnectTimeout)
	defer cancel()
	nc, err := p.opts.Dialer.DialContext(ctx, "tcp", p.host)
	if err != nil {
		p.unreserve()
		return nil, err
	}
	c := &Conn{pool: p, Net: nc}
	c.LimitedReader.R = nc
	c.Reader = bufio.NewReaderSize(&c.LimitedReader, readBufferSize)
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	return c, nil
}

// Open opens a connection and keeps it idle. The error is that of the dial, or a
// *ConnectionLimitError.
func (p *Pool) Open(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.mu.Lock()
	if p.idleTimeout > 0 {
		c.idleExpiry = time.Now().Add(p.idleTimeout)
	}
	p.mu.Unlock()
	c.Put()
	return nil
}

// reserve counts a connection as open unless the maximum is reached.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.maxConnections {
		return false
	}
	p.open++
	return true
}

func (p *Pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// CloseIdle closes the idle connections. It is used when they may be dead
// without having been closed by the target.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// NumIdle returns the number of idle connections.
func (p *Pool) NumIdle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// HasRoom reports whether a connection is idle or another one may be opened.
func (p *Pool) HasRoom() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 || p.open < p.maxConnections
}

// Trim closes the connections that have been idle since before idleBefore. For
// the one that was put back last, lastIdleBefore applies instead. Now and then it
// also closes those that the target closed or sent unsolicited bytes on, which
// would otherwise fill the receive buffer.
func (p *Pool) Trim(idleBefore, lastIdleBefore time.Time) {
	p.mu.Lock()
	check := time.Since(p.checkedAt) >= idleCheckInterval
	if check {
		p.checkedAt = time.Now()
	}
	keep := p.idle[:0:0]
	var drop []*Conn
	for i, c := range p.idle {
		cutoff := idleBefore
		if i == len(p.idle)-1 {
			cutoff = lastIdleBefore
		}
		dead := c.idleExpired() || check && !c.alive()
		if dead && c.closingSuspicious() {
			p.suspected = true
		}
		if dead || c.idleSince.Before(cutoff) {
			drop = append(drop, c)
			continue
		}
		keep = append(keep, c)
	}
	p.idle = keep
	p.mu.Unlock()
	for _, c := range drop {
		c.Close()
	}
}

// Close closes the idle connections now and those in use when they are put back.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
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
