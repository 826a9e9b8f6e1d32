// Package gateway runs one forwarding router: it receives routes and targets from
// control, and answers callers by forwarding their requests to targets.
package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/admission"
	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/clientlimit"
	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/forward"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/outlier"
	"github.com/peridotmux/peridotmux/quarantine"
	"github.com/peridotmux/peridotmux/quota"
	"github.com/peridotmux/peridotmux/ratelimit"
	"github.com/peridotmux/peridotmux/rollout/report"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/router"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/telemetry"
)

const (
	// balancerLag is how long the platform's balancer may send new connections
	// after readiness has failed: two checks at an interval of one second, and a
	// margin.
	balancerLag = 2400 * time.Millisecond
	// shutdownMargin is the part of the grace time reserved for the end of the
	// process.
	shutdownMargin = 500 * time.Millisecond
	// answerMargin is the part of the grace time before that in which the last answers
	// are written.
	answerMargin = 300 * time.Millisecond
	// exitWait bounds the wait for background work at the end of the process.
	exitWait = 150 * time.Millisecond
	// headerTimeout bounds the time that a caller takes to send a request's
	// headers. A route table may shorten it.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a caller's connection may be idle. A route table may
	// shorten it.
	idleTimeout = 60 * time.Second
	// minNewVersionTime is how old a confirmation may be at least for requests to new
	// versions, whatever the time for a rollback is: a few renewals of the lease.
	minNewVersionTime = 3 * lease.RenewInterval
	// pathStatus is the path of the status page for operators.
	pathStatus = "/status"
	// responseMemoryDivisor is the part of the process's memory for targets' responses
	// until they are written: one in responseMemoryDivisor.
	responseMemoryDivisor = 8
	// bitsPerMegabit converts a link's rate to bits per second.
	bitsPerMegabit = 1e6
	// maxHeaderBytes bounds a request's headers. A route table may lower it; the platform's
	// limit is half of it.
	maxHeaderBytes = 32 << 10
)

// Config configures a gateway.
type Config struct {
	Settings *settings.Gateway
	Headers  forward.HeaderNames
	// PathReady is the path of the balancer's readiness check.
	PathReady string
	// Decode parses a route document.
	Decode func([]byte) (*route.Table, error)
	// NewReader returns a reader of the platform's target list.
	NewReader func(*slog.Logger, *telemetry.List) discovery.Reader
	// Seeds returns the control addresses in the current settings.
	Seeds func() []netip.AddrPort
}

// ListenError means that a listening socket couldn't be opened.
type ListenError struct {
	Addr  netip.AddrPort
	Cause error
}

