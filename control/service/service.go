package service

import (
	"context"
	"log/slog"
	"time"

	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/telemetry"
)

const (
	// confirmTimeout bounds one confirmation of a lease.
	confirmTimeout = time.Second
	// routerSilence is how long a router may send no renewal before its stream
	// is closed.
	routerSilence = lease.Duration
	// reportInterval is the time between two reports to the leader.
	reportInterval = 500 * time.Millisecond
)

// Config is what a Service needs.
type Config struct {
	// Member names this member of control.
	Member string
	State  *state.State
	Log    control.Log
	Logger *slog.Logger
	// Metrics may be zero.
	Metrics telemetry.Control
	// VoterAddrs returns the rpc addresses of the voting members; may be nil.
	VoterAddrs func() []string
	// Join makes a member a voter, at the leader; nil refuses.
	Join func(context.Context, *pb.JoinRequest) *pb.JoinResponse
}

// Service serves routers and the other members. Run must run meanwhile.
type Service struct {
	pb.DRPCControlUnimplementedServer
	pb.DRPCMemberUnimplementedServer

	member  string
	state   *state.State
	log     control.Log
	confirm *confirmer
	logger  *slog.Logger
	seats   *seats
	reports *Reports
	batcher *claimBatcher
	metrics telemetry.Control
	members func() []string
	join    func(context.Context, *pb.JoinRequest) *pb.JoinResponse
}

// New returns a service.
func New(c Config) *Service {
	return &Service{
		member:  c.Member,
		state:   c.State,
		log:     c.Log,
		confirm: &confirmer{log: c.Log},
		logger:  c.Logger,
		seats:   newSeats(),
		reports: NewReports(),
		batcher: newClaimBatcher(c.Log),
		metrics: c.Metrics,
		members: c.VoterAddrs,
		join:    c.Join,
	}
}

// Reports returns what the members reported, as far as this member leads.
func (s *Service) Reports() *Reports { return s.reports }

// Run reports to the leader, and runs the controllers while this member leads,
// until ctx ends.
func (s *Service) Run(ctx context.Context) {
	done := make(chan struct{}, 3)
	for _, part := range []func(context.Context){s.batcher.run, s.reportLoop, s.controlLoop} {
		go func() {
			part(ctx)
			done <- struct{}{}
		}()
	}
	for range cap(done) {
		<-done
	}
}

// Report implements the Member service.
func (s *Service) Report(_ context.Context, q *pb.ReportRequest) (*pb.ReportResponse, error) {
	lead := s.log.Leadership()
	if lead.Leads {
		s.reports.Put(q, time.Now())
	}
	return &pb.ReportResponse{Leads: lead.Leads, LeaderAddr: lead.LeaderAddr}, nil
}

// Join implements the Member service.
func (s *Service) Join(ctx context.Context, q *pb.JoinRequest) (*pb.JoinResponse, error) {
	if s.join == nil {
		return &pb.JoinResponse{Leads: true, Cause: "members of this group are changed by operators"}, nil
	}
	return s.join(ctx, q), nil
}
