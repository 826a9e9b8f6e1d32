package bench

import (
	"net/netip"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/settings"
)

// network holds the proxies between the product's processes. Each hop between
// routers costs the latency between data centres, also within one.
type network struct {
	latency time.Duration

	mu      sync.Mutex
	routers map[string]*proxy
	// inbound and outbound hold the proxies before and behind each member.
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

// loopback is where proxies listen.
var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// publish returns the address at which others reach the named router.
func (n *network) publish(router string, addr netip.AddrPort) netip.AddrPort {
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

// joinMember lets a member of control reach each other one through a proxy of
// its own, so that one member can be cut off in both directions.
func (n *network) joinMember(c *settings.Control) {
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

// fronts returns the addresses at which routers reach the members at addrs,
// which are in the order of the members.
func (n *network) fronts(addrs []netip.AddrPort) []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]netip.AddrPort, len(addrs))
	for i, addr := range addrs {
		out[i] = n.front(i, addr)
	}
	return out
}

// operatorFronts does the same for the addresses of the administration API.
func (n *network) operatorFronts(addrs []string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]string, len(addrs))
	for i, addr := range addrs {
		out[i] = n.front(i, netip.MustParseAddrPort(addr)).String()
	}
	return out
}

func (n *network) front(member int, to netip.AddrPort) netip.AddrPort {
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

// cutMember cuts a member off silently, in both directions.
func (n *network) cutMember(i int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range append(n.inbound[i], n.outbound[i]...) {
		p.cut()
	}
}

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
