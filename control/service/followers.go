package service

import (
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

// followerRetention is how long a silent router is still reported.
const followerRetention = 4 * renewalTimeout

// follower is the state of one router that follows this member.
type follower struct {
	newest     *pb.FollowRequest
	lastSeen   time.Time
	leaseUntil time.Time
}

// followerRegistry holds the routers that follow this member. It is safe for
// concurrent use.
type followerRegistry struct {
	mu   sync.Mutex
	byVM map[string]*follower
}

func newFollowerRegistry() *followerRegistry {
	return &followerRegistry{byVM: make(map[string]*follower)}
}

// renew records a renewal. The lease of an earlier process on the same VM
// remains in effect.
func (s *followerRegistry) renew(r renewal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm := r.request.GetVm()
	c, ok := s.byVM[vm]
	if !ok {
		c = &follower{}
		s.byVM[vm] = c
	}
	c.newest = r.request
	c.lastSeen = r.at
}

// extendLease records that the router's lease runs until at least the given
// time.
func (s *followerRegistry) extendLease(q *pb.FollowRequest, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.byVM[q.GetVm()]
	if ok && until.After(c.leaseUntil) {
		c.leaseUntil = until
	}
}

// report returns the routers as of now and removes those silent for longer than
// followerRetention.
func (s *followerRegistry) report(now time.Time) []*pb.RouterReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*pb.RouterReport
	for vm, c := range s.byVM {
		silent := now.Sub(c.lastSeen)
		if silent > followerRetention {
			delete(s.byVM, vm)
			continue
		}
		q := c.newest
		out = append(out, &pb.RouterReport{
			Vm:          vm,
			Incarnation: q.GetIncarnation(),
			DataCentre:  q.GetDataCentre(),
			RpcAddr:     q.GetRpcAddr(),
			HttpAddr:    q.GetHttpAddr(),
			Leaving:     q.GetLeaving(),
			Applied:     q.GetApplied(),
			SilentUs:    uint64(silent.Microseconds()),
			LeaseUs:     uint64(max(0, c.leaseUntil.Sub(now).Microseconds())),
			Loads:       q.GetLoads(),
			Cold:        q.GetCold(),
		})
	}
	return out
}
