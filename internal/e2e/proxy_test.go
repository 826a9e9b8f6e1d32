package e2e

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// proxy passes connections on until it is cut. Then it swallows all bytes and
// leaves connections open, as a network that drops packets does.
type proxy struct {
	addr   string
	target string
	cut    atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
}

func startProxy(t *testing.T, target string) *proxy {
	t.Helper()
	addr := freeAddrs(t, 1)[0]
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{addr: addr, target: target}
	go p.accept(l)
	t.Cleanup(func() {
		_ = l.Close()
		p.closeAll()
	})
	return p
}

func (p *proxy) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		p.keep(in)
		if p.cut.Load() {
			go func() { _, _ = io.Copy(io.Discard, in) }()
			continue
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.keep(out)
		go p.copy(out, in)
		go p.copy(in, out)
	}
}

// copy passes bytes on, or drops them while the proxy is cut. What a stream
// lost it can't get back, so a connection that lost bytes ends at the heal.
func (p *proxy) copy(to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	dropped := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.cut.Load() {
			dropped = true
			continue
		}
		if dropped {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
}

func (p *proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// network holds the proxies between processes. Names are "control-1" and
// "router-1".
type network struct {
	proxies map[[2]string]*proxy
}

func newNetwork() *network { return &network{proxies: make(map[[2]string]*proxy)} }

// via returns the address at which from reaches to, whose own address is addr.
func (n *network) via(t *testing.T, from, to, addr string) string {
	t.Helper()
	p := startProxy(t, addr)
	n.proxies[[2]string{from, to}] = p
	return p.addr
}

// isolate cuts a process off from control members, or them from it.
func (n *network) isolate(name string, cut bool) {
	for pair, p := range n.proxies {
		if pair[0] == name || pair[1] == name {
			p.cut.Store(cut)
		}
	}
}
