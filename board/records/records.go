// Package records applies replicated records to views of the board. Control uses
// it for the records that it commits, and routers for those that they receive, so
// that both follow the same rules.
package records

import (
	"maps"
	"net/netip"
	"strings"
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/rollout"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// EmptyView returns the view before any record is applied. Its maps are empty,
// not nil.
func EmptyView() *board.View {
	return &board.View{
		QuietDCs:      map[topology.DataCentre]board.Quiet{},
		QuietTargets:  map[topology.TargetID]board.Quiet{},
		Routers:       map[topology.VMName]board.Router{},
		Assignments:   map[topology.TargetID]board.Assignment{},
		NonIdempotent: map[topology.KindName]bool{},
		Rollouts:      map[route.ServiceName]rollout.Status{},
	}
}

// Error reports a replicated record that cannot be decoded.
type Error struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return "record " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Apply returns a copy of v with recs applied in order. V itself is not modified.
// Index is not updated. Records with an unknown key prefix are ignored. The error
// is an *Error.
func Apply(v *board.View, recs []*pb.Record) (*board.View, error) {
	next := *v
	e := viewEdit{view: &next}
	for _, rec := range recs {
		if err := e.apply(rec); err != nil {
			return nil, &Error{Key: rec.GetKey(), Cause: err}
		}
	}
	return &next, nil
}

// viewEdit modifies a view, cloning each of its maps before the first change.
type viewEdit struct {
	view *board.View
	// dcs to rollouts are true once the map has been cloned.
	dcs, targets, routers, assignments, kinds, rollouts bool
}

// mutable returns a map that may be modified. On the first call it replaces the map
// with a clone.
func mutable[K comparable, V any](cloned *bool, m *map[K]V) map[K]V {
	if !*cloned {
		*cloned = true
		*m = maps.Clone(*m)
	}
	if *m == nil {
		*m = make(map[K]V)
	}
	return *m
}

// put sets the entry for key, or deletes it if deleted is true.
func put[K comparable, V any](m map[K]V, key K, deleted bool, value V) {
	if deleted {
		delete(m, key)
		return
	}
	m[key] = value
}

func (e *viewEdit) apply(rec *pb.Record) error {
	prefix, name, _ := strings.Cut(rec.GetKey(), "/")
	v, deleted := e.view, rec.GetDeleted()
	switch prefix + "/" {
	case rpc.KeyDeployment:
		return e.deployment(rec.GetDeployment())
	case rpc.KeyQuietDC:
		put(mutable(&e.dcs, &v.QuietDCs), topology.DataCentre(name), deleted, quiet(rec.GetQuietDc()))
	case rpc.KeyQuietTarget:
		put(mutable(&e.targets, &v.QuietTargets), topology.TargetID(name), deleted, quiet(rec.GetQuietTarget()))
	case rpc.KeyRouter:
		return e.router(topology.VMName(name), rec)
	case rpc.KeyAssignment:
		a := rec.GetAssignment()
		put(mutable(&e.assignments, &v.Assignments), topology.TargetID(name), deleted, board.Assignment{
			Owner:    topology.VMName(a.GetOwner()),
			Previous: topology.VMName(a.GetPrevious()),
			Epoch:    rec.GetVersion(),
		})
	case rpc.KeyQuotasGranted:
		v.QuotasGranted = !deleted
	case rpc.KeyQuotasSettled:
		v.QuotasSettled, v.QuotasSettledAt = !deleted, rec.GetVersion()
	case rpc.KeyQuotasRestored:
		v.QuotasRestoredAt = rec.GetVersion()
		if deleted {
			v.QuotasRestoredAt = 0
		}
	case rpc.KeyRoutes:
		return e.routes(rec)
	case rpc.KeyNonIdempotent:
		put(mutable(&e.kinds, &v.NonIdempotent), topology.KindName(name), deleted, true)
	case rpc.KeyRollout:
		put(mutable(&e.rollouts, &v.Rollouts), route.ServiceName(name), deleted, rollout.FromRecord(rec.GetRollout()))
	}
	return nil
}

func (e *viewEdit) deployment(d *pb.DeploymentRecord) error {
	deployment, err := rpc.UnpackDeployment(d)
	if err != nil {
		return err
	}
	e.view.ConfigVersion = d.GetVersion()
	e.view.Topology = topology.NewIndex(deployment)
	return nil
}

func (e *viewEdit) routes(rec *pb.Record) error {
	body, err := rpc.UnpackRoutes(rec.GetRoutes())
	if err != nil {
		return err
	}
	e.view.Routes = &board.RouteDocument{Version: rec.GetRoutes().GetVersion(), Index: rec.GetVersion(), Body: body}
	return nil
}

func quiet(q *pb.QuietRecord) board.Quiet {
	out := board.Quiet{Intent: q.GetIntent(), Leaving: q.GetLeaving()}
	if ms := q.GetUntilUnixMs(); ms != 0 {
		out.Until = time.UnixMilli(ms).UTC()
	}
	return out
}

func (e *viewEdit) router(name topology.VMName, rec *pb.Record) error {
	routers := mutable(&e.routers, &e.view.Routers)
	if rec.GetDeleted() {
		delete(routers, name)
		return nil
	}
	r := rec.GetRouter()
	rpcAddr, err := netip.ParseAddrPort(r.GetRpcAddr())
	if err != nil {
		return err
	}
	httpAddr, err := netip.ParseAddrPort(r.GetHttpAddr())
	if err != nil {
		return err
	}
	routers[name] = board.Router{
		VM: topology.VM{
			Name:       name,
			DataCentre: topology.DataCentre(r.GetDataCentre()),
			RPC:        rpcAddr,
			HTTP:       httpAddr,
		},
		Incarnation: r.GetIncarnation(),
		Leaving:     r.GetLeaving(),
		Version:     rec.GetVersion(),
	}
	return nil
}
