package forward

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

const (
	// avoidTime is how long a helper that failed is asked only after the others.
	avoidTime = 2 * time.Second
	// startingAvoidTime replaces avoidTime for a helper that refused the connection. Its
	// process isn't running, but may soon, and finding that out again takes one round trip.
	startingAvoidTime = 250 * time.Millisecond
	// linksPerTrim is the number of links that are opened at each trim. It spreads
	// those of a restarted router over a second or two.
	linksPerTrim = 4
	// linkRetry is the minimum time between two tries to open a link ahead of use.
	linkRetry = time.Second
)

// helpers holds the links to the routers that send sub-requests for this one. It is
// safe for concurrent use.
type helpers struct {
	log  *slog.Logger
	turn atomic.Uint64

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

// peer is the link to one router. The mutex of helpers guards its times.
type peer struct {
	link *rpc.PartsLink
	// avoidUntil is the end of the time in which the router is asked after the others since
	// it failed, repliedAt when it last sent something,
	// and openedAt when its link was last opened ahead of use.
	avoidUntil, repliedAt, openedAt time.Time
}

func newHelpers(log *slog.Logger) *helpers {
	return &helpers{log: log, peers: make(map[netip.AddrPort]*peer)}
}

// peer returns the link to a router. m.mu must be held.
func (m *helpers) peer(addr netip.AddrPort) *peer {
	p := m.peers[addr]
	if p == nil {
		p = &peer{link: rpc.NewPartsLink(addr)}
		m.peers[addr] = p
	}
	return p
}

// order returns the helpers of a cell in the order in which to ask them: those that
// failed lately last, and the first equal ones in turns.
func (m *helpers) order(all []helper, equal int, now time.Time) []helper {
	out := slices.Clone(all)
	if equal > 1 && m.turn.Add(1)%2 == 0 {
		out[0], out[1] = out[1], out[0]
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	slices.SortStableFunc(out, func(a, b helper) int { return m.avoided(a, now) - m.avoided(b, now) })
	return out
}

// avoided returns 1 for a helper that failed lately, and otherwise 0. m.mu must be
// held.
func (m *helpers) avoided(x helper, now time.Time) int {
	if p := m.peers[x.addr]; p != nil && now.Before(p.avoidUntil) {
		return 1
	}
	return 0
}

// recordFailure notes that a helper failed after it was asked at askedAt. If it has
// sent nothing since, the connection may be dead and is closed.
func (m *helpers) recordFailure(x helper, askedAt time.Time, cause error, now time.Time) {
	m.mu.Lock()
	p := m.peer(x.addr)
	first := !now.Before(p.avoidUntil)
	avoid := avoidTime
	if errors.Is(cause, syscall.ECONNREFUSED) {
		avoid = startingAvoidTime
	}
	p.avoidUntil = now.Add(avoid)
	silent := p.repliedAt.Before(askedAt)
	m.mu.Unlock()
	if first {
		m.log.Warn("helper avoided", "helper", string(x.vm), "addr", x.addr, "for", avoid, "silent", silent, "error", cause)
	}
	if silent {
		p.link.Close()
	}
}

func (m *helpers) recordReply(addr netip.AddrPort, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peer(addr).repliedAt = now
}

// unopened returns at most linksPerTrim links to the given helpers that aren't
// connected, so that the first requests after a start needn't wait for connections.
func (m *helpers) unopened(needed []helper, now time.Time) []*peer {
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
	for _, p := range s.helpers.unopened(s.fleet.neededHelpers(), now) {
		go func() {
			if err := p.link.Connect(ctx); err != nil {
				s.cfg.Log.Debug("link to another router not opened", "error", err)
			}
		}()
	}
}

// close closes all links.
func (m *helpers) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.link.Close()
	}
}

// retain closes the links to routers that aren't in use any more.
func (m *helpers) retain(used map[netip.AddrPort]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for addr, p := range m.peers {
		if !used[addr] {
			p.link.Close()
			delete(m.peers, addr)
		}
	}
}

// helperCall asks one helper for the parts of some shards.
type helperCall struct {
	helpers *helpers
	helper  helper
	message *pb.PartsRequest
	from    *handOver
	try     int
	// proceed is closed when the helper may use all attempts.
	proceed <-chan struct{}
	replies chan<- helperReply
}

// run sends the message and passes the replies on until the last one, the loss of the
// connection or the end of ctx, which withdraws the request.
func (c *helperCall) run(ctx context.Context) {
	c.helpers.mu.Lock()
	link := c.helpers.peer(c.helper.addr).link
	c.helpers.mu.Unlock()
	exchange, err := link.Open(ctx, c.message, len(c.message.GetShards())+3)
	if err != nil {
		c.replies <- helperReply{from: c.from, try: c.try, notSent: true, cause: err}
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
func (c *helperCall) pass(r *pb.PartsReply) bool {
	c.helpers.recordReply(c.helper.addr, time.Now())
	c.replies <- helperReply{from: c.from, try: c.try, message: r}
	return !rpc.PartsCodec.More(r)
}

// passLoss passes the replies on that came before the connection was lost, and then
// the loss, unless the last reply was among them.
func (c *helperCall) passLoss(exchange *rpc.PartsExchange) {
	defer exchange.Finish()
	for {
		select {
		case r := <-exchange.Replies:
			if c.pass(r) {
				return
			}
		default:
			c.replies <- helperReply{from: c.from, try: c.try, cause: &HelperLostError{}}
			return
		}
	}
}

// HelperLostError means that the connection to another router failed.
type HelperLostError struct{}

// Error describes the failure.
func (*HelperLostError) Error() string { return "connection lost" }

// packHeaders returns the headers that are forwarded.
func packHeaders(req *request, d *HeaderNames) []*pb.HeaderField {
	dropped := connectionHeaders(req.header)
	out := make([]*pb.HeaderField, 0, len(req.header))
	for name, values := range req.header {
		if hopByHopHeaders[name] || dropped[name] || req.hides(name, d) {
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
