package group_test

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/group"
)

// cuts stops members' traffic without closing connections, as a network that
// drops all packets does.
type cuts struct {
	mu     sync.Mutex
	cut    map[consensus.MemberID]bool
	change chan struct{}
	// opened counts the connections, and silent how many of the first of them
	// carry nothing more.
	opened int
	silent int
}

func newCuts() *cuts {
	return &cuts{cut: map[consensus.MemberID]bool{}, change: make(chan struct{})}
}

func (c *cuts) set(id consensus.MemberID, cut bool) {
	c.update(func() { c.cut[id] = cut })
}

// silence stops the connections that are open now for good.
func (c *cuts) silence() {
	c.update(func() { c.silent = c.opened })
}

func (c *cuts) update(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
	close(c.change)
	c.change = make(chan struct{})
}

// wrap returns conn with its traffic under these cuts.
func (c *cuts) wrap(conn net.Conn, from, to consensus.MemberID) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opened++
	return &gatedConn{Conn: conn, cuts: c, from: from, to: to, number: c.opened, closed: make(chan struct{})}
}

// wait returns once the connection's traffic passes, false if it is closed.
func (c *cuts) wait(conn *gatedConn) bool {
	for {
		c.mu.Lock()
		blocked := c.cut[conn.from] || c.cut[conn.to] || conn.number <= c.silent
		change := c.change
		c.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-change:
		case <-conn.closed:
			return false
		}
	}
}

// gatedConn is a connection whose traffic can be cut.
type gatedConn struct {
	net.Conn
	cuts     *cuts
	from, to consensus.MemberID
	number   int
	closed   chan struct{}
	once     sync.Once
}

func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == nil && !c.cuts.wait(c) {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *gatedConn) Write(b []byte) (int, error) {
	if !c.cuts.wait(c) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *cluster) dialer(from consensus.MemberID) func(context.Context, netip.AddrPort) (drpc.Conn, error) {
	return func(ctx context.Context, addr netip.AddrPort) (drpc.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", addr.String())
		if err != nil {
			return nil, err
		}
		to := c.members[slices.IndexFunc(c.members, func(m group.Member) bool { return m.RPC == addr })].ID
		return drpcconn.New(c.cuts.wrap(conn, from, to)), nil
	}
}
