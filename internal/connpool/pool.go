// Package connpool pools TCP connections to one target. A connection carries one
// request at a time, and an idle one is checked for being open before reuse.
package connpool

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
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
