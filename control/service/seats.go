package service

import (
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

// seatLifetime is how long a silent router is still reported.
const seatLifetime = 4 * routerSilence

// seat is what this member knows of one router that follows it.
type seat struct {
	newest     *pb.FollowRequest
	seen       time.Time
	leaseUntil time.Time
}

// seats holds the routers that follow this member.
type seats struct {
	mu   sync.Mutex
	byVM map[string]*seat
}

func newSeats() *seats { return &seats{byVM: make(map[string]*seat)} }

// renew notes a renewal. A lease of an earlier process of the same VM counts on.
func (s *seats) renew(r renewal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm := r.request.GetVm()
	c, ok := s.byVM[vm]
	if !ok {
		c = &seat{}
		s.byVM[vm] = c
	}
	c.newest = r.request
	c.seen = r.at
}

func (s *seats) lease(q *pb.FollowRequest, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.byVM[q.GetVm()]
	if ok && until.After(c.leaseUntil) {
		c.leaseUntil = until
	}
}

// report lists the routers as of now and forgets those silent for long.
func (s *seats) report(now time.Time) []*pb.RouterReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*pb.RouterReport
	for vm, c := range s.byVM {
		silent := now.Sub(c.seen)
		if silent > seatLifetime {
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
