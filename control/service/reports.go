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
	// reportTimeout limits one report to the leader.
	reportTimeout = time.Second
	// memberReportTTL is the age up to which a member's report shows it as
	// healthy.
	memberReportTTL = 4 * reportInterval
)

// ReportedRouter is the leader's view of one router.
type ReportedRouter struct {
	*pb.RouterReport
	// Member is the control member that the router follows.
	Member string
	// LastSeen is when a member last received a renewal from the router.
	LastSeen time.Time
	// LeaseUntil is the latest time at which the router's lease may end.
	LeaseUntil time.Time
}

// ReportedMember is the leader's view of one member.
type ReportedMember struct {
	Member     string
	Applied    uint64
	ReportedAt time.Time
	Healthy    bool
}

// Reports holds the latest report of each member. It is safe for concurrent
// use.
type Reports struct {
	mu       sync.Mutex
	byMember map[string]memberReport
}

// memberReport is a member's report and the time it was received.
type memberReport struct {
	at      time.Time
	request *pb.ReportRequest
}

// NewReports returns an empty set of reports.
func NewReports() *Reports { return &Reports{byMember: make(map[string]memberReport)} }

// Put stores a member's report, replacing its previous one.
func (r *Reports) Put(q *pb.ReportRequest, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byMember[q.GetMember()] = memberReport{at: at, request: q}
}

// Routers returns the routers by name. If several members report a router, the
// most recent sighting wins, with the latest lease end of all.
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

// Members returns the members that have reported, by ID.
func (r *Reports) Members(now time.Time) map[string]ReportedMember {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]ReportedMember, len(r.byMember))
	for name, m := range r.byMember {
		out[name] = ReportedMember{
			Member:     name,
			Applied:    m.request.GetApplied(),
			ReportedAt: m.at,
			Healthy:    now.Sub(m.at) <= memberReportTTL,
		}
	}
	return out
}

// Loads returns the sum of the loads that routers reported, by group.
func (r *Reports) Loads(now time.Time) map[topology.GroupName]api.ReportedLoads {
	out := make(map[topology.GroupName]api.ReportedLoads)
	for _, s := range r.Routers() {
		if now.Sub(s.LastSeen) > renewalTimeout {
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

// ColdTargets returns the sorted targets that routers reported as cold.
func (r *Reports) ColdTargets(now time.Time) []topology.TargetID {
	var out []topology.TargetID
	for _, s := range r.Routers() {
		if now.Sub(s.LastSeen) > renewalTimeout {
			continue
		}
		for _, t := range s.GetCold() {
			out = append(out, topology.TargetID(t))
		}
	}
	slices.Sort(out)
	return out
}

// reportLoop reports the routers that this member serves to the leader.
func (s *Service) reportLoop(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	var conn leaderConn
	defer conn.close()
	for {
		s.reportOnce(ctx, &conn)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// reportOnce sends one report to the leader, or stores it if this member is the
// leader. Without a known leader it does nothing.
func (s *Service) reportOnce(ctx context.Context, conn *leaderConn) {
	now := time.Now()
	q := &pb.ReportRequest{Member: s.member, Applied: s.state.Index(), Routers: s.followers.report(now)}
	lead := s.log.Leadership()
	if lead.Leads {
		s.reports.Put(q, now)
		return
	}
	addr, err := netip.ParseAddrPort(lead.LeaderAddr)
	if err != nil {
		return
	}
	if err := conn.report(ctx, addr, q); err != nil && ctx.Err() == nil {
		s.logger.Warn("report to the leader failed", "leader", lead.LeaderAddr, "cause", err)
	}
}

// leaderConn is a cached connection to the leader. It is not safe for
// concurrent use.
type leaderConn struct {
	addr netip.AddrPort
	conn drpc.Conn
}

func (l *leaderConn) close() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// report sends q to the leader at addr. It dials if there is no connection or
// the leader has changed, and closes the connection after a failure.
func (l *leaderConn) report(ctx context.Context, addr netip.AddrPort, q *pb.ReportRequest) error {
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
