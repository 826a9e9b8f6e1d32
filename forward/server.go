package forward

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/outlier"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/telemetry"
	"github.com/peridotmux/peridotmux/topology"
)

// Config is what a Server needs.
type Config struct {
	Headers    HeaderNames
	DataCentre topology.DataCentre
	Board      *board.Board
	Inventory  *discovery.Inventory
	// Decode reads a route document.
	Decode func(body []byte) (*route.Table, error)
	Budget BudgetLimits
	// ListLag is how far the platform's list may be behind.
	ListLag time.Duration
	// LinkBitsPerSecond is the rate of the VM's link, 0 if unknown.
	LinkBitsPerSecond float64
	// Outliers are the targets that all routers together found to be worse than
	// others, and Seen collects what this router tells them; both nil for a router
	// by itself.
	Outliers  *outlier.View
	Collector *outlier.Collector
	Log       *slog.Logger
	Metrics   *telemetry.Forward
}

// Server answers callers. Run must run meanwhile.
type Server struct {
	cfg     Config
	fleet   *fleet
	budget  *budget
	typical *typical
	checker *checker
	lines   *lineWriter
	workers *workers
	table   atomic.Pointer[route.Table]
	turns   sync.Map // of route.Name to *atomic.Uint64
	active  atomic.Int64
	// closing makes answers ask callers to leave the connection.
	closing atomic.Bool
}

// New returns a server that knows no routes yet.
func New(c Config) *Server {
	if c.Outliers == nil {
		c.Outliers, c.Collector = outlier.NewView(), outlier.NewCollector()
	}
	s := &Server{
		cfg: c, fleet: newFleet(c.DataCentre, c.ListLag, c.Collector),
		budget: newBudget(c.Budget), typical: newTypical(), lines: newLineWriter(c.Log), workers: newWorkers(),
	}
	s.checker = &checker{fleet: s.fleet, dialect: &s.cfg.Headers, log: c.Log}
	return s
}

// Ready reports whether the server can answer callers.
func (s *Server) Ready() bool {
	return s.table.Load() != nil && !s.cfg.Inventory.List().RequestedAt.IsZero()
}

// Table returns the route table in force, nil before the first.
func (s *Server) Table() *route.Table { return s.table.Load() }

// DisableKeepAlives makes every answer from now on ask its caller to leave the connection.
func (s *Server) DisableKeepAlives() { s.closing.Store(true) }

// Active returns the number of requests that are being answered.
func (s *Server) Active() int64 { return s.active.Load() }

// Run keeps the targets and routes current until ctx ends.
func (s *Server) Run(ctx context.Context) {
	defer s.workers.close()
	var wg sync.WaitGroup
	wg.Go(func() { s.checker.run(ctx) })
	wg.Go(func() { s.trimLoop(ctx) })
	wg.Go(func() { s.shareLoop(ctx) })
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
			s.fleet.trim(now)
		}
	}
}

// shareLoop takes what all routers found of the targets.
func (s *Server) shareLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.cfg.Outliers.Changed()
		set := s.cfg.Outliers.Outliers()
		s.fleet.takeOutliers(set, time.Now())
		s.cfg.Log.Debug("outliers taken", "targets", len(set))
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (s *Server) refresh() {
	view, list := s.cfg.Board.View(), s.cfg.Inventory.List()
	s.takeRoutes(view.Routes)
	now := time.Now()
	s.fleet.update(list, view, s.table.Load(), now)
	s.fleet.takeOutliers(s.cfg.Outliers.Outliers(), now)
}

// takeRoutes puts a newer route document in force.
func (s *Server) takeRoutes(d *board.RouteDocument) {
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
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	q, refusal := s.read(r, received)
	if refusal != nil {
		s.refuse(w, r, q, refusal)
		return
	}
	if q.route.Gather != nil {
		s.gather(w, r, q)
		return
	}
	s.single(w, r, q)
}

// read makes a request from what the caller sent.
func (s *Server) read(r *http.Request, received time.Time) (*request, *refusal) {
	table := s.table.Load()
	if table == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: reasonNoRoutes, retryAfter: noRoutesRetry}
	}
	path := r.URL.EscapedPath()
	found := table.Match(r.Host, path)
	q := &request{
		id: r.Header.Get(s.cfg.Headers.RequestID), method: r.Method, uri: r.RequestURI, host: r.Host,
		header: r.Header, received: received, allowance: allowance(r.Context()), route: found, table: table,
		sized: r.ContentLength > 0 || r.Header.Get("Content-Length") != "" || len(r.TransferEncoding) > 0,
	}
	if found == nil {
		return q, &refusal{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	if err := checkHeaders(r, table.Limits.HeaderBytes); err != nil {
		return q, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeaders, cause: err}
	}
	q.deadline = received.Add(timeLeft(r.Header.Get(s.cfg.Headers.TimeLeftMS), q.allowance, found.TimeLimit))
	for _, service := range found.Services() {
		if found.Gather != nil || len(found.Split) == 1 {
			s.budget.request(service, received)
		}
	}
	body, err := readRequestBody(r, table.Limits.BodyBytes)
	switch {
	case isTooLarge(err):
		return q, &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge, cause: err}
	case err != nil:
		return q, &refusal{status: http.StatusBadRequest, reason: reasonBadBody, cause: err}
	}
	q.body = body
	return q, nil
}

// timeLeft returns how long a request may take, so that its final answer reaches
// the caller before that stops waiting.
func timeLeft(text string, allowance, limit time.Duration) time.Duration {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms <= 0 {
		return limit
	}
	left := time.Duration(ms * float64(time.Millisecond))
	return min(limit, max(left-allowance, left/2))
}

// turn returns the number of a request among those of its route.
func (s *Server) turn(name route.Name) uint64 {
	counter, _ := s.turns.LoadOrStore(name, &atomic.Uint64{})
	return counter.(*atomic.Uint64).Add(1)
}
