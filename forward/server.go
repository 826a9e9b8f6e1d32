// Package forward answers callers' HTTP requests by forwarding them to targets: to
// one target of a service, to one service of a weighted split, or to one target of
// each shard, whose parts are merged into one response.
package forward

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/admission"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/clientlimit"
	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/internal/connpool"
	"github.com/peridotmux/peridotmux/internal/response"
	"github.com/peridotmux/peridotmux/outlier"
	"github.com/peridotmux/peridotmux/quarantine"
	"github.com/peridotmux/peridotmux/ratelimit"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/telemetry"
	"github.com/peridotmux/peridotmux/topology"
)

// defaultResponseMemory is the memory, in bytes, of responses until they are written.
const defaultResponseMemory = 32 << 20

// Config configures a Server.
type Config struct {
	Headers HeaderNames
	// VM is this router's name in control's records.
	VM         topology.VMName
	DataCentre topology.DataCentre
	Board      *board.Board
	Inventory  *discovery.Inventory
	// Decode parses a route document.
	Decode func(body []byte) (*route.Table, error)
	Budget BudgetLimits
	// Confirmed reports whether control confirmed the board's view recently. If nil,
	// requests never wait for that.
	Confirmed func(now time.Time) bool
	// KeysConfirmed reports whether control confirmed lately enough that no key was
	// withdrawn. If nil, requests with keys never need that.
	KeysConfirmed func(now time.Time) bool
	// Quota decides which requests of workspaces with a limit are within their quota. It
	// is nil if routers don't share quotas.
	Quota Quota
	// ListLag is how far the platform's target list may lag behind.
	ListLag time.Duration
	// LinkBitsPerSecond is the rate of the VM's link, 0 if unknown.
	LinkBitsPerSecond float64
	// ResponseMemoryBytes bounds the memory of targets' responses until the answer to the
	// caller is written, 0 for defaultResponseMemory. While responses wait for it, MakeRoom
	// is called, unless it is nil.
	ResponseMemoryBytes int64
	MakeRoom            func()
	// Outliers are the targets that all routers together found to be worse than
	// others, and Collector receives this router's observations. Both are nil for a
	// router that doesn't share them.
	Outliers  *outlier.View
	Collector *outlier.Collector
	Rollouts  RolloutConfig
	// Learning is nil for a router that doesn't learn the targets' capacity.
	Learning *Learning
	// RateLimits are the limits that targets named to all routers. If nil, the server
	// knows those that it was told itself.
	RateLimits *ratelimit.Gateway
	// Quarantine keeps requests that crash targets away from them. If nil, the server uses
	// what it saw itself.
	Quarantine *quarantine.Guard
	// Admission decides which queries are served by scarce shards. It is nil if all are.
	Admission *admission.Gate
	Log       *slog.Logger
	Metrics   *telemetry.Forward
}

// Server is an http.Handler that forwards callers' requests to targets. Run must be
// running while it serves. It is safe for concurrent use.
type Server struct {
	cfg          Config
	fleet        *fleet
	budget       *budget
	serviceTimes *serviceTimes
	checker      *healthChecker
	requestLog   *requestLogger
	workers      *workers
	resume       *resumeGate
	guard        *quarantine.Guard
	// helpers are the routers that send sub-requests for this one, and sharedParts the
	// number of shards in progress that this one asks for others.
	helpers     *helpers
	sharedParts atomic.Int64
	// responseMemory bounds the bodies of targets' responses.
	responseMemory *response.Memory
	// unacked reports whether a target's host hasn't acknowledged all that was sent.
	unacked func(*connpool.Conn) bool
	// acceptTime returns how long a helper may take to accept shards.
	acceptTime func(*route.Route) time.Duration
	answerLag  answerLag
	table      atomic.Pointer[route.Table]
	sequences  sync.Map // of route.Name to *atomic.Uint64
	active     atomic.Int64
	// noKeepAlives makes responses carry "Connection: close".
	noKeepAlives atomic.Bool
	drain        *drain
}

// New returns a server without a route table.
func New(c Config) *Server {
	if c.Outliers == nil {
		c.Outliers, c.Collector = outlier.NewView(), outlier.NewCollector()
	}
	now := time.Now()
	s := &Server{
		cfg: c, fleet: newFleet(c.VM, c.DataCentre, c.ListLag, c.Collector),
		budget: newBudget(c.Budget, now), serviceTimes: newServiceTimes(), requestLog: newRequestLogger(c.Log), workers: newWorkers(), drain: newDrain(),
		helpers: newHelpers(c.Log), unacked: (*connpool.Conn).Unacked, acceptTime: acceptTime,
	}
	s.fleet.rollouts = newRollouts(c.Rollouts)
	if c.Rollouts.Collector != nil {
		c.Rollouts.Collector.SetApplied(s.fleet.rolloutsApplied)
	}
	s.guard = cmp.Or(c.Quarantine, quarantine.NewGuard(time.Now))
	s.fleet.learning = c.Learning
	if c.RateLimits != nil {
		s.fleet.limits = c.RateLimits
	}
	s.resume = newResumeGate(c.Confirmed, now)
	s.responseMemory = response.NewMemory(cmp.Or(c.ResponseMemoryBytes, defaultResponseMemory), c.MakeRoom)
	s.checker = &healthChecker{fleet: s.fleet, headers: &s.cfg.Headers, log: c.Log}
	return s
}

// Ready reports whether the server has a route table and a target list.
func (s *Server) Ready() bool {
	return s.table.Load() != nil && !s.cfg.Inventory.List().RequestedAt.IsZero()
}

