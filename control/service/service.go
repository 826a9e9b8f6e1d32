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
	// confirmTimeout limits one confirmation of a lease.
	confirmTimeout = time.Second
	// renewalTimeout is the time without a renewal after which a router's
	// stream is closed.
	renewalTimeout = lease.Duration
	// reportInterval is the time between two reports to the leader.
	reportInterval = 500 * time.Millisecond
)

// Config configures a Service.
type Config struct {
	// Member is the ID of this member.
	Member string
	State  *state.State
	Log    control.Log
	Logger *slog.Logger
	// Metrics may be the zero value.
	Metrics telemetry.Control
	// VoterAddrs returns the rpc addresses of the voting members. It may be
	// nil.
	VoterAddrs func() []string
	// Join makes a member a voter if this member is the leader. If it is nil,
	// join requests are refused.
	Join func(context.Context, *pb.JoinRequest) *pb.JoinResponse
}

// Service serves routers and the other members. Its rpc methods need Run to be
// running.
type Service struct {
	pb.DRPCControlUnimplementedServer
	pb.DRPCMemberUnimplementedServer

	member     string
	state      *state.State
	log        control.Log
	confirm    *confirmer
	logger     *slog.Logger
	followers  *followerRegistry
	reports    *Reports
	batcher    *claimBatcher
	metrics    telemetry.Control
	voterAddrs func() []string
	join       func(context.Context, *pb.JoinRequest) *pb.JoinResponse
}

// New returns a service. Call Run to start it.
func New(c Config) *Service {
	return &Service{
		member:     c.Member,
		state:      c.State,
		log:        c.Log,
		confirm:    &confirmer{log: c.Log},
		logger:     c.Logger,
		followers:  newFollowerRegistry(),
		reports:    NewReports(),
		batcher:    newClaimBatcher(c.Log),
		metrics:    c.Metrics,
		voterAddrs: c.VoterAddrs,
		join:       c.Join,
	}
}

// Reports returns the members' reports. They are current only on the leader.
func (s *Service) Reports() *Reports { return s.reports }

// Run proposes claims, reports to the leader and, while this member is the
// leader, runs the controllers. It returns when ctx ends.
func (s *Service) Run(ctx context.Context) {
	done := make(chan struct{}, 3)
	for _, loop := range []func(context.Context){s.batcher.run, s.reportLoop, s.controlLoop} {
		go func() {
			loop(ctx)
			done <- struct{}{}
		}()
	}
	for range cap(done) {
		<-done
	}
}

// Report stores a member's report if this member is the leader. It implements
// the Member rpc service.
func (s *Service) Report(_ context.Context, q *pb.ReportRequest) (*pb.ReportResponse, error) {
	lead := s.log.Leadership()
	if lead.Leads {
		s.reports.Put(q, time.Now())
	}
	return &pb.ReportResponse{Leads: lead.Leads, LeaderAddr: lead.LeaderAddr}, nil
}

// Join implements the Member rpc service.
func (s *Service) Join(ctx context.Context, q *pb.JoinRequest) (*pb.JoinResponse, error) {
	if s.join == nil {
		return &pb.JoinResponse{Leads: true, Cause: "members of this group are changed by operators"}, nil
	}
	return s.join(ctx, q), nil
}
