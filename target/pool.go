package target

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
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 16 << 10
)

// ConnectionLimitError says that all connections to a target are in use.
type ConnectionLimitError struct{ Limit int }

// Error implements error.
func (e *ConnectionLimitError) Error() string { return "connection limit reached" }

// pool holds the connections to one target.
type pool struct {
	client *Client
	addr   netip.AddrPort
	host   string

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
	// suspect is set once the target closed a connection, until it answers.
	suspect bool
}

// conn is one connection, used by one request at a time.
type conn struct {
	pool *pool
	nc   net.Conn
	raw  syscall.RawConn
	lim  io.LimitedReader
	br   *bufio.Reader
	out  []byte
}

func newPool(c *Client, addr netip.AddrPort) *pool {
	return &pool{client: c, addr: addr, host: addr.String()}
}

// ClosedIdleError says that the target closed an idle connection and that the
// search therefore wasn't sent.
type ClosedIdleError struct{}

// Error implements error.
func (*ClosedIdleError) Error() string { return "the target closed an idle connection" }

// get returns an idle connection that is still open, or a new one. If the
// target closed a connection since its last answer, closedIdle, unless nil,
// decides about a new one.
func (p *pool) get(ctx context.Context, closedIdle func() bool) (*conn, error) {
	for {
		c := p.takeIdle()
		if c == nil {
			if closedIdle != nil && p.suspected() && !closedIdle() {
				return nil, &ClosedIdleError{}
			}
			return p.dial(ctx)
		}
		if c.alive() {
			return c, nil
		}
		p.setSuspect(true)
		c.drop()
	}
}

func (p *pool) setSuspect(suspect bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspect = suspect
}

func (p *pool) suspected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspect
}

func (p *pool) takeIdle() *conn {
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

func (p *pool) dial(ctx context.Context) (*conn, error) {
	if !p.reserve() {
		return nil, &ConnectionLimitError{Limit: p.client.opts.MaxConnections}
	}
	ctx, cancel := context.WithTimeout(ctx, p.client.opts.ConnectTimeout)
	defer cancel()
	nc, err := p.client.dialer.DialContext(ctx, "tcp", p.host)
	if err != nil {
		p.unreserve()
		return nil, err
	}
	c := &conn{pool: p, nc: nc}
	c.lim.R = nc
	c.br = bufio.NewReaderSize(&c.lim, readBuffer)
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	return c, nil
}

func (p *pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.client.opts.MaxConnections {
		return false
	}
	p.open++
	return true
}

func (p *pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// close closes idle connections now and the others when they are put back.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.mu.Unlock()
	for _, c := range idle {
		c.drop()
	}
}

// put gives c back for other requests.
func (c *conn) put() {
	p := c.pool
	p.mu.Lock()
	if !p.closed && c.br.Buffered() == 0 {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.drop()
}

// drop closes c.
func (c *conn) drop() {
	_ = c.nc.Close()
	c.pool.unreserve()
}

// alive reports whether the target has neither closed the idle connection nor
// sent something unasked. It doesn't block.
func (c *conn) alive() bool {
	if c.raw == nil {
		return true
	}
	if err := c.nc.SetDeadline(time.Time{}); err != nil {
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
