package standin

import (
	"net"
	"sync"
	"time"
)

// listener caps the open connections and gives each its cost.
type listener struct {
	net.Listener
	limit  int
	cost   time.Duration
	ledger *Ledger

	mu   sync.Mutex
	open map[*connection]struct{}
}

// connection delays its first bytes by the cost of a new connection.
type connection struct {
	net.Conn
	l     *listener
	ready time.Time
	once  sync.Once
}

func newListener(inner net.Listener, o Options, ledger *Ledger) *listener {
	return &listener{
		Listener: inner,
		limit:    o.MaxConnections,
		cost:     o.ConnectCost,
		ledger:   ledger,
		open:     make(map[*connection]struct{}),
	}
}

// Accept implements net.Listener. Connections over the cap are reset.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: inner, l: l, ready: time.Now().Add(l.cost)}
		if l.add(c) {
			return c, nil
		}
		reset(inner)
		l.ledger.count(func(t *Totals) { t.RefusedConnections++ })
	}
}

func (l *listener) add(c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.open) >= l.limit {
		return false
	}
	l.open[c] = struct{}{}
	n := len(l.open)
	l.ledger.count(func(t *Totals) { t.MaxConnections = max(t.MaxConnections, n) })
	return true
}

// resetAll ends all connections as a lost process does.
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

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Read implements net.Conn.
func (c *connection) Read(b []byte) (int, error) {
	if !c.ready.IsZero() {
		time.Sleep(time.Until(c.ready))
		c.ready = time.Time{}
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
