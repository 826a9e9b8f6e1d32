package bench

import (
	"net/netip"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/settings"
)

// network manages the proxies between the product's processes. Each hop between
// routers has the latency between data centres, even within one data centre.
type network struct {
	latency time.Duration

	mu      sync.Mutex
	routers map[string]*proxy
	// inbound and outbound hold the proxies of the connections to and from each
	// control member, by its index.
	inbound  map[int][]*proxy
	outbound map[int][]*proxy
}

func newNetwork(latency time.Duration) *network {
	return &network{
		latency:  latency,
		routers:  make(map[string]*proxy),
		inbound:  make(map[int][]*proxy),
		outbound: make(map[int][]*proxy),
	}
}

// loopback is the address that proxies listen on.
var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// routerAddr returns the address of the proxy for the named router, which listens
// on addr. A restarted router keeps its proxy.
func (n *network) routerAddr(router string, addr netip.AddrPort) netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, ok := n.routers[router]; ok {
		p.retarget(addr)
		return p.addr()
	}
	p, err := newProxy(loopback, addr, n.latency)
	if err != nil {
		return addr
	}
	n.routers[router] = p
	return p.addr()
}

// connectMember replaces the addresses of the other control members in c with
// those of proxies of its own, so that one member can be isolated in both
// directions.
func (n *network) connectMember(c *settings.Control) {
	n.mu.Lock()
	defer n.mu.Unlock()
	self := int(c.Member) - 1
	peers := append([]settings.Member(nil), c.Members...)
	for i := range peers {
		if peers[i].Number == c.Member {
			continue
		}
		p, err := newProxy(loopback, peers[i].RPC, 0)
		if err != nil {
			continue
		}
		peers[i].RPC = p.addr()
		other := int(peers[i].Number) - 1
		n.outbound[self] = append(n.outbound[self], p)
		n.inbound[other] = append(n.inbound[other], p)
	}
	c.Members = peers
}

// memberAddrs returns the addresses of the proxies through which routers reach
// the control members at addrs, which are in member order.
func (n *network) memberAddrs(addrs []netip.AddrPort) []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]netip.AddrPort, len(addrs))
	for i, addr := range addrs {
		out[i] = n.memberAddr(i, addr)
	}
	return out
}

// adminAddrs is like memberAddrs for the addresses of the administration API.
func (n *network) adminAddrs(addrs []string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]string, len(addrs))
	for i, addr := range addrs {
		out[i] = n.memberAddr(i, netip.MustParseAddrPort(addr)).String()
	}
	return out
}

// memberAddr returns the address of the shared proxy to one address of a member.
// The caller holds n.mu.
func (n *network) memberAddr(member int, to netip.AddrPort) netip.AddrPort {
	for _, p := range n.inbound[member] {
		if p.to == to && p.public {
			return p.addr()
		}
	}
	p, err := newProxy(loopback, to, 0)
	if err != nil {
		return to
	}
	p.public = true
	n.inbound[member] = append(n.inbound[member], p)
	return p.addr()
}

// isolateMember cuts a control member off in both directions without closing its
// connections.
func (n *network) isolateMember(i int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range append(n.inbound[i], n.outbound[i]...) {
		p.cut()
	}
}

// heal ends the isolation of all members.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, proxies := range n.inbound {
		for _, p := range proxies {
			p.heal()
		}
	}
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.routers {
		p.close()
	}
	for _, proxies := range n.inbound {
		for _, p := range proxies {
			p.close()
		}
	}
}
