package standin

import (
	"net"
	"sync"
	"time"
)

// listener limits the open connections and delays the first read of each to
// model the cost of a new connection.
type listener struct {
	net.Listener
	limit       int
	connectCost time.Duration
	ledger      *Ledger

	mu   sync.Mutex
	open map[*connection]struct{}
}

// connection returns no bytes before readyAt.
type connection struct {
	net.Conn
	l       *listener
	readyAt time.Time
	once    sync.Once
}

func newListener(inner net.Listener, o Options, ledger *Ledger) *listener {
	return &listener{
		Listener:    inner,
		limit:       o.MaxConnections,
		connectCost: o.ConnectCost,
		ledger:      ledger,
		open:        make(map[*connection]struct{}),
	}
}

// Accept implements net.Listener. Connections over the limit are reset.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: inner, l: l, readyAt: time.Now().Add(l.connectCost)}
		if l.add(c) {
			return c, nil
		}
		reset(inner)
		l.ledger.updateTotals(func(t *Totals) { t.RefusedConnections++ })
	}
}

// add tracks c. It reports false if the limit is reached.
func (l *listener) add(c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.open) >= l.limit {
		return false
	}
	l.open[c] = struct{}{}
	n := len(l.open)
	l.ledger.updateTotals(func(t *Totals) { t.MaxConnections = max(t.MaxConnections, n) })
	return true
}

// resetAll resets all connections, as the kernel does when a process crashes.
func (l *listener) resetAll() {
	l.mu.Lock()
	open := make([]*connection, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		reset(c.Conn)
		_ = c.Close()
	}
}

// reset closes c with a TCP reset instead of a regular close.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Read implements net.Conn.
func (c *connection) Read(b []byte) (int, error) {
	if !c.readyAt.IsZero() {
		time.Sleep(time.Until(c.readyAt))
		c.readyAt = time.Time{}
	}
	return c.Conn.Read(b)
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.once.Do(func() {
		c.l.mu.Lock()
		delete(c.l.open, c)
		c.l.mu.Unlock()
	})
	return c.Conn.Close()
}
