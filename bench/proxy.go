package bench

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	proxyChunk = 32 << 10
	// proxyQueue is the maximum number of chunks in flight in one direction.
	// Senders block beyond it, as on a full TCP window.
	proxyQueue = 1024
)

// proxy forwards TCP connections with a one-way latency. While it is cut, no data
// passes in either direction and connections stay open, as in a network
// partition.
type proxy struct {
	to       netip.AddrPort
	latency  time.Duration
	listener net.Listener
	// public is true for a proxy shared by all routers or operators, false for one
	// between two control members.
	public bool

	mu     sync.Mutex
	healed chan struct{} // nil unless cut
	conns  map[net.Conn]struct{}
	closed bool
}

// newProxy starts a proxy to the given address on a free port of ip.
func newProxy(ip netip.Addr, to netip.AddrPort, latency time.Duration) (*proxy, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
	if err != nil {
		return nil, err
	}
	p := &proxy{to: to, latency: latency, listener: l, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// retarget changes the address that new connections are forwarded to.
func (p *proxy) retarget(to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.to = to
}

// cut stops all data until heal.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed == nil {
		p.healed = make(chan struct{})
	}
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed != nil {
		close(p.healed)
		p.healed = nil
	}
}

// close stops the proxy and closes all its connections.
func (p *proxy) close() {
	p.heal()
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.conns {
		_ = c.Close()
	}
}

// waitHealed waits while the proxy is cut.
func (p *proxy) waitHealed() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	if healed != nil {
		<-healed
	}
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

// serve forwards one connection until it ends.
func (p *proxy) serve(from net.Conn) {
	p.waitHealed()
	p.mu.Lock()
	addr := p.to
	p.mu.Unlock()
	to, err := net.Dial("tcp", addr.String())
	if err != nil {
		reset(from)
		return
	}
	if !p.track(from, to) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.pump(from, to) })
	both.Go(func() { p.pump(to, from) })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, from)
	delete(p.conns, to)
}

// track registers conns to be closed with the proxy. If the proxy is closed, it
// closes them and reports false.
func (p *proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		if p.closed {
			_ = c.Close()
		}
		p.conns[c] = struct{}{}
	}
	return !p.closed
}

// chunk is a piece of a stream; it is delivered at due.
type chunk struct {
	data []byte
	due  time.Time
}

// pump forwards one direction. When the stream ends, both connections are closed.
func (p *proxy) pump(from, to net.Conn) {
	queue := make(chan chunk, proxyQueue)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, proxyChunk)
			n, err := from.Read(buf)
			if n > 0 {
				queue <- chunk{data: buf[:n], due: time.Now().Add(p.latency)}
			}
			if err != nil {
				return
			}
		}
	}()
	var err error
	for c := range queue {
		time.Sleep(time.Until(c.due))
		p.waitHealed()
		if err == nil {
			_, err = to.Write(c.data)
		}
		if err != nil && !errors.Is(err, io.EOF) {
			_ = from.Close()
		}
	}
	p.waitHealed()
	_ = from.Close()
	_ = to.Close()
}

// reset closes c with a TCP reset instead of a regular close.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
