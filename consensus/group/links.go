package group

import (
	"context"
	"net/netip"
	"sync"

	"github.com/peridotmux/peridotmux/consensus"
)

// links holds one link for each other known member. It belongs to the run loop.
type links struct {
	ctx     context.Context
	wg      *sync.WaitGroup
	cfg     *Config
	byID    map[consensus.MemberID]*link
	current []consensus.Member
}

func newLinks(ctx context.Context, wg *sync.WaitGroup, cfg *Config) *links {
	l := &links{ctx: ctx, wg: wg, cfg: cfg, byID: make(map[consensus.MemberID]*link)}
	for _, m := range cfg.Members {
		l.open(m.ID, m.RPC)
	}
	return l
}

// open starts a link unless the member is this one or already has a link.
func (l *links) open(id consensus.MemberID, addr netip.AddrPort) {
	if id == l.cfg.ID || l.byID[id] != nil {
		return
	}
	k := newLink(addr, l.cfg)
	l.byID[id] = k
	l.wg.Go(func() { k.run(l.ctx) })
}

// openNew opens links to members of m that have none, with the addresses in m.
func (l *links) openNew(m consensus.Membership) {
	if len(m.Members) == len(l.current) && (len(m.Members) == 0 || &m.Members[0] == &l.current[0]) {
		return
	}
	l.current = m.Members
	for _, x := range m.Members {
		if addr, err := netip.ParseAddrPort(x.Addr); err == nil {
			l.open(x.ID, addr)
		}
	}
}

func (l *links) send(messages []consensus.Message) {
	for _, m := range messages {
		if k := l.byID[m.To]; k != nil {
			k.enqueue(m)
		}
	}
}

// addrOf returns the address of a member, empty if it is not known. A configured
// address takes precedence over the one in m.
func (l *links) addrOf(id consensus.MemberID, m consensus.Membership) string {
	for _, x := range l.cfg.Members {
		if x.ID == id {
			return x.RPC.String()
		}
	}
	x, _ := m.Find(id)
	return x.Addr
}
