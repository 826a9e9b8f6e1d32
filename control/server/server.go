// Package server runs one member of control: the service for routers and other
// members, and the administration API.
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

// shutdownTimeout bounds the time that requests get to end.
const shutdownTimeout = 5 * time.Second

// Group is what the consensus package gives a member.
type Group struct {
	Log control.Log
	// Members is nil if the membership can't be changed.
	Members control.Membership
	// RegisterRPC adds the group's own rpc services, if any.
	RegisterRPC func(drpc.Mux) error
	// Run runs the group's work until ctx ends, if there is any.
	Run func(ctx context.Context) error
}

// GroupFactory starts the replicated log over a state machine.
type GroupFactory func(ctx context.Context, sm control.StateMachine) (*Group, error)

// Config is what a member needs.
type Config struct {
	// Member names this member.
	Member string
	// Peers lists all members with their addresses, this one included.
	Peers []admin.Peer
	// RPC and HTTP are the listeners. Run closes them.
	RPC    net.Listener
	HTTP   net.Listener
	Group  GroupFactory
	Limits state.Limits
	Logger *slog.Logger
	// Metrics may be zero.
	Metrics telemetry.Control
	// Bounds limits what the HTTP server takes; zero for the default.
	Bounds settings.Bounds
	// RegisterHTTP adds other pages to the HTTP server, such as metrics; may be nil.
	RegisterHTTP func(*mux.Router, *state.State, control.Log)
	// VoterAddrs returns the rpc addresses of the voting members; may be nil.
	VoterAddrs func() []string
	// Join makes a member a voter, at the leader; nil refuses.
	Join func(context.Context, *pb.JoinRequest) *pb.JoinResponse
	// RegisterRPC adds further rpc services; may be nil.
	RegisterRPC func(drpc.Mux) error
	// Background is work that runs beside the member, with its state and log; may be nil.
	Background func(ctx context.Context, st *state.State, log control.Log) error
	// FirstDeployment is the deployment of a group that has none yet; may be nil.
	FirstDeployment *topology.Deployment
}

// Run runs a member until ctx ends.
func Run(ctx context.Context, c Config) error {
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
			proposeFirst(ctx, group.Log, st, c.FirstDeployment, c.Logger)
			return nil
		})
	}
	work.Go(func() error { return serveHTTP(ctx, c, group, st, svc) })
	c.Logger.Info("control member runs", "member", c.Member,
		"rpc", c.RPC.Addr().String(), "http", c.HTTP.Addr().String())
	err = work.Wait()
	if ctx.Err() != nil && err == nil {
		return nil
	}
	return err
}

func register(m drpc.Mux, svc *service.Service, group *Group, more func(drpc.Mux) error) error {
	if err := pb.DRPCRegisterControl(m, svc); err != nil {
		return err
	}
	if err := pb.DRPCRegisterMember(m, svc); err != nil {
		return err
	}
	for _, add := range []func(drpc.Mux) error{group.RegisterRPC, more} {
		if add == nil {
			continue
		}
		if err := add(m); err != nil {
			return err
		}
	}
	return nil
}

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
	unknown := telemetry.RefuseHandler(&api.Refusal{
		Code: api.CodeNotFound, Message: "there is no such path or method",
		Execution: api.NotRun, Status: http.StatusNotFound,
	})
	r.NotFoundHandler, r.MethodNotAllowedHandler = unknown, unknown
	bounds := c.Bounds
	if bounds == (settings.Bounds{}) {
		bounds = settings.DefaultBounds
	}
	srv := telemetry.NewServer(r, bounds, c.Logger)
	ended := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = srv.Shutdown(ctx)
	})
	if err := srv.Serve(c.HTTP); ctx.Err() == nil {
		return err
	}
	<-ended
	return nil
}
