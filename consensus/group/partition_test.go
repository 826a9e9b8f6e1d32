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

// partitions blocks traffic between members without closing the connections, like
// a network that drops all packets.
type partitions struct {
	mu       sync.Mutex
	isolated map[consensus.MemberID]bool
	changed  chan struct{}
	// opened counts the connections. The first stalled ones of them are blocked
	// permanently.
	opened  int
	stalled int
}

func newPartitions() *partitions {
	return &partitions{isolated: map[consensus.MemberID]bool{}, changed: make(chan struct{})}
}

func (c *partitions) setIsolated(id consensus.MemberID, isolated bool) {
	c.update(func() { c.isolated[id] = isolated })
}

// stallOpenConns permanently blocks the connections that were opened so far.
func (c *partitions) stallOpenConns() {
	c.update(func() { c.stalled = c.opened })
}

func (c *partitions) update(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
	close(c.changed)
	c.changed = make(chan struct{})
}

// wrap returns conn with its traffic controlled by c.
func (c *partitions) wrap(conn net.Conn, from, to consensus.MemberID) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opened++
	return &gatedConn{Conn: conn, partitions: c, from: from, to: to, number: c.opened, closed: make(chan struct{})}
}

// wait returns true once the connection's traffic is not blocked, false if it is
// closed.
func (c *partitions) wait(conn *gatedConn) bool {
	for {
		c.mu.Lock()
		blocked := c.isolated[conn.from] || c.isolated[conn.to] || conn.number <= c.stalled
		change := c.changed
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

// gatedConn is a connection whose traffic can be blocked.
type gatedConn struct {
	net.Conn
	partitions *partitions
	from, to   consensus.MemberID
	number     int
	closed     chan struct{}
	once       sync.Once
}

func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == nil && !c.partitions.wait(c) {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *gatedConn) Write(b []byte) (int, error) {
	if !c.partitions.wait(c) {
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
		return drpcconn.New(c.partitions.wrap(conn, from, to)), nil
	}
}
