package quota

import (
	"context"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/internal/wait"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/workspace"
)

// othersInterval is the time between two looks at the number of standbys.
const othersInterval = time.Second

// standby keeps credits at a member while another one is the holder, and lends them to
// gateways. It is a client of the holder like a gateway.
type standby struct {
	cfg    ServerConfig
	client *Client

	mu sync.Mutex
	// leads and limits are what the member knows.
	leads  bool
	limits Limits
}

func newStandby(c ServerConfig) *standby {
	if c.Others == nil {
		return nil
	}
	s := &standby{cfg: c}
	s.client = NewClient(ClientConfig{
		Gateway: c.Name, Members: c.Others, Gateways: func() int { return 1 }, Needed: s.isNeeded,
		Random: func() float64 { return 0 }, Log: c.Logger, Standby: true,
	})
	return s
}

// isNeeded reports whether there are credits to keep.
func (s *standby) isNeeded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leads && s.limits.limited()
}

// start follows the holder until ctx ends, and returns a function that waits for the end.
func (s *standby) start(ctx context.Context) (wait func()) {
	if s == nil {
		return func() {}
	}
	var work sync.WaitGroup
	work.Go(func() { s.client.Run(ctx) })
	work.Go(func() { s.followTargets(ctx) })
	return work.Wait
}

// follow takes what the member knows of the leadership and the limits.
func (s *standby) follow(leads bool, limits Limits) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leads, s.limits = leads, limits
}

// followTargets sets the targets when the limits or the number of standbys change.
func (s *standby) followTargets(ctx context.Context) {
	version, count := uint64(0), 0
	for ; ctx.Err() == nil; wait.For(ctx, othersInterval) {
		if !s.isNeeded() {
			continue
		}
		s.mu.Lock()
		limits := s.limits
		s.mu.Unlock()
		// All members but the holder are standbys, this one among them.
		if n := len(s.cfg.Others()); n != count || limits.Version != version {
			version, count = limits.Version, n
			s.setTargets(limits, count)
		}
	}
}

func (s *standby) setTargets(limits Limits, standbys int) {
	targets := make(map[workspace.Name]int, len(limits.Of))
	for name, l := range limits.Of {
		targets[name] = s.cfg.Rules.standbyTarget(l, standbys)
	}
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	s.client.account.SetTargets(targets)
}

// lend answers a report with number 0: it takes the credits that the gateway gives, and
// lends some for the requests that wait.
func (s *Server) lend(c *connection, q *pb.QuotaReport) *pb.QuotaReply {
	reply := &pb.QuotaReply{LeaderAddr: s.cfg.Leadership().LeaderAddr}
	if s.standby == nil {
		return reply
	}
	x := s.standby.client
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock()
	until := c.lentAt + time.Duration(q.GetValidMs())*time.Millisecond
	for _, u := range q.GetUses() {
		name := workspace.Name(u.GetWorkspace())
		if c.lentAt > 0 && now < until && u.GetReturned() > 0 {
			x.account.Deposit(name, int(u.GetReturned()), until)
		}
		if n := x.account.Lend(name, int(u.GetWaiting()), now); n > 0 {
			reply.Grants = append(reply.Grants, &pb.QuotaGrant{Workspace: u.GetWorkspace(), Credits: uint32(n)}) //nolint:gosec // At most waiting.
		}
	}
	c.lentAt = now
	return reply
}
