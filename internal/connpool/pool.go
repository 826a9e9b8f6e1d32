// Package connpool keeps connections to one target, each used by one request
// at a time, and knows whether an idle one is still open.
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
)

const (
	readBuffer = 4 << 10
	// largestKept bounds the request buffer that a connection keeps.
	largestKept = 16 << 10
)

// ConnectionLimitError says that all connections to a target are in use.
type ConnectionLimitError struct{ Limit int }

// Error implements error.
func (e *ConnectionLimitError) Error() string { return "connection limit reached" }

// Options sets up a Pool.
type Options struct {
	// MaxConnections bounds the connections to the target.
	MaxConnections int
	ConnectTimeout time.Duration
	Dialer         *net.Dialer
}

// Pool holds the connections to one target.
type Pool struct {
	opts Options
	addr netip.AddrPort
	host string

	mu     sync.Mutex
	most   int
	idle   []*Conn
	open   int
	closed bool
	// suspect is set once the target closed a connection, until it answers.
	suspect bool
}

// Conn is one connection, used by one request at a time.
type Conn struct {
	// Net is the connection itself, for writing and deadlines.
	Net net.Conn
	// LimitedReader bounds what Reader may still read.
	LimitedReader io.LimitedReader
	// Reader reads answers.
	Reader *bufio.Reader
	// RequestBuffer is a buffer for requests, kept between them.
	RequestBuffer []byte
	// Reused says that the connection carried a request before.
	Reused bool

	pool *Pool
	raw  syscall.RawConn
	// expires is when the target closes the idle connection, zero if unknown.
	expires time.Time
	// idleSince is when the connection was put back.
	idleSince time.Time
}

// New returns a pool without connections.
func New(addr netip.AddrPort, o Options) *Pool {
	return &Pool{opts: o, most: o.MaxConnections, addr: addr, host: addr.String()}
}

// SetMaxConnections changes the bound. Connections above it are closed when they
// are put back.
func (p *Pool) SetMaxConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = n
}

// RestartSuspected reports whether the target closed a connection since its last answer.
func (p *Pool) RestartSuspected() bool { return p.suspected() }

// Addr returns the target's address.
func (p *Pool) Addr() netip.AddrPort { return p.addr }

// Host returns the target's address as text.
func (p *Pool) Host() string { return p.host }

// NumOpen returns the number of open connections.
func (p *Pool) NumOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// ClosedIdleError says that the target closed an idle connection and that the
// search therefore wasn't sent.
type ClosedIdleError struct{}

// Error implements error.
func (*ClosedIdleError) Error() string { return "the target closed an idle connection" }

// Get returns an idle connection that is still open, or a new one. If the
// target closed a connection since its last answer, closedIdle, unless nil,
// decides about a new one.
func (p *Pool) Get(ctx context.Context, closedIdle func() bool) (*Conn, error) {
	for {
		c := p.takeIdle()
		if c == nil {
			if closedIdle != nil && p.suspected() && !closedIdle() {
				return nil, &ClosedIdleError{}
			}
			return p.dial(ctx)
		}
		if c.alive() {
			c.Reused = true
			return c, nil
		}
		if !c.expired() {
			p.SetRestartSuspected(true)
		}
		c.Close()
	}
}

// SetRestartSuspected notes whether the target may have restarted.
func (p *Pool) SetRestartSuspected(suspect bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspect = suspect
}

func (p *Pool) suspected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspect
}

func (p *Pool) takeIdle() *Conn {
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
	c.Reader = bufio.NewReaderSize(&c.LimitedReader, readBuffer)
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	return c, nil
}

func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.most {
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

// CloseIdle closes the idle connections, for when they may have gone silent.
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

// Trim closes the connections that have been idle since before a time, and the
// one used last if it has been idle since before last.
func (p *Pool) Trim(before, last time.Time) {
	p.mu.Lock()
	keep := p.idle[:0:0]
	var drop []*Conn
	for i, c := range p.idle {
		limit := before
		if i == len(p.idle)-1 {
			limit = last
		}
		if c.idleSince.Before(limit) {
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

// Close closes idle connections now and the others when they are put back.
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

// Put gives c back for other requests.
func (c *Conn) Put() {
	p := c.pool
	p.mu.Lock()
	c.idleSince = time.Now()
	if !p.closed && p.open <= p.most && c.Reader.Buffered() == 0 {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.Close()
}

// Close closes c.
func (c *Conn) Close() {
	_ = c.Net.Close()
	c.pool.unreserve()
}

// alive reports whether the target has neither closed the idle connection nor
// sent something unasked. It doesn't block.
func (c *Conn) alive() bool {
	if c.expired() {
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

func (c *Conn) expired() bool { return !c.expires.IsZero() && time.Now().After(c.expires) }

// SetIdleExpiry notes when the target closes the connection if it stays idle.
func (c *Conn) SetIdleExpiry(at time.Time) { c.expires = at }

// KeepRequestBuffer keeps a small buffer for the connection's next request.
func (c *Conn) KeepRequestBuffer(b []byte) {
	if cap(b) <= largestKept {
		c.RequestBuffer = b[:0]
	}
}
