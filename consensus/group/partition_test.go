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

func (p *partitions) setIsolated(id consensus.MemberID, isolated bool) {
	p.update(func() { p.isolated[id] = isolated })
}

// stallOpenConns permanently blocks the connections that were opened so far.
func (p *partitions) stallOpenConns() {
	p.update(func() { p.stalled = p.opened })
}

func (p *partitions) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// wrap returns conn with its traffic controlled by c.
func (p *partitions) wrap(conn net.Conn, from, to consensus.MemberID) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened++
	return &gatedConn{Conn: conn, partitions: p, from: from, to: to, number: p.opened, closed: make(chan struct{})}
}

// wait returns true once the connection's traffic is not blocked, false if it is
// closed.
func (p *partitions) wait(conn *gatedConn) bool {
	for {
		p.mu.Lock()
		blocked := p.isolated[conn.from] || p.isolated[conn.to] || conn.number <= p.stalled
		change := p.changed
		p.mu.Unlock()
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
