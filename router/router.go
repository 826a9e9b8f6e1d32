// Package router assembles a router process: it replicates records from the
// control plane and renews the lease, owns targets, and serves callers.
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
	// DefaultBalancerLag is how long the load balancer may keep sending new
	// requests after the readiness check has started to fail.
	DefaultBalancerLag = 2 * time.Second
	// DefaultShutdownGrace bounds the time to finish in-flight requests and hand
	// targets over to other routers.
	DefaultShutdownGrace = 15 * time.Second
)

// Config configures a Router.
type Config struct {
	VM topology.VM
	// Control lists the rpc addresses of the control members; at least one.
	Control []netip.AddrPort
	// Incarnation differs for each start of the process.
	Incarnation uint64
	// BalancerLag is how long the load balancer may keep sending new requests
	// after the readiness check has started to fail.
	BalancerLag time.Duration
	// ShutdownGrace bounds the part of the shutdown that follows BalancerLag.
	ShutdownGrace time.Duration
	Searcher      target.Searcher
	Logs          *telemetry.Logs
	Metrics       *telemetry.Metrics
	Bounds        settings.Bounds
	// RPCListener and HTTPListener listen on the addresses in VM. Run takes
	// ownership of them.
	RPCListener  net.Listener
	HTTPListener net.Listener
}

// Router is one router process. Create it with New.
type Router struct {
	cfg      Config
	log      *slog.Logger
	board    *board.Board
	lease    *lease.Lease
	follower *follower
	peers    *peers
	claims   *claimClient
	owner    *owner.Owner
	entry    *entry.Server
	http     *http.Server
	leaving  atomic.Bool
}

// New returns a router that does nothing until Run is called.
func New(cfg Config) *Router {
	r := &Router{cfg: cfg, log: cfg.Logs.Logger(settings.PartRouter), board: board.New(), lease: lease.New(time.Now())}
	r.peers = newPeers(cfg.VM.Name, r.board)
	r.claims = newClaimClient(cfg.VM.Name, cfg.Incarnation, cfg.Control)
	r.owner = owner.New(owner.Config{
		VM:            cfg.VM.Name,
		Board:         r.board,
		Lease:         r.lease,
		Searcher:      cfg.Searcher,
		FetchReleased: r.peers.FetchReleased,
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

// Board returns the board that holds the router's records.
func (r *Router) Board() *board.Board { return r.board }

// Run serves until ctx is done, then shuts down gracefully: in-flight requests
// are completed. It returns the first error of a server, or the errors of the
// shutdown.
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

// shutdown fails the readiness check and reports to control that the router is
// leaving. It accepts new requests for BalancerLag, then drains in-flight
// requests and waits until other routers own its targets.
func (r *Router) shutdown() error {
	log := r.log
	log.Info("shutdown begins", "balancer_lag", r.cfg.BalancerLag)
	r.leaving.Store(true)
	r.follower.renew()
	time.Sleep(r.cfg.BalancerLag)
	ctx, cancel := context.WithTimeout(context.Background(), r.cfg.ShutdownGrace)
	defer cancel()
	drainErr := r.entry.Drain(ctx)
	httpErr := r.http.Shutdown(ctx)
	handoverErr := r.waitHandover(ctx)
	if handoverErr == nil {
		r.waitReleasesDelivered(ctx)
	}
	r.peers.close()
	r.claims.close()
	err := errors.Join(drainErr, httpErr, handoverErr)
	log.Info("shutdown ends", "error", err)
	return err
}

// waitHandover waits until no target is assigned to this router, or no other
// router remains. The error is a *HandoverTimeoutError.
func (r *Router) waitHandover(ctx context.Context) error {
	for {
		changed := r.board.Changed()
		if !r.ownsAny() || !r.otherRouterRemains() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &HandoverTimeoutError{Timeout: r.cfg.ShutdownGrace}
		}
	}
}

// releasePollInterval is the interval between checks whether the next owners have
// been notified.
const releasePollInterval = 10 * time.Millisecond

// waitReleasesDelivered waits until the next owners have been notified that their
// targets are released. It waits for at most one lease duration, after which they
// may use the targets without the notification.
func (r *Router) waitReleasesDelivered(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lease.Duration)
	defer cancel()
	tick := time.NewTicker(releasePollInterval)
	defer tick.Stop()
	for r.otherRouterRemains() && !r.owner.AllHandedOver() {
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

// otherRouterRemains reports whether another router remains that can take targets
// over.
func (r *Router) otherRouterRemains() bool {
	for name, other := range r.board.View().Routers {
		if name != r.cfg.VM.Name && !other.Leaving {
			return true
		}
	}
	return false
}

// HandoverTimeoutError reports that targets were still assigned to the router
// at the end of its shutdown grace period.
type HandoverTimeoutError struct {
	Timeout time.Duration
}

// Error implements error.
func (e *HandoverTimeoutError) Error() string {
	return "targets were not handed over within " + e.Timeout.String()
}
