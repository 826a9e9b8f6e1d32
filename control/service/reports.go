package service

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// reportTimeout bounds one report to the leader.
	reportTimeout = time.Second
	// memberHealthy is the age up to which a member's report counts.
	memberHealthy = 4 * reportInterval
)

// ReportedRouter is what the leader knows of one router.
type ReportedRouter struct {
	*pb.RouterReport
	// Member is the control member that the router follows.
	Member string
	// LastSeen is when the router was last heard of.
	LastSeen time.Time
	// LeaseUntil is the latest end of its lease.
	LeaseUntil time.Time
}

// ReportedMember is what the leader knows of one member.
type ReportedMember struct {
	Member     string
	Applied    uint64
	ReportedAt time.Time
	Healthy    bool
}

// Reports gathers what the members report to the leader.
type Reports struct {
	mu       sync.Mutex
	byMember map[string]memberReport
}

type memberReport struct {
	at      time.Time
	request *pb.ReportRequest
}

// NewReports returns an empty set of reports.
func NewReports() *Reports { return &Reports{byMember: make(map[string]memberReport)} }

// Put takes a member's report in the place of its last.
func (r *Reports) Put(q *pb.ReportRequest, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byMember[q.GetMember()] = memberReport{at: at, request: q}
}

// Routers returns the routers by name, each as the member knows it that heard
// of it last.
func (r *Reports) Routers() map[topology.VMName]ReportedRouter {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[topology.VMName]ReportedRouter)
	for member, m := range r.byMember {
		for _, report := range m.request.GetRouters() {
			vm := topology.VMName(report.GetVm())
			s := ReportedRouter{
				RouterReport: report,
				Member:       member,
				LastSeen:     m.at.Add(-time.Duration(report.GetSilentUs()) * time.Microsecond),
				LeaseUntil:   m.at.Add(time.Duration(report.GetLeaseUs()) * time.Microsecond),
			}
			old, ok := out[vm]
			if ok && old.LeaseUntil.After(s.LeaseUntil) {
				s.LeaseUntil = old.LeaseUntil
			}
			if ok && old.LastSeen.After(s.LastSeen) {
				old.LeaseUntil = s.LeaseUntil
				s = old
			}
			out[vm] = s
		}
	}
	return out
}

// Members returns the members that have reported.
func (r *Reports) Members(now time.Time) map[string]ReportedMember {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]ReportedMember, len(r.byMember))
	for name, m := range r.byMember {
		out[name] = ReportedMember{
			Member:     name,
			Applied:    m.request.GetApplied(),
			ReportedAt: m.at,
			Healthy:    now.Sub(m.at) <= memberHealthy,
		}
	}
	return out
}

// Loads sums the loads that routers reported, by group.
func (r *Reports) Loads(now time.Time) map[topology.GroupName]api.ReportedLoads {
	out := make(map[topology.GroupName]api.ReportedLoads)
	for _, s := range r.Routers() {
		if now.Sub(s.LastSeen) > routerSilence {
			continue
		}
		for _, l := range s.GetLoads() {
			sum := out[topology.GroupName(l.GetGroup())]
			sum.Busy += l.GetBusy()
			sum.Open += l.GetOpen()
			out[topology.GroupName(l.GetGroup())] = sum
		}
	}
	return out
}

// ColdTargets lists the targets that routers reported as cold, in order.
func (r *Reports) ColdTargets(now time.Time) []topology.TargetID {
	var out []topology.TargetID
	for _, s := range r.Routers() {
		if now.Sub(s.LastSeen) > routerSilence {
			continue
		}
		for _, t := range s.GetCold() {
			out = append(out, topology.TargetID(t))
		}
	}
	slices.Sort(out)
	return out
}

// reportLoop tells the leader which routers this member serves.
func (s *Service) reportLoop(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	var link leaderLink
	defer link.close()
	for {
		s.reportOnce(ctx, &link)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (s *Service) reportOnce(ctx context.Context, link *leaderLink) {
	now := time.Now()
	q := &pb.ReportRequest{Member: s.member, Applied: s.state.Index(), Routers: s.seats.report(now)}
	lead := s.log.Leadership()
	if lead.Leads {
		s.reports.Put(q, now)
		return
	}
	addr, err := netip.ParseAddrPort(lead.LeaderAddr)
	if err != nil {
		return
	}
	if err := link.report(ctx, addr, q); err != nil && ctx.Err() == nil {
		s.logger.Warn("report to the leader failed", "leader", lead.LeaderAddr, "cause", err)
	}
}

// leaderLink keeps a connection to the leader.
type leaderLink struct {
	addr netip.AddrPort
	conn drpc.Conn
}

func (l *leaderLink) close() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

func (l *leaderLink) report(ctx context.Context, addr netip.AddrPort, q *pb.ReportRequest) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if l.addr != addr {
		l.close()
	}
	if l.conn == nil {
		conn, err := rpc.Dial(ctx, addr)
		if err != nil {
			return err
		}
		l.addr, l.conn = addr, conn
	}
	if _, err := pb.NewDRPCMemberClient(l.conn).Report(ctx, q); err != nil {
		l.close()
		return &rpc.ConnectionLostError{Addr: addr.String(), Sent: true, Cause: err}
	}
	return nil
}
