package router

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/gravitational/trace"

	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/telemetry"
)

// ListenError reports that a listening socket could not be opened.
type ListenError struct {
	Addr  netip.AddrPort
	Cause error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "can't listen on " + e.Addr.String() + ": " + e.Cause.Error()
}

// Unwrap returns the error from net.Listen.
func (e *ListenError) Unwrap() error { return e.Cause }

// RunDaemon runs a router with the given settings until ctx is done. Logs are
// written to w. The error is a *ListenError or an error of Router.Run.
func RunDaemon(ctx context.Context, s *settings.Router, w io.Writer) error {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return trace.Wrap(err)
	}
	rpcListener, err := listen(s.VM.RPC)
	if err != nil {
		return trace.Wrap(err)
	}
	httpListener, err := listen(s.VM.HTTP)
	if err != nil {
		return trace.Wrap(err)
	}
	r := New(Config{
		VM:            s.VM,
		Control:       s.Control,
		Incarnation:   rand.Uint64(),
		BalancerLag:   s.BalancerLag,
		ShutdownGrace: DefaultShutdownGrace,
		Searcher:      target.NewClient(target.Options{}),
		Logs:          telemetry.NewLogs(w, s.Log),
		Metrics:       metrics,
		Bounds:        s.Bounds,
		RPCListener:   rpcListener,
		HTTPListener:  httpListener,
	})
	return trace.Wrap(r.Run(ctx))
}

func listen(addr netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, &ListenError{Addr: addr, Cause: err}
	}
	return l, nil
}
