// Package entry serves callers over HTTP: it validates a query, scatters it to
// the owners of the shards' targets, gathers their replies and answers.
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

// Owners sends sub-requests to the owners of targets. An error has a method
// NotSent that returns true if the sub-request certainly wasn't sent.
type Owners interface {
	Call(ctx context.Context, owner topology.VMName, q *pb.SubRequest) (*pb.SubReply, error)
}

// Claim is the result of an attempt to claim or settle a request key.
type Claim struct {
	Status pb.ClaimStatus
	// Outcome is the recorded outcome, if the claim is settled.
	Outcome []byte
}

// Claimer claims and settles the keys of non-idempotent requests. After an
// error it is unknown whether the change was committed.
type Claimer interface {
	Claim(ctx context.Context, key string, bodyHash uint64) (Claim, error)
	Settle(ctx context.Context, key string, bodyHash uint64, outcome []byte) (Claim, error)
}

// Config holds the dependencies of a Server. A nil Log discards all messages.
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
	cfg         Config
	ownerStates *query.OwnerStates
	history     *query.LatencyHistory
	budget      *query.Budget
	admissions  *admissions
	routes      atomic.Pointer[query.Routes]

	idPrefix string
	nextID   atomic.Uint64

	// mu guards draining, and makes sure that no query is added to running once
	// it is set.
	mu       sync.Mutex
	draining bool
	running  sync.WaitGroup
	counters Counters
}

// Counters holds a Server's counts since its start.
type Counters struct {
	Queries, Answers, Refusals atomic.Uint64
	// Dropped counts late, repeated and mismatched replies.
	Dropped                               atomic.Uint64
	SubRequests, Hedges, Retries, Replans atomic.Uint64
	Panics                                atomic.Uint64
}

// New returns a Server that has no owner states and latencies yet.
func New(cfg Config) *Server {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	var seed [8]byte
	_, _ = rand.Read(seed[:])
	return &Server{
		cfg:         cfg,
		ownerStates: query.NewOwnerStates(),
		history:     query.NewLatencyHistory(),
		budget:      &query.Budget{},
		admissions:  &admissions{byGroups: make(map[string]*query.Admission)},
		idPrefix:    hex.EncodeToString(seed[:]) + "-",
	}
}

// Counters returns the server's counters, which keep changing.
func (s *Server) Counters() *Counters { return &s.counters }

// Register adds the callers' paths to r.
func (s *Server) Register(r *mux.Router) {
	r.HandleFunc(api.PathQuery, s.serveQuery).Methods(http.MethodPost)
}

// Handler returns a handler that serves only the callers' paths.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	s.Register(r)
	return r
}

// CheckReady returns the refusal for new queries, or nil if the server accepts
// them.
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

// Drain stops accepting queries and waits for the running ones. It returns
// ctx's error if ctx ends first.
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

// beginQuery registers a running query. It returns false if the server is
// draining.
func (s *Server) beginQuery() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.running.Add(1)
	return true
}

// newRequestID returns a request ID: the random prefix of this process and a
// sequence number.
func (s *Server) newRequestID() string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], s.nextID.Add(1))
	return s.idPrefix + hex.EncodeToString(b[4:])
}

// currentRoutes returns the routes of the board's latest view.
func (s *Server) currentRoutes() *query.Routes {
	v := s.cfg.Board.View()
	if r := s.routes.Load(); r != nil && r.View == v {
		return r
	}
	r := query.NewRoutes(v)
	s.routes.Store(r)
	return r
}

// draw returns a random number uniform in [0, 1).
func draw() float64 { return mathrand.Float64() }
