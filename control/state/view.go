package state

import (
	"maps"
	"net/netip"
	"strings"
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

func emptyView() *board.View {
	return &board.View{
		QuietDCs:      map[topology.DataCentre]board.Quiet{},
		QuietTargets:  map[topology.TargetID]board.Quiet{},
		Routers:       map[topology.VMName]board.Router{},
		Assignments:   map[topology.TargetID]board.Assignment{},
		NonIdempotent: map[topology.KindName]bool{},
	}
}

// withRecords returns a copy of v brought up to date with records.
func withRecords(v *board.View, records []*pb.Record) (*board.View, error) {
	next := *v
	e := viewEdit{view: &next}
	for _, rec := range records {
		if err := e.apply(rec); err != nil {
			return nil, err
		}
	}
	return &next, nil
}

// viewEdit copies each map of a view before its first change.
type viewEdit struct {
	view                                      *board.View
	dcs, targets, routers, assignments, kinds bool
}

func edit[K comparable, V any](done *bool, m *map[K]V) map[K]V {
	if !*done {
		*m = maps.Clone(*m)
		*done = true
	}
	return *m
}

func put[K comparable, V any](m map[K]V, key K, deleted bool, value V) {
	if deleted {
		delete(m, key)
		return
	}
	m[key] = value
}

func (e *viewEdit) apply(rec *pb.Record) error {
	prefix, name, _ := strings.Cut(rec.GetKey(), "/")
	v, gone := e.view, rec.GetDeleted()
	switch prefix + "/" {
	case rpc.KeyDeployment:
		return e.deployment(rec.GetDeployment())
	case rpc.KeyQuietDC:
		put(edit(&e.dcs, &v.QuietDCs), topology.DataCentre(name), gone, quiet(rec.GetQuietDc()))
	case rpc.KeyQuietTarget:
		put(edit(&e.targets, &v.QuietTargets), topology.TargetID(name), gone, quiet(rec.GetQuietTarget()))
	case rpc.KeyRouter:
		put(edit(&e.routers, &v.Routers), topology.VMName(name), gone, router(topology.VMName(name), rec))
	case rpc.KeyAssignment:
		a := rec.GetAssignment()
		put(edit(&e.assignments, &v.Assignments), topology.TargetID(name), gone, board.Assignment{
			Owner:    topology.VMName(a.GetOwner()),
			Previous: topology.VMName(a.GetPrevious()),
			Epoch:    rec.GetVersion(),
		})
	case rpc.KeyNonIdempotent:
		put(edit(&e.kinds, &v.NonIdempotent), topology.KindName(name), gone, true)
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

func quiet(q *pb.QuietRecord) board.Quiet {
	out := board.Quiet{Intent: q.GetIntent(), Leaving: q.GetLeaving()}
	if ms := q.GetUntilUnixMs(); ms != 0 {
		out.Until = time.UnixMilli(ms).UTC()
	}
	return out
}

// router reads a router's record. Addresses were checked before they were
// written.
func router(name topology.VMName, rec *pb.Record) board.Router {
	r := rec.GetRouter()
	rpcAddr, _ := netip.ParseAddrPort(r.GetRpcAddr())
	httpAddr, _ := netip.ParseAddrPort(r.GetHttpAddr())
	return board.Router{
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
}
