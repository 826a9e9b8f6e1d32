package target

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/internal/connpool"
	"github.com/peridotmux/peridotmux/internal/response"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// DefaultMaxConnections bounds the connections to one target.
	DefaultMaxConnections = 24
	// DefaultConnectTimeout bounds the time to establish a connection.
	DefaultConnectTimeout = 250 * time.Millisecond
	// DefaultCancelWait bounds how long a cancelled search waits for the target
	// to confirm that it ended.
	DefaultCancelWait = 50 * time.Millisecond
	// deadlineGrace is how long to wait past the deadline for the target's
	// StatusTooLate, so that the connection can be reused.
	deadlineGrace = 25 * time.Millisecond
	// answerMemory bounds the bytes of the answers of all targets that are being
	// read.
	answerMemory = 32 << 20
)

// Options configures a Client. Zero fields take the defaults.
type Options struct {
	// MaxConnections bounds the connections to one target.
	MaxConnections int
	// ConnectTimeout bounds the time to establish a connection.
	ConnectTimeout time.Duration
	// CancelWait bounds how long a cancelled search waits for the target to confirm
	// that it ended.
	CancelWait time.Duration
	// LocalAddr is the source address of connections, if it is valid.
	LocalAddr netip.Addr
}

// Client is the Searcher over HTTP/1.1. It follows no redirects, uses no proxy
// and never sends a search twice.
//
// It manages its own connections because whether a failed search may be retried
// depends on whether any byte of it was handed to the kernel. http.Transport does
// not expose that, and may resend a request by itself.
type Client struct {
	opts    Options
	dialer  net.Dialer
	attempt atomic.Uint64
	memory  *response.Memory

	mu    sync.Mutex
	pools map[topology.TargetID]*connpool.Pool
}

var _ Searcher = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient(o Options) *Client {
	if o.MaxConnections == 0 {
		o.MaxConnections = DefaultMaxConnections
	}
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = DefaultConnectTimeout
	}
	if o.CancelWait == 0 {
		o.CancelWait = DefaultCancelWait
	}
	c := &Client{opts: o, memory: response.NewMemory(answerMemory, nil), pools: make(map[topology.TargetID]*connpool.Pool)}
	c.dialer.KeepAlive = time.Minute
	if o.LocalAddr.IsValid() {
		c.dialer.LocalAddr = &net.TCPAddr{IP: o.LocalAddr.AsSlice()}
	}
	c.attempt.Store(randomAttemptBase())
	return c
}

// randomAttemptBase returns a random first attempt number, so that the numbers of
// different clients don't collide.
func randomAttemptBase() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error.
	return binary.LittleEndian.Uint64(b[:])
}

// Search implements Searcher.
func (c *Client) Search(ctx context.Context, s Search) Outcome {
	a := attempt{
		client: c,
		search: s,
		pool:   c.pool(s.Target),
		number: strconv.FormatUint(c.attempt.Add(1), 10),
		memory: c.memory,
	}
	begun := time.Now()
	out := a.run(ctx)
	out.ServiceTime = time.Since(begun)
	return out
}

// Release implements Searcher. Connections in use are closed after their search.
func (c *Client) Release(id topology.TargetID) {
	c.mu.Lock()
	p := c.pools[id]
	delete(c.pools, id)
	c.mu.Unlock()
	if p != nil {
		p.Close()
	}
}

// Close closes the connections to all targets.
func (c *Client) Close() {
	c.mu.Lock()
	pools := c.pools
	c.pools = make(map[topology.TargetID]*connpool.Pool)
	c.mu.Unlock()
	for _, p := range pools {
		p.Close()
	}
}

// pool returns the connection pool of t. If the address of the target changed, it
// closes the old pool and returns a new one.
func (c *Client) pool(t *topology.Target) *connpool.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[t.ID]
	if p != nil && p.Addr() == t.Addr {
		return p
	}
	if p != nil {
		go p.Close()
	}
	p = connpool.New(t.Addr, connpool.Options{
		MaxConnections: c.opts.MaxConnections, ConnectTimeout: c.opts.ConnectTimeout, Dialer: &c.dialer,
	})
	c.pools[t.ID] = p
	return p
}