// Error describes the failure.
func (e *ListenError) Error() string {
	return "can't listen on " + e.Addr.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Gateway is one forwarding router.
type Gateway struct {
	cfg       Config
	log       *slog.Logger
	board     *board.Board
	lease     *lease.Lease
	inventory *discovery.Inventory
	outliers  *outlier.Client
	quotas    *quota.Client
	server    *forward.Server
	metrics   *telemetry.Metrics
	clients   *clientlimit.Account
	leaving   atomic.Bool
	started   time.Time

	// mu guards members, the addresses that control last sent.
	mu      sync.Mutex
	members []netip.AddrPort
}

// Run runs a gateway until ctx ends. It writes log lines to w.
func Run(ctx context.Context, c Config, w io.Writer) error {
	g, err := newGateway(c, w)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(g.run(ctx))
}

func newGateway(c Config, w io.Writer) (*Gateway, error) {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	logs := telemetry.NewLogs(w, c.Settings.Log)
	g := &Gateway{
		cfg: c, log: logs.Logger(settings.PartRouter), board: board.New(), lease: lease.New(time.Now()), started: time.Now(),
		inventory: discovery.NewInventory(), metrics: metrics,
	}
	counts := report.NewCollector(string(c.Settings.VM.Name), rand.Uint64())
	gate, limits, guard := admission.NewGate(), ratelimit.NewGateway(time.Now), quarantine.NewGuard(time.Now)
	g.clients = clientlimit.New(clientlimit.Config{
		Limits: clientlimit.LimitsFor(c.Settings.MemoryMB, c.Settings.MaxFDs, clientlimit.GatewayShares),
		Log:    g.log, Metrics: metrics.Clients,
	})
	g.outliers = &outlier.Client{
		Topics:    []outlier.Topic{counts, gate, limits, guard},
		Collector: outlier.NewCollector(), View: outlier.NewView(), Self: string(c.Settings.VM.Name), Peers: g.knownMembers,
		Interval: func() time.Duration { return outlier.ReportInterval(len(g.board.View().Routers)) },
		Log:      g.log,
	}
	g.quotas = g.newQuotas()
	g.server = forward.New(forward.Config{
		Quota:      g.forwardQuota(),
		Headers:    c.Headers,
		VM:         c.Settings.VM.Name,
		DataCentre: c.Settings.VM.DataCentre,
		Board:      g.board,
		Inventory:  g.inventory,
		Decode:     c.Decode,
		Budget: forward.BudgetLimits{
			Ratio: c.Settings.Budget.Ratio, Slack: c.Settings.Budget.Slack, Window: c.Settings.Budget.Window,
		},
		Confirmed:           g.lease.Valid,
		KeysConfirmed:       g.keysConfirmed(),
		ListLag:             c.Settings.TargetList.Lag,
		LinkBitsPerSecond:   c.Settings.LinkMbps * bitsPerMegabit,
		ResponseMemoryBytes: int64(c.Settings.MemoryMB) << 20 / responseMemoryDivisor,
		MakeRoom:            g.clients.CloseStalled,
		Outliers:            g.outliers.View,
		Collector:           g.outliers.Collector,
		Rollouts: forward.RolloutConfig{
			Expected: c.Settings.Rollouts.Stated, Confirmed: g.newVersionsAllowed, ConfirmedWithin: g.lease.ConfirmedWithin, Collector: counts,
		},
		Learning:   g.newLearning(),
		RateLimits: limits,
		Quarantine: guard,
		Admission:  gate,
		Log:        logs.Logger(settings.PartEntry),
		Metrics:    metrics.Forward,
	})
	return g, g.showLearned()
}

// newVersionsAllowed reports whether control confirmed the records so lately that
// requests may go to the new version of a running rollout. The other half of the time
// for a rollback is for finding that the version is bad.
func (g *Gateway) newVersionsAllowed(now time.Time) bool {
	d := max(g.cfg.Settings.Rollouts.RollbackTime/2, minNewVersionTime)
	return g.lease.ConfirmedWithin(min(d, lease.Duration-lease.MaxClockDrift), now)
}

// keysConfirmed returns the check that no key was withdrawn, nil if the settings
// don't ask for it.
func (g *Gateway) keysConfirmed() func(time.Time) bool {
	revocation := g.cfg.Settings.Revocation
	if !revocation.Strict {
		return nil
	}
	return func(now time.Time) bool { return g.lease.ConfirmedWithin(revocation.Time, now) }
}

func (g *Gateway) run(ctx context.Context) error {
	s := g.cfg.Settings
	callers, err := listen(s.VM.HTTP)
	if err != nil {
		return err
	}
	readiness, err := listen(s.Readiness)
	if err != nil {
		return err
	}
	pages, err := listen(s.Pages)
	if err != nil {
		return err
	}
	peers, err := listen(s.VM.RPC)
	if err != nil {
		return err
	}
	g.log.Info("starts", "vm", s.VM.Name, "data_centre", s.VM.DataCentre, "callers", s.VM.HTTP, "control", s.Control)
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer func() {
		stop()
		waitAtMost(&wg, exitWait)
	}()
	wg.Go(func() { g.follow(base) })
	wg.Go(func() { g.source().Run(base) })
	wg.Go(func() { g.server.Run(base) })
	wg.Go(func() { g.outliers.Run(base) })
	wg.Go(func() { g.runQuotas(base) })
	front := &http.Server{
		Handler: g.server, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ConnContext: forward.ConnContext, ConnState: forward.ConnState, MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
	ready, page := g.operatorServer(http.HandlerFunc(g.ready)), g.operatorServer(g.pages())
	failed := make(chan error, 4)
	wg.Go(func() {
		if err := rpc.Serve(base, g.clients.Listen(peers, clientlimit.Peers), g.register); base.Err() == nil {
			failed <- err
		}
	})
	wg.Go(func() { failed <- front.Serve(g.server.Listener(g.clients.Listen(callers, clientlimit.Callers))) })
	wg.Go(func() { failed <- ready.Serve(g.clients.Listen(readiness, clientlimit.Operators)) })
	wg.Go(func() { failed <- page.Serve(g.clients.Listen(pages, clientlimit.Operators)) })
	defer func() {
		_ = ready.Close()
		_ = page.Close()
	}()
	select {
	case err := <-failed:
		_ = front.Close()
		return err
	case <-ctx.Done():
	}
	return g.shutdown(front)
}

// register adds the services for other gateways.
func (g *Gateway) register(mux drpc.Mux) error { return pb.DRPCRegisterParts(mux, g.server.Parts()) }

// waitAtMost waits for wg, but no longer than d, since nothing depends on how its
// goroutines end.
func waitAtMost(wg *sync.WaitGroup, d time.Duration) {
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(d):
	}
}

// shutdown fails the readiness check, waits until the balancer has taken the
// gateway out, and then finishes the requests in progress within the grace time.
func (g *Gateway) shutdown(front *http.Server) error {
	began := time.Now()
	g.leaving.Store(true)
	grace := g.cfg.Settings.Grace
	lag := min(balancerLag, grace/2)
	g.server.Drain(began.Add(max(grace-shutdownMargin-answerMargin, grace/2)))
	g.log.Info("shutdown begins", "balancer_lag", lag, "active", g.server.Active())
	time.Sleep(lag)
	ctx, cancel := context.WithTimeout(context.Background(), grace-lag-shutdownMargin)
	defer cancel()
	err := front.Shutdown(ctx)
	g.log.Info("shutdown ends", "after", time.Since(began), "active", g.server.Active(), "error", err)
	return nil
}

// ready answers the balancer's readiness check.
func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if g.leaving.Load() || !g.server.Ready() || !g.quotasReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// pages serves the metrics and the status page.
func (g *Gateway) pages() http.Handler {
	m := http.NewServeMux()
	m.Handle(api.PathMetrics, g.metrics.Handler())
	m.HandleFunc(pathStatus, g.status)
	return m
}

// status writes the gateway's current state as text.
func (g *Gateway) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = fmt.Fprintf(w, "vm: %s, ready: %v, leaving: %v\n", g.cfg.Settings.VM.Name, g.server.Ready(), g.leaving.Load())
	_, _ = fmt.Fprintf(w, "control: members %v, records up to %d, lease until %v\n",
		g.knownMembers(), g.board.View().Index, time.Until(g.lease.End()).Round(time.Millisecond))
	if g.quotas != nil {
		_, _ = fmt.Fprintln(w, g.quotas.Status())
	}
	g.server.WriteStatus(w)
}

