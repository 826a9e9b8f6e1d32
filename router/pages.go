package router

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/telemetry"
	"github.com/peridotmux/peridotmux/topology"
)

// State is the router's own state as served at api.PathState.
type State struct {
	VM            topology.VMName `json:"vm"`
	Incarnation   uint64          `json:"incarnation"`
	Index         uint64          `json:"index"`
	ConfigVersion uint64          `json:"config_version"`
	// LeaseLeftMS is the remaining time of the lease in milliseconds, 0 if there
	// is no valid lease.
	LeaseLeftMS int64 `json:"lease_left_ms"`
	// Leaving is true once the router is shutting down.
	Leaving bool `json:"leaving"`
	// Owned lists the targets assigned to the router, sorted.
	Owned []topology.TargetID `json:"owned"`
}

func (r *Router) handler() http.Handler {
	m := mux.NewRouter()
	r.entry.Register(m)
	m.Handle(api.PathLive, telemetry.LiveHandler())
	m.Handle(api.PathReady, telemetry.ReadyHandler(r.unreadyReasons))
	m.Handle(api.PathMetrics, r.cfg.Metrics.Handler())
	m.HandleFunc(api.PathState, r.serveState)
	m.NotFoundHandler = telemetry.RefuseHandler(&api.Refusal{
		Code: api.CodeNotFound, Message: "no such path", Execution: api.NotRun, Status: http.StatusNotFound,
	})
	m.MethodNotAllowedHandler = telemetry.RefuseHandler(&api.Refusal{
		Code: api.CodeBadMethod, Message: "the path takes another method", Execution: api.NotRun,
		Status: http.StatusMethodNotAllowed,
	})
	return m
}

// unreadyReasons returns the reasons why the load balancer should send no new
// requests to this router, empty if it is ready.
func (r *Router) unreadyReasons() []telemetry.UnreadyReason {
	reasons := []telemetry.UnreadyReason{}
	if r.leaving.Load() {
		reasons = append(reasons, telemetry.UnreadyDraining)
	}
	if r.board.View().Topology == nil {
		reasons = append(reasons, telemetry.UnreadyNoDeployment)
	}
	if !r.lease.Valid(time.Now()) {
		reasons = append(reasons, telemetry.UnreadyNoLease)
	}
	return reasons
}

// leaseState returns the state of the lease for the metrics.
func (r *Router) leaseState() telemetry.LeaseState {
	v := r.board.View()
	left := time.Until(r.lease.End())
	return telemetry.LeaseState{
		Left:          left,
		Age:           max(0, lease.Duration-left),
		Index:         v.Index,
		ConfigVersion: v.ConfigVersion,
	}
}

func (r *Router) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.State(time.Now()))
}

// State returns the router's own state at now.
func (r *Router) State(now time.Time) State {
	v := r.board.View()
	s := State{
		VM:            r.cfg.VM.Name,
		Incarnation:   r.cfg.Incarnation,
		Index:         v.Index,
		ConfigVersion: v.ConfigVersion,
		LeaseLeftMS:   max(0, r.lease.End().Sub(now).Milliseconds()),
		Leaving:       r.leaving.Load(),
		Owned:         []topology.TargetID{},
	}
	for id, a := range v.Assignments {
		if a.Owner == r.cfg.VM.Name {
			s.Owned = append(s.Owned, id)
		}
	}
	slices.Sort(s.Owned)
	return s
}
