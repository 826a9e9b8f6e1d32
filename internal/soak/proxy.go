package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkMode is how a proxy treats the connections over it.
type linkMode int32

const (
	// linkPass forwards all data.
	linkPass linkMode = iota
	// linkDelay delays each chunk of data by linkDelayDuration.
	linkDelay
	// linkSilent forwards nothing and leaves connections open.
	linkSilent
	// linkOneWay forwards data from client to server only.
	linkOneWay
	// linkRefuse closes new connections at once.
	linkRefuse
)

const linkDelayDuration = 40 * time.Millisecond

// proxy forwards TCP connections from its listener to backend and disrupts them
// according to its mode.
type proxy struct {
	listener net.Listener
	backend  string
	mode     atomic.Int32 // a linkMode
	// changedAt is when the mode was last set or connections were reset, in nanoseconds
	// of the wall clock.
	changedAt atomic.Int64

	mu sync.Mutex
	// conns holds both ends of all open connections.
	conns map[net.Conn]bool
}

func newProxy(from, to string) (*proxy, error) {
	l, err := net.Listen("tcp", from)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, backend: to, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) setMode(m linkMode) {
	p.mode.Store(int32(m))
	p.changedAt.Store(time.Now().UnixNano())
}

// disturbedSince reports whether connections were disrupted at any moment since a time.
func (p *proxy) disturbedSince(at time.Time) bool {
	return !p.hasMode(linkPass) || p.changedAt.Load() >= at.UnixNano()
}

func (p *proxy) hasMode(m linkMode) bool { return linkMode(p.mode.Load()) == m }

// resetAll closes all connections with a TCP reset.
func (p *proxy) resetAll() {
	p.changedAt.Store(time.Now().UnixNano())
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}

func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *proxy) closeConn(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	p.track(c)
	defer p.closeConn(c)
	if p.hasMode(linkRefuse) {
		return
	}
	d, err := net.DialTimeout("tcp", p.backend, time.Second)
	if err != nil {
		return
	}
	p.track(d)
	defer p.closeConn(d)
	done := make(chan struct{}, 2)
	go func() { p.copy(d, c, true); done <- struct{}{} }()
	go func() { p.copy(c, d, false); done <- struct{}{} }()
	<-done
}

// copy forwards data until either end closes. The direction forward is from
// client to server. Data held back by a mode is forwarded once the mode ends.
func (p *proxy) copy(to, from net.Conn, forward bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for p.hasMode(linkSilent) || (p.hasMode(linkOneWay) && !forward) {
			time.Sleep(10 * time.Millisecond)
		}
		if p.hasMode(linkDelay) {
			time.Sleep(linkDelayDuration)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