// follow keeps the board and the lease up to date from control.
func (g *Gateway) follow(ctx context.Context) {
	router.Follow(ctx, router.FollowConfig{
		VM: g.cfg.Settings.VM, Incarnation: rand.Uint64(), Members: g.knownMembers, Board: g.board, Lease: g.lease,
		Log: g.log, Leaving: g.leaving.Load, OnMembers: g.setMembers, Traffic: g.metrics.Lease,
	})
}

// source returns the source of the target list. It watches control's list and reads
// the platform's only when control's is stale.
func (g *Gateway) source() *discovery.Source {
	list := g.cfg.Settings.TargetList
	return &discovery.Source{
		Inventory:    g.inventory,
		Reader:       g.cfg.NewReader(g.log, &g.metrics.List),
		Self:         string(g.cfg.Settings.VM.Name),
		IsReader:     func() bool { return false },
		Needed:       func() bool { return g.server.Table() != nil },
		Peers:        g.knownMembers,
		ReadInterval: discovery.ReadInterval(list.DrainTime),
		MaxListAge:   discovery.MaxListAge(list.DrainTime),
		StartupWait:  discovery.StartupWait,
		Log:          g.log,
	}
}

// knownMembers returns the addresses of control members: those that control last
// sent, then the seeds in the settings.
func (g *Gateway) knownMembers() []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := slices.Clone(g.members)
	for _, a := range g.cfg.Seeds() {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// setMembers stores the addresses of control members. Malformed ones are logged and
// skipped.
func (g *Gateway) setMembers(addrs []string) {
	var members []netip.AddrPort
	for _, text := range addrs {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			g.log.Warn("control member's address not read", "addr", text, "error", err)
			continue
		}
		members = append(members, a)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !slices.Equal(members, g.members) {
		g.log.Info("control members known", "members", members, "before", g.members)
		g.members = members
	}
}

func listen(addr netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, &ListenError{Addr: addr, Cause: err}
	}
	return l, nil
}
