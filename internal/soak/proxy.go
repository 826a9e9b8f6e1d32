package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkMode is what a proxy does to the connections over it.
type linkMode int32

// The modes.
const (
	linkPass linkMode = iota
	// linkDelay holds every piece for a while.
	linkDelay
	// linkSilent lets nothing through and closes nothing.
	linkSilent
	// linkOneWay lets only what callers send through.
	linkOneWay
	// linkRefuse closes new connections at once.
	linkRefuse
)

// linkDelayTime is how long linkDelay holds each piece.
const linkDelayTime = 40 * time.Millisecond

// proxy passes connections on from one address to another and harms them as it
// is told.
type proxy struct {
	listener net.Listener
	to       string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(from, to string) (*proxy, error) {
	l, err := net.Listen("tcp", from)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) set(m linkMode) { p.mode.Store(int32(m)) }

func (p *proxy) is(m linkMode) bool { return linkMode(p.mode.Load()) == m }

// reset ends all connections at once.
func (p *proxy) reset() {
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
	p.reset()
}

func (p *proxy) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *proxy) drop(c net.Conn) {
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
	p.keep(c)
	defer p.drop(c)
	if p.is(linkRefuse) {
		return
	}
	d, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		return
	}
	p.keep(d)
	defer p.drop(d)
	done := make(chan struct{}, 2)
	go func() { p.copy(d, c, true); done <- struct{}{} }()
	go func() { p.copy(c, d, false); done <- struct{}{} }()
	<-done
}

// copy passes bytes on until either end closes. Forward is the way from caller to
// server.
func (p *proxy) copy(to, from net.Conn, forward bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for p.is(linkSilent) || (p.is(linkOneWay) && !forward) {
			time.Sleep(10 * time.Millisecond)
		}
		if p.is(linkDelay) {
			time.Sleep(linkDelayTime)
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