// Table returns the route table in force, nil before the first.
func (s *Server) Table() *route.Table { return s.table.Load() }

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// Run keeps the targets and routes up to date until ctx ends.
func (s *Server) Run(ctx context.Context) {
	defer s.workers.close()
	defer s.helpers.close()
	var wg sync.WaitGroup
	wg.Go(func() { s.checker.run(ctx) })
	wg.Go(func() { s.resume.run(ctx) })
	wg.Go(func() { s.trimLoop(ctx) })
	wg.Go(func() { s.outlierLoop(ctx) })
	for ctx.Err() == nil {
		boardChanged := s.cfg.Board.Changed()
		listChanged := s.cfg.Inventory.Changed()
		s.refresh()
		select {
		case <-boardChanged:
		case <-listChanged:
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

func (s *Server) trimLoop(ctx context.Context) {
	tick := time.NewTicker(trimInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, b := range s.fleet.trim(now) {
				go s.openConnection(ctx, b)
			}
			s.openLinks(ctx, now)
		}
	}
}

// outlierLoop applies the outliers found by all routers whenever they change.
func (s *Server) outlierLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.cfg.Outliers.Changed()
		set := s.cfg.Outliers.Outliers()
		s.fleet.applyOutliers(set, time.Now())
		s.cfg.Log.Debug("outliers applied", "targets", len(set))
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// refresh applies the newest routes, records, targets and outliers.
func (s *Server) refresh() {
	view, list := s.cfg.Board.View(), s.cfg.Inventory.List()
	s.applyRoutes(view.Routes)
	now := time.Now()
	s.fleet.update(list, view, s.table.Load(), now)
	s.helpers.retain(s.fleet.helperAddrs())
	s.fleet.applyOutliers(s.cfg.Outliers.Outliers(), now)
}

// applyRoutes puts a newer route document in force. One that can't be decoded is
// logged and ignored.
func (s *Server) applyRoutes(d *board.RouteDocument) {
	if d == nil {
		return
	}
	old := s.table.Load()
	if old != nil && d.Version <= old.Version {
		return
	}
	table, err := s.cfg.Decode(d.Body)
	if err != nil {
		s.cfg.Log.Error("routes not taken", "version", d.Version, "index", d.Index, "error", err)
		return
	}
	s.table.Store(table)
	before := uint64(0)
	if old != nil {
		before = old.Version
	}
	s.cfg.Log.Info("routes taken", "version", table.Version, "before", before, "index", d.Index, "routes", len(table.Routes))
}

// ServeHTTP answers one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	received := time.Now()
	client := clientlimit.FromContext(r.Context())
	if !client.Begin(r, clientlimit.HasBody(r)) {
		panic(http.ErrAbortHandler) // The connection was closed before its request was read.
	}
	defer client.End()
	if s.noKeepAlives.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.resume.wait(r.Context()) {
		s.cfg.Log.Info(msgResumed, "request", r.Header.Get(s.cfg.Headers.RequestID), "after", time.Since(received))
	}
	req, refusal := s.parse(r, received)
	if req != nil {
		defer req.end()
	}
	if refusal != nil {
		s.refuse(w, r, req, refusal)
		return
	}
	if !s.drain.limit(req, time.Now()) {
		s.refuseDraining(w, r, req)
		return
	}
	done, refusal := s.admitSuspect(r.Context(), req)
	if refusal != nil {
		s.refuse(w, r, req, refusal)
		return
	}
	if done != nil {
		defer done()
	}
	if refusal := s.admitQuota(r.Context(), req, time.Now()); refusal != nil {
		s.refuse(w, r, req, refusal)
		return
	}
	if req.route.Gather != nil {
		s.gather(w, r, req)
		return
	}
	s.single(w, r, req)
}

// parse builds the request to forward, or returns a refusal.
func (s *Server) parse(r *http.Request, received time.Time) (req *request, refused *refusal) {
	table := s.table.Load()
	if table == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: reasonNoRoutes, retryAfter: noRoutesRetryAfter}
	}
	path := r.URL.EscapedPath()
	found := table.Match(r.Host, path)
	req = &request{
		id: r.Header.Get(s.cfg.Headers.RequestID), method: r.Method, uri: r.RequestURI, host: r.Host,
		header: r.Header, received: received, allowance: networkAllowance(r.Context()), route: found, table: table,
		hasBody: r.ContentLength > 0 || r.Header.Get("Content-Length") != "" || len(r.TransferEncoding) > 0,
	}
	if found == nil {
		return req, &refusal{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	if err := checkHeaders(r, table.Limits.HeaderBytes); err != nil {
		return req, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeaders, cause: err}
	}
	if refusal := s.identify(req); refusal != nil {
		return req, refusal
	}
	req.deadline = received.Add(timeBudget(r.Header.Get(s.cfg.Headers.TimeLeftMS), req.allowance, found.TimeLimit))
	if len(found.Split) == 1 {
		s.budget.recordRequest(found.Split[0].Service, received)
	}
	if req.release, refused = s.admitClient(r, req); refused != nil {
		return req, refused
	}
	req.body, refused = readRequestBody(r, table.Limits.BodyBytes)
	return req, refused
}

// timeBudget returns how long a request may take so that its response arrives
// before the caller stops waiting. text is the caller's time left in milliseconds.
func timeBudget(text string, allowance, limit time.Duration) time.Duration {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms <= 0 {
		return limit
	}
	left := time.Duration(ms * float64(time.Millisecond))
	return min(limit, max(left-allowance, left/2))
}

// nextSequence returns the number of a request among those of its route, starting
// at 1.
func (s *Server) nextSequence(name route.Name) uint64 {
	counter, _ := s.sequences.LoadOrStore(name, &atomic.Uint64{})
	return counter.(*atomic.Uint64).Add(1)
}
