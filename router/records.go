package router

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

// RecordError says that a replicated record can't be used.
type RecordError struct {
	Key   string
	Cause error
}

// Error describes the failure.
func (e *RecordError) Error() string { return "record " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// StaleRecordsError says that a response would have taken the board back.
type StaleRecordsError struct {
	Have, Got uint64
}

// Error describes the failure.
func (e *StaleRecordsError) Error() string { return "records older than those applied" }

// applyResponse brings v to the state that r carries. It changes nothing and
// gives an error if r is older than v or holds a record that can't be read.
func applyResponse(v *board.View, r *pb.FollowResponse) error {
	if r.GetIndex() < v.Index {
		return &StaleRecordsError{Have: v.Index, Got: r.GetIndex()}
	}
	next := *v
	if r.GetSnapshot() {
		next = board.View{}
	}
	if len(r.GetRecords()) > 0 || r.GetSnapshot() {
		copyMaps(&next)
	}
	for _, rec := range r.GetRecords() {
		if err := applyRecord(&next, rec); err != nil {
			return &RecordError{Key: rec.GetKey(), Cause: err}
		}
	}
	if next.ConfigVersion < v.ConfigVersion {
		return &StaleRecordsError{Have: v.ConfigVersion, Got: next.ConfigVersion}
	}
	next.Index = r.GetIndex()
	*v = next
	return nil
}

func copyMaps(v *board.View) {
	v.QuietDCs = cloneMap(v.QuietDCs)
	v.QuietTargets = cloneMap(v.QuietTargets)
	v.Routers = cloneMap(v.Routers)
	v.Assignments = cloneMap(v.Assignments)
	v.NonIdempotent = cloneMap(v.NonIdempotent)
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

func applyRecord(v *board.View, rec *pb.Record) error {
	if rec.GetDeleted() {
		deleteRecord(v, rec.GetKey())
		return nil
	}
	prefix, name, _ := strings.Cut(rec.GetKey(), "/")
	switch prefix + "/" {
	case rpc.KeyDeployment:
		return applyDeployment(v, rec.GetDeployment())
	case rpc.KeyQuietDC:
		v.QuietDCs[topology.DataCentre(name)] = quiet(rec.GetQuietDc())
	case rpc.KeyQuietTarget:
		v.QuietTargets[topology.TargetID(name)] = quiet(rec.GetQuietTarget())
	case rpc.KeyRouter:
		return applyRouter(v, topology.VMName(name), rec)
	case rpc.KeyAssignment:
		a := rec.GetAssignment()
		v.Assignments[topology.TargetID(name)] = board.Assignment{
			Owner:    topology.VMName(a.GetOwner()),
			Previous: topology.VMName(a.GetPrevious()),
			Epoch:    rec.GetVersion(),
		}
	case rpc.KeyNonIdempotent:
		v.NonIdempotent[topology.KindName(name)] = true
	}
	return nil
}

func deleteRecord(v *board.View, key string) {
	prefix, name, _ := strings.Cut(key, "/")
	switch prefix + "/" {
	case rpc.KeyQuietDC:
		delete(v.QuietDCs, topology.DataCentre(name))
	case rpc.KeyQuietTarget:
		delete(v.QuietTargets, topology.TargetID(name))
	case rpc.KeyRouter:
		delete(v.Routers, topology.VMName(name))
	case rpc.KeyAssignment:
		delete(v.Assignments, topology.TargetID(name))
	case rpc.KeyNonIdempotent:
		delete(v.NonIdempotent, topology.KindName(name))
	}
}

func applyDeployment(v *board.View, d *pb.DeploymentRecord) error {
	deployment, err := rpc.UnpackDeployment(d)
	if err != nil {
		return err
	}
	v.ConfigVersion = d.GetVersion()
	v.Topology = topology.NewIndex(deployment)
	return nil
}

func applyRouter(v *board.View, name topology.VMName, rec *pb.Record) error {
	r := rec.GetRouter()
	rpcAddr, err := netip.ParseAddrPort(r.GetRpcAddr())
	if err != nil {
		return err
	}
	httpAddr, err := netip.ParseAddrPort(r.GetHttpAddr())
	if err != nil {
		return err
	}
	v.Routers[name] = board.Router{
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

func quiet(q *pb.QuietRecord) board.Quiet {
	out := board.Quiet{Intent: q.GetIntent(), Leaving: q.GetLeaving()}
	if ms := q.GetUntilUnixMs(); ms != 0 {
		out.Until = time.UnixMilli(ms)
	}
	return out
}
