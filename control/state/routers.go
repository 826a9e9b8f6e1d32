package state

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// routerUp records a router unless its record says the same already.
func (s *State) routerUp(r *Router) {
	if _, err := netip.ParseAddrPort(r.RPCAddr); err != nil {
		return
	}
	if _, err := netip.ParseAddrPort(r.HTTPAddr); err != nil {
		return
	}
	old, ok := s.view.Routers[r.VM]
	if ok && old.Incarnation == r.Incarnation && old.Leaving && !r.Leaving {
		// A late report doesn't bring a leaving process back.
		return
	}
	s.put(&pb.Record{Key: rpc.KeyRouter + string(r.VM), Value: &pb.Record_Router{Router: &pb.RouterRecord{
		DataCentre:  string(r.DataCentre),
		RpcAddr:     r.RPCAddr,
		HttpAddr:    r.HTTPAddr,
		Incarnation: r.Incarnation,
		Leaving:     r.Leaving,
	}}})
}

// routerLost removes a router's record unless another process took its place.
func (s *State) routerLost(l *RouterLost) {
	old, ok := s.view.Routers[l.VM]
	if ok && old.Incarnation == l.Incarnation {
		s.remove(rpc.KeyRouter + string(l.VM))
	}
}

// assign gives targets to routers. A move to the present owner changes nothing.
func (s *State) assign(moves []Assign) {
	for _, m := range moves {
		if s.view.Topology == nil || s.view.Topology.Target(m.Target) == nil {
			continue
		}
		key := rpc.KeyAssignment + string(m.Target)
		// The record, not the view, since an earlier move of this entry counts.
		old := s.records.records[key].GetAssignment().GetOwner()
		if old == string(m.Owner) {
			continue
		}
		s.put(&pb.Record{Key: key, Value: &pb.Record_Assignment{
			Assignment: &pb.AssignmentRecord{Owner: string(m.Owner), Previous: old},
		}})
	}
}

// known reports whether a record's subject is part of the deployment.
func (s *State) known(x *topology.Index, key string) bool {
	prefix, name, _ := strings.Cut(key, "/")
	switch prefix + "/" {
	case rpc.KeyQuietDC:
		return slices.Contains(x.Deployment.DataCentres, topology.DataCentre(name))
	case rpc.KeyQuietTarget, rpc.KeyAssignment:
		return x.Target(topology.TargetID(name)) != nil
	case rpc.KeyNonIdempotent:
		return x.Kind(topology.KindName(name)) != nil
	default:
		return true
	}
}

// DueReturns lists the keys of the quiet records whose return time has come.
func DueReturns(v *board.View, now time.Time) []string {
	var out []string
	due := func(q board.Quiet) bool {
		return !q.Leaving && !q.Until.IsZero() && !q.Until.After(now)
	}
	for dc, q := range v.QuietDCs {
		if due(q) {
			out = append(out, rpc.KeyQuietDC+string(dc))
		}
	}
	for t, q := range v.QuietTargets {
		if due(q) {
			out = append(out, rpc.KeyQuietTarget+string(t))
		}
	}
	slices.Sort(out)
	return out
}
