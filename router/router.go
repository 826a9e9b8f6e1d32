// Package router joins the parts of one router: it follows control and keeps
// the lease, owns targets, and answers callers.
package router

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/entry"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/owner"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/telemetry"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// DefaultBalancerLag is how long the balancer may send new requests after
	// readiness has failed.
	DefaultBalancerLag = 2 * time.Second
	// DefaultShutdownGrace bounds the time to finish work and hand targets over.
	DefaultShutdownGrace = 15 * time.Second
)

// Config is what a router needs to run.
type Config struct {
	VM      topology.VM
	Control []netip.AddrPort
	// Incarnation differs for each start of the process.
	Incarnation uint64
	// BalancerLag is how long the balancer may lag behind readiness.
	BalancerLag time.Duration
	// ShutdownGrace bounds the whole shutdown after the balancer's lag.
	ShutdownGrace time.Duration
	Searcher      target.Searcher
	Logs          *telemetry.Logs
	Metrics       *telemetry.Metrics
	Bounds        settings.Bounds
	// RPCListener and HTTPListener are the open sockets of VM's addresses.
	RPCListener  net.Listener
	HTTPListener net.Listener
}

// Router is one router.
type Router struct {
	cfg      Config
	log      *slog.Logger
	board    *board.Board
	lease    *lease.Lease
	follower *follower
	peers    *peers
	claims   *claims
	owner    *owner.Owner
	entry    *entry.Server
	http     *http.Server
	leaving  atomic.Bool
}

// New builds a router; Run starts it.
func New(cfg Config) *Router {
	r := &Router{cfg: cfg, log: cfg.Logs.Logger(settings.PartRouter), board: board.New(), lease: lease.New(time.Now())}
	r.peers = newPeers(cfg.VM.Name, r.board)
	r.claims = newClaims(cfg.VM.Name, cfg.Incarnation, cfg.Control)
	r.owner = owner.New(owner.Config{
		VM:            cfg.VM.Name,
		Board:         r.board,
		Lease:         r.lease,
		Searcher:      cfg.Searcher,
		FetchReleased: r.peers.AskReleased,
		Log:           cfg.Logs.Logger(settings.PartOwner),
		Metrics:       cfg.Metrics.Owner,
	})
	r.peers.local = r.owner
	r.entry = entry.New(entry.Config{
		VM:      cfg.VM.Name,
		Board:   r.board,
		Lease:   r.lease,
		Owners:  r.peers,
		Claimer: r.claims,
		Log:     cfg.Logs.Logger(settings.PartEntry),
		Metrics: cfg.Metrics.Query,
	})
	r.follower = r.newFollower()
	r.http = telemetry.NewServer(r.handler(), cfg.Bounds, cfg.Logs.Logger(settings.PartHTTP))
	cfg.Metrics.Lease.SetSource(r.leaseState)
	cfg.Metrics.Owner.SetSource(r.owner.Load)
	return r
}

func (r *Router) newFollower() *follower {
	return &follower{
		vm:          r.cfg.VM,
		incarnation: r.cfg.Incarnation,
		members:     r.cfg.Control,
		board:       r.board,
		lease:       r.lease,
		log:         r.cfg.Logs.Logger(settings.PartLease),
		leaving:     r.leaving.Load,
		load:        r.owner.Load,
		renewNow:    make(chan struct{}, 1),
		traffic:     r.cfg.Metrics.Lease,
		onLeader:    r.claims.setLeader,
	}
}

// Board returns the router's blackboard.
func (r *Router) Board() *board.Board { return r.board }

// Run serves until ctx ends, then shuts down without cutting a request. It
// returns the first failure of a server.
func (r *Router) Run(ctx context.Context) error {
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	failed := make(chan error, 2)
	wg.Go(func() { r.follower.run(base) })
	wg.Go(func() { r.owner.Run(base) })
	wg.Go(func() { failed <- rpc.Serve(base, r.cfg.RPCListener, r.register) })
	wg.Go(func() { failed <- r.http.Serve(r.cfg.HTTPListener) })
	r.log.Info("router started", "vm", r.cfg.VM.Name, "incarnation", r.cfg.Incarnation,
		"http", r.cfg.HTTPListener.Addr().String(), "rpc", r.cfg.RPCListener.Addr().String())
	select {
	case err := <-failed:
		_ = r.http.Close()
		return err
	case <-ctx.Done():
	}
	return r.shutdown()
}

func (r *Router) register(m drpc.Mux) error { return pb.DRPCRegisterOwner(m, r.owner) }

// shutdown tells the balancer and control that the router leaves, takes new
// requests until the balancer has noticed, finishes what runs and waits until
// other routers own its targets.
func (r *Router) shutdown() error {
	log := r.log
	log.Info("shutdown begins", "balancer_lag", r.cfg.BalancerLag)
	r.leaving.Store(true)
	r.follower.renew()
	time.Sleep(r.cfg.BalancerLag)
	ctx, cancel := context.WithTimeout(context.Background(), r.cfg.ShutdownGrace)
	defer cancel()
	drained := r.entry.Drain(ctx)
	closed := r.http.Shutdown(ctx)
	handed := r.waitHandedOver(ctx)
	if handed == nil {
		r.waitTold(ctx)
	}
	r.peers.close()
	r.claims.close()
	err := errors.Join(drained, closed, handed)
	log.Info("shutdown ends", "error", err)
	return err
}

// waitHandedOver waits until no target is assigned to this router.
func (r *Router) waitHandedOver(ctx context.Context) error {
	for {
		changed := r.board.Changed()
		if !r.ownsAny() || !r.othersStay() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &HandoverTimeoutError{Timeout: r.cfg.ShutdownGrace}
		}
	}
}

// toldPoll is the time between two looks whether the next owners were told.
const toldPoll = 10 * time.Millisecond

// waitTold lets the next owners hear that their targets are released. After a
// lease they no longer need to.
func (r *Router) waitTold(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lease.Duration)
	defer cancel()
	tick := time.NewTicker(toldPoll)
	defer tick.Stop()
	for r.othersStay() && !r.owner.AllHandedOver() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Router) ownsAny() bool {
	for _, a := range r.board.View().Assignments {
		if a.Owner == r.cfg.VM.Name {
			return true
		}
	}
	return false
}

// othersStay reports whether a router is left that can take targets over.
func (r *Router) othersStay() bool {
	for name, other := range r.board.View().Routers {
		if name != r.cfg.VM.Name && !other.Leaving {
			return true
		}
	}
	return false
}

// HandoverTimeoutError says that targets were still assigned to the router when its
// time to shut down was over.
type HandoverTimeoutError struct {
	Timeout time.Duration
}

// Error describes the failure.
func (e *HandoverTimeoutError) Error() string {
	return "targets were not handed over within " + e.Timeout.String()
}
