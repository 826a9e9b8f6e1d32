// Package server runs one member of the control plane: the rpc service for
// routers and other members, and the administration API.
package server

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/clientlimit"
	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/control/admin"
	"github.com/peridotmux/peridotmux/control/service"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/telemetry"
	"github.com/peridotmux/peridotmux/topology"
)

// shutdownTimeout is how long in-flight HTTP requests may take at shutdown.
const shutdownTimeout = 5 * time.Second

// Group is the consensus group as the server uses it.
type Group struct {
	Log control.Log
	// Members is nil if the membership can't be changed.
	Members control.Membership
	// RegisterRPC adds the group's own rpc services. It may be nil.
	RegisterRPC func(drpc.Mux) error
	// Run does the group's background work until ctx ends. It may be nil.
	Run func(ctx context.Context) error
}

// GroupFactory starts the replicated log on top of a state machine.
type GroupFactory func(ctx context.Context, sm control.StateMachine) (*Group, error)

// Config configures a member.
type Config struct {
	// Member is the ID of this member.
	Member string
	// Peers lists all members with their addresses, including this one.
	Peers []admin.Peer
	// RPC and HTTP are the listeners. Run closes them.
	RPC    net.Listener
	HTTP   net.Listener
	Group  GroupFactory
	Limits state.Limits
	Logger *slog.Logger
	// Metrics may be the zero value.
	Metrics telemetry.Control
	// Clients is the account of what clients hold. It may be nil.
	Clients *clientlimit.Account
	// Bounds limits what the HTTP server accepts. The zero value selects
	// settings.DefaultBounds.
	Bounds settings.Bounds
	// RegisterHTTP adds further handlers to the HTTP server, such as metrics.
	// It may be nil.
	RegisterHTTP func(*mux.Router, *state.State, control.Log)
	// VoterAddrs returns the rpc addresses of the voting members. It may be
	// nil.
	VoterAddrs func() []string
	// Join makes a member a voter if this member is the leader. If it is nil,
	// join requests are refused.
	Join func(context.Context, *pb.JoinRequest) *pb.JoinResponse
	// RegisterRPC adds further rpc services. It may be nil.
	RegisterRPC func(drpc.Mux) error
	// Background runs beside the member, with its state and log, until ctx
	// ends. It may be nil.
	Background func(ctx context.Context, st *state.State, log control.Log) error
	// FirstDeployment is proposed to a group that has no deployment. It may be
	// nil.
	FirstDeployment *topology.Deployment
}

// Run runs a member until ctx ends or a part of it fails, and returns the first
// error.
func Run(ctx context.Context, c Config) error {
	if c.Clients != nil {
		c.RPC, c.HTTP = c.Clients.Listen(c.RPC, clientlimit.Peers), c.Clients.Listen(c.HTTP, clientlimit.Operators)
	}
	st := state.New(c.Limits)
	work, ctx := errgroup.WithContext(ctx)
	group, err := c.Group(ctx, st)
	if err != nil {
		return err
	}
	svc := service.New(service.Config{
		Member: c.Member, State: st, Log: group.Log, Logger: c.Logger, Metrics: c.Metrics,
		VoterAddrs: c.VoterAddrs, Join: c.Join,
	})
	if group.Run != nil {
		work.Go(func() error { return group.Run(ctx) })
	}
	work.Go(func() error {
		svc.Run(ctx)
		return nil
	})
	work.Go(func() error {
		return rpc.Serve(ctx, c.RPC, func(m drpc.Mux) error { return register(m, svc, group, c.RegisterRPC) })
	})
	if c.Background != nil {
		work.Go(func() error { return c.Background(ctx, st, group.Log) })
	}
	if c.FirstDeployment != nil {
		work.Go(func() error {
			proposeFirstDeployment(ctx, group.Log, st, c.FirstDeployment, c.Logger)
			return nil
		})
	}
	work.Go(func() error { return serveHTTP(ctx, c, group, st, svc) })
	c.Logger.Info("control member running", "member", c.Member,
		"rpc", c.RPC.Addr().String(), "http", c.HTTP.Addr().String())
	err = work.Wait()
	if ctx.Err() != nil && err == nil {
		return nil
	}
	return err
}

// register adds the rpc services of the member, of its group and those that
// registerMore adds.
func register(m drpc.Mux, svc *service.Service, group *Group, registerMore func(drpc.Mux) error) error {
	if err := pb.DRPCRegisterControl(m, svc); err != nil {
		return err
	}
	if err := pb.DRPCRegisterMember(m, svc); err != nil {
		return err
	}
	for _, add := range []func(drpc.Mux) error{group.RegisterRPC, registerMore} {
		if add == nil {
			continue
		}
		if err := add(m); err != nil {
			return err
		}
	}
	return nil
}

// serveHTTP serves the administration API, the health checks and the handlers
// of RegisterHTTP until ctx ends.
func serveHTTP(ctx context.Context, c Config, group *Group, st *state.State, svc *service.Service) error {
	r := mux.NewRouter()
	admin.New(admin.Config{
		State: st, Log: group.Log, Reports: svc.Reports(),
		Peers: c.Peers, Members: group.Members, Logger: c.Logger,
	}).Register(r)
	r.HandleFunc(api.PathLive, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc(api.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if group.Log.Leadership().LeaderAddr == "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if c.RegisterHTTP != nil {
		c.RegisterHTTP(r, st, group.Log)
	}
	notFound := telemetry.RefuseHandler(&api.Refusal{
		Code: api.CodeNotFound, Message: "there is no such path or method",
		Execution: api.NotRun, Status: http.StatusNotFound,
	})
	r.NotFoundHandler, r.MethodNotAllowedHandler = notFound, notFound
	bounds := c.Bounds
	if bounds == (settings.Bounds{}) {
		bounds = settings.DefaultBounds
	}
	srv := clientlimit.Serve(telemetry.NewServer(r, bounds, c.Logger))
	shutdown := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(shutdown)
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = srv.Shutdown(ctx)
	})
	if err := srv.Serve(c.HTTP); ctx.Err() == nil {
		return err
	}
	<-shutdown
	return nil
}
