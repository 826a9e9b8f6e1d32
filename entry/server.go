// Package entry serves callers over HTTP: it checks a query, scatters it to the
// owners of the shards' targets, gathers their replies and answers.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"log/slog"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/query"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/telemetry"
	"github.com/peridotmux/peridotmux/topology"
)

// Owners hands sub-requests to the owners of targets. An error that certainly
// knows that nothing was handed over has a method NotSent that returns true.
type Owners interface {
	Call(ctx context.Context, owner topology.VMName, q *pb.SubRequest) (*pb.SubReply, error)
}

// Claim is the answer to an attempt to claim a request key.
type Claim struct {
	Status pb.ClaimStatus
	// Outcome is what was recorded, if the claim is settled.
	Outcome []byte
}

// Claimer claims and settles the keys of non-idempotent requests. An error
// means that it isn't known whether the log took the change.
type Claimer interface {
	Claim(ctx context.Context, key string, bodyHash uint64) (Claim, error)
	Settle(ctx context.Context, key string, bodyHash uint64, outcome []byte) (Claim, error)
}

// Config holds what a Server works with.
type Config struct {
	VM      topology.VMName
	Board   *board.Board
	Lease   *lease.Lease
	Owners  Owners
	Claimer Claimer
	Log     *slog.Logger
	Metrics telemetry.Query
}

// Server answers callers' queries. It is safe for concurrent use.
type Server struct {
	cfg       Config
	learned   *query.OwnerStates
	history   *query.LatencyHistory
	budget    *query.Budget
	admission *admissions
	routes    atomic.Pointer[query.Routes]

	prefix string
	nextID atomic.Uint64

	mu       sync.Mutex
	draining bool
	running  sync.WaitGroup
	counters Counters
}

// Counters are what a Server counted since its start.
type Counters struct {
	Queries, Answers, Refusals atomic.Uint64
	// Dropped counts late, repeated and foreign replies.
	Dropped                               atomic.Uint64
	SubRequests, Hedges, Retries, Replans atomic.Uint64
	Panics                                atomic.Uint64
}

// New returns a server.
func New(cfg Config) *Server {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	var seed [8]byte
	_, _ = rand.Read(seed[:])
	return &Server{
		cfg:       cfg,
		learned:   query.NewOwnerStates(),
		history:   query.NewLatencyHistory(),
		budget:    &query.Budget{},
		admission: &admissions{byGroups: make(map[string]*query.Admission)},
		prefix:    hex.EncodeToString(seed[:]) + "-",
	}
}

// Counters returns the server's counters.
func (s *Server) Counters() *Counters { return &s.counters }

// Register adds the callers' paths to a router.
func (s *Server) Register(r *mux.Router) {
	r.HandleFunc(api.PathQuery, s.serveQuery).Methods(http.MethodPost)
}

// Handler returns a handler of the callers' paths alone.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	s.Register(r)
	return r
}

// CheckReady returns why the server takes no new work, or nil if it does.
func (s *Server) CheckReady(now time.Time) *api.Refusal {
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	switch {
	case draining:
		return refuse(api.CodeDraining, "this router shuts down")
	case s.cfg.Board.View().Topology == nil:
		return refuse(api.CodeNotReady, "no deployment has arrived yet")
	case !s.cfg.Lease.Valid(now):
		return refuse(api.CodeNoLease, "this router holds no valid lease")
	}
	return nil
}

// Drain stops the admission of queries and waits for those that run.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// begin counts a query as running, unless the server drains.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.running.Add(1)
	return true
}

func (s *Server) newRequestID() string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], s.nextID.Add(1))
	return s.prefix + hex.EncodeToString(b[4:])
}

// currentRoutes returns the routes of the newest view.
func (s *Server) currentRoutes() *query.Routes {
	v := s.cfg.Board.View()
	if r := s.routes.Load(); r != nil && r.View == v {
		return r
	}
	r := query.NewRoutes(v)
	s.routes.Store(r)
	return r
}

func draw() float64 { return mathrand.Float64() }
