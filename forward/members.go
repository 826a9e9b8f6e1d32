package forward

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

const (
	// avoidTime is how long a member that failed is asked only after the others.
	avoidTime = 2 * time.Second
	// linksPerTrim is the number of links that are opened at each trim. It spreads
	// those of a restarted router over a second or two.
	linksPerTrim = 4
	// linkRetry is the minimum time between two tries to open a link ahead of use.
	linkRetry = time.Second
)

// members holds the links to the routers that send sub-requests for this one. It is
// safe for concurrent use.
type members struct {
	log  *slog.Logger
	turn atomic.Uint64

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

// peer is the link to one router. The mutex of members guards its times.
type peer struct {
	link *rpc.PartsLink
	// failedAt is when the router last failed, repliedAt when it last sent something,
	// and openedAt when its link was last opened ahead of use.
	failedAt, repliedAt, openedAt time.Time
}

func newMembers(log *slog.Logger) *members {
	return &members{log: log, peers: make(map[netip.AddrPort]*peer)}
}

// peer returns the link to a router. m.mu must be held.
func (m *members) peer(addr netip.AddrPort) *peer {
	p := m.peers[addr]
	if p == nil {
		p = &peer{link: rpc.NewPartsLink(addr)}
		m.peers[addr] = p
	}
	return p
}

// order returns the members of a cell in the order in which to ask them: those that
// failed lately last, and the first equal ones in turns.
func (m *members) order(all []member, equal int, now time.Time) []member {
	out := slices.Clone(all)
	if equal > 1 && m.turn.Add(1)%2 == 0 {
		out[0], out[1] = out[1], out[0]
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	slices.SortStableFunc(out, func(a, b member) int { return m.avoided(a, now) - m.avoided(b, now) })
	return out
}

// avoided returns 1 for a member that failed lately, and otherwise 0. m.mu must be
// held.
func (m *members) avoided(x member, now time.Time) int {
	if p := m.peers[x.addr]; p != nil && !p.failedAt.IsZero() && now.Sub(p.failedAt) < avoidTime {
		return 1
	}
	return 0
}

// recordFailure notes that a member failed after it was asked at askedAt. If it has
// sent nothing since, the connection may be dead and is closed.
func (m *members) recordFailure(x member, askedAt time.Time, cause error, now time.Time) {
	m.mu.Lock()
	p := m.peer(x.addr)
	first := now.Sub(p.failedAt) >= avoidTime
	p.failedAt = now
	silent := p.repliedAt.Before(askedAt)
	m.mu.Unlock()
	if first {
		m.log.Warn("member avoided", "member", string(x.vm), "addr", x.addr, "for", avoidTime, "silent", silent, "error", cause)
	}
	if silent {
		p.link.Close()
	}
}

func (m *members) recordReply(addr netip.AddrPort, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peer(addr).repliedAt = now
}

// unopened returns at most linksPerTrim links to the given members that aren't
// connected, so that the first requests after a start needn't wait for connections.
func (m *members) unopened(needed []member, now time.Time) []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*peer
	for _, x := range needed {
		if len(out) == linksPerTrim {
			break
		}
		p := m.peer(x.addr)
		if now.Sub(p.openedAt) < linkRetry || p.link.Connected() {
			continue
		}
		p.openedAt = now
		out = append(out, p)
	}
	return out
}

// openLinks opens the links that this router will need.
func (s *Server) openLinks(ctx context.Context, now time.Time) {
	for _, p := range s.members.unopened(s.fleet.neededMembers(), now) {
		go func() {
			if err := p.link.Connect(ctx); err != nil {
				s.cfg.Log.Debug("link to another router not opened", "error", err)
			}
		}()
	}
}

// close closes all links.
func (m *members) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.link.Close()
	}
}

// retain closes the links to routers that aren't in use any more.
func (m *members) retain(used map[netip.AddrPort]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for addr, p := range m.peers {
		if !used[addr] {
			p.link.Close()
			delete(m.peers, addr)
		}
	}
}

// memberCall asks one member for the parts of some shards.
type memberCall struct {
	members *members
	member  member
	message *pb.PartsRequest
	from    *handOver
	try     int
	// proceed is closed when the member may use all attempts.
	proceed <-chan struct{}
	replies chan<- memberReply
}

// run sends the message and passes the replies on until the last one, the loss of the
// connection or the end of ctx, which withdraws the request.
func (c *memberCall) run(ctx context.Context) {
	c.members.mu.Lock()
	link := c.members.peer(c.member.addr).link
	c.members.mu.Unlock()
	exchange, err := link.Open(ctx, c.message, len(c.message.GetShards())+3)
	if err != nil {
		c.replies <- memberReply{from: c.from, try: c.try, notSent: true, cause: err}
		return
	}
	proceed := c.proceed
	for {
		select {
		case r := <-exchange.Replies:
			if c.pass(r) {
				exchange.Finish()
				return
			}
		case <-exchange.Lost:
			c.passLoss(exchange)
			return
		case <-proceed:
			exchange.Send(&pb.PartsRequest{Proceed: true})
			proceed = nil
		case <-ctx.Done():
			exchange.Send(&pb.PartsRequest{Cancel: true})
			exchange.Finish()
			return
		}
	}
}

// pass passes a reply on and reports whether it is the last one.
func (c *memberCall) pass(r *pb.PartsReply) bool {
	c.members.recordReply(c.member.addr, time.Now())
	c.replies <- memberReply{from: c.from, try: c.try, message: r}
	return !rpc.PartsCodec.More(r)
}

// passLoss passes the replies on that came before the connection was lost, and then
// the loss, unless the last reply was among them.
func (c *memberCall) passLoss(exchange *rpc.PartsExchange) {
	defer exchange.Finish()
	for {
		select {
		case r := <-exchange.Replies:
			if c.pass(r) {
				return
			}
		default:
			c.replies <- memberReply{from: c.from, try: c.try, cause: &MemberLostError{}}
			return
		}
	}
}

// MemberLostError means that the connection to another router failed.
type MemberLostError struct{}

// Error describes the failure.
func (*MemberLostError) Error() string { return "connection lost" }

// packHeaders returns the headers that are forwarded.
func packHeaders(h http.Header) []*pb.HeaderField {
	dropped := connectionHeaders(h)
	out := make([]*pb.HeaderField, 0, len(h))
	for name, values := range h {
		if hopByHopHeaders[name] || dropped[name] {
			continue
		}
		for _, v := range values {
			out = append(out, &pb.HeaderField{Name: name, Value: v})
		}
	}
	return out
}

// unpackHeaders is the inverse of packHeaders.
func unpackHeaders(fields []*pb.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.GetName()] = append(h[f.GetName()], f.GetValue())
	}
	return h
}
