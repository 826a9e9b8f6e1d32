package e2e

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// proxy forwards TCP connections to backend. While it is partitioned, it discards
// all data and leaves connections open, as a network that drops packets does.
type proxy struct {
	addr        string
	backend     string
	partitioned atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
}

func startProxy(t *testing.T, backend string) *proxy {
	t.Helper()
	addr := freeAddrs(t, 1)[0]
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{addr: addr, backend: backend}
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
		p.track(in)
		if p.partitioned.Load() {
			go func() { _, _ = io.Copy(io.Discard, in) }()
			continue
		}
		out, err := net.Dial("tcp", p.backend)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.track(out)
		go p.copy(out, in)
		go p.copy(in, out)
	}
}

// copy forwards data, or discards it while the proxy is partitioned. A stream can't
// recover discarded data, so a connection that lost some is closed once the
// partition has healed.
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
		if p.partitioned.Load() {
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

func (p *proxy) track(c net.Conn) {
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

// network holds the proxies between processes. Processes have names such as
// "control-1" and "router-1".
type network struct {
	// proxies is indexed by the names of the connecting and the listening process.
	proxies map[[2]string]*proxy
}

func newNetwork() *network { return &network{proxies: make(map[[2]string]*proxy)} }

// proxyAddr starts a proxy and returns the address at which the process from
// reaches the process to, which listens at addr.
func (n *network) proxyAddr(t *testing.T, from, to, addr string) string {
	t.Helper()
	p := startProxy(t, addr)
	n.proxies[[2]string{from, to}] = p
	return p.addr
}

// isolate partitions a process from the control members (a router) or from all
// other processes (a control member), or heals the partition.
func (n *network) isolate(name string, isolated bool) {
	for pair, p := range n.proxies {
		if pair[0] == name || pair[1] == name {
			p.partitioned.Store(isolated)
		}
	}
}
