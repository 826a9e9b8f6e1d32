package service

import (
	"maps"
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/topology"
)

// routerGrace is how long a router may be unheard of before its targets go to
// others. It is longer than a lease, so that the router has stopped by then.
const routerGrace = lease.Duration + time.Second

// membership records which routers live.
type membership struct{}

func (*membership) decide(f *facts) []state.Command {
	var out []state.Command
	for _, vm := range slices.Sorted(maps.Keys(f.routers)) {
		seen := f.routers[vm]
		if f.now.Sub(seen.LastSeen) > routerGrace || recorded(f, vm, seen) {
			continue
		}
		f.logger.Info("router seen", "router", vm, "incarnation", seen.GetIncarnation(),
			"leaving", seen.GetLeaving(), "member", seen.Member)
		out = append(out, state.Command{Router: &state.Router{
			VM:          vm,
			DataCentre:  topology.DataCentre(seen.GetDataCentre()),
			RPCAddr:     seen.GetRpcAddr(),
			HTTPAddr:    seen.GetHttpAddr(),
			Incarnation: seen.GetIncarnation(),
			Leaving:     seen.GetLeaving(),
		}})
	}
	return append(out, lostRouters(f)...)
}

// recorded reports whether the router's record says what was seen.
func recorded(f *facts, vm topology.VMName, seen ReportedRouter) bool {
	r, ok := f.view.Routers[vm]
	if !ok {
		return false
	}
	same := r.Incarnation == seen.GetIncarnation() &&
		string(r.VM.DataCentre) == seen.GetDataCentre() &&
		r.VM.RPC.String() == seen.GetRpcAddr() && r.VM.HTTP.String() == seen.GetHttpAddr()
	return same && (r.Leaving || !seen.GetLeaving())
}

// lostRouters lists routers that nobody has heard of for the grace. A new
// leader gives every router that time from the start of its term.
func lostRouters(f *facts) []state.Command {
	var out []state.Command
	for _, vm := range slices.Sorted(maps.Keys(f.view.Routers)) {
		heard := f.leading
		if seen, ok := f.routers[vm]; ok && seen.LastSeen.After(heard) {
			heard = seen.LastSeen
		}
		if f.now.Sub(heard) <= routerGrace {
			continue
		}
		f.logger.Warn("router lost", "router", vm, "unheard_for", f.now.Sub(heard))
		out = append(out, state.Command{RouterLost: &state.RouterLost{
			VM: vm, Incarnation: f.view.Routers[vm].Incarnation,
		}})
	}
	return out
}
