package trial

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/peridotmux/peridotmux/router"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/telemetry"
	"github.com/peridotmux/peridotmux/topology"
)

// Router is a running router. done holds the result of its run.
type Router struct {
	VM     topology.VM
	Router *router.Router
	stop   context.CancelFunc
	done   chan error
	kill   func()
}

// Kill simulates the loss of the router's VM: it closes all sockets, so that
// nothing is handed over. It doesn't close the router's searcher; the caller must.
func (r *Router) Kill() {
	r.kill()
	_ = r.Stop()
}

// Stop shuts the router down without interrupting requests in flight and returns
// its error, if any. It may be called more than once.
func (r *Router) Stop() error {
	r.stop()
	err := <-r.done
	r.done <- err
	return trace.Wrap(err)
}

func (s *System) startRouters() error {
	for i := range s.cfg.Routers {
		r, err := s.newRouter(i)
		if err != nil {
			return trace.Wrap(err)
		}
		s.Routers = append(s.Routers, r)
	}
	return nil
}

// RestartRouter replaces the i-th router, after Kill or Stop, by a new one on a VM
// of the same name with new addresses and a new incarnation.
func (s *System) RestartRouter(i int) error {
	r, err := s.newRouter(i)
	if err != nil {
		return trace.Wrap(err)
	}
	s.Routers[i] = r
	return nil
}

// newRouter starts the i-th router with a random incarnation.
func (s *System) newRouter(i int) (*Router, error) {
	rpcListener, rpcAddr, err := listen()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	httpListener, httpAddr, err := listen()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	cfg := router.Config{
		VM: topology.VM{
			Name:       topology.VMName("entry-" + strconv.Itoa(i+1)),
			DataCentre: s.dataCentre(i),
			RPC:        rpcAddr,
			HTTP:       httpAddr,
		},
		Control:       s.controlRPC(),
		Incarnation:   rand.Uint64(),
		ShutdownGrace: router.DefaultShutdownGrace,
		Searcher:      target.NewClient(target.Options{}),
		Logs:          telemetry.NewLogs(s.cfg.LogOutput, s.cfg.Log),
		Metrics:       metrics,
		Bounds:        settings.DefaultBounds,
		RPCListener:   rpcListener,
		HTTPListener:  httpListener,
	}
	if s.cfg.ModifyRouter != nil {
		s.cfg.ModifyRouter(&cfg)
	}
	return runRouter(cfg), nil
}

// runRouter starts a router on listeners that track their connections, so that Kill
// can close them.
func runRouter(cfg router.Config) *Router {
	ctx, stop := context.WithCancel(context.Background())
	rpcListener, httpListener := newTrackingListener(cfg.RPCListener), newTrackingListener(cfg.HTTPListener)
	cfg.RPCListener, cfg.HTTPListener = rpcListener, httpListener
	r := &Router{VM: cfg.VM, Router: router.New(cfg), stop: stop, done: make(chan error, 1)}
	r.kill = func() {
		httpListener.closeAll()
		rpcListener.closeAll()
	}
	go func() { r.done <- r.Router.Run(ctx) }()
	return r
}

// controlRPC returns the RPC addresses of the control members.
func (s *System) controlRPC() []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range s.Members {
		out = append(out, m.Settings.VM.RPC)
	}
	return out
}
