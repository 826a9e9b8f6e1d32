package service

import (
	"maps"
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/topology"
)

// routerGrace is how long a router may be silent before its targets are
// reassigned. It is longer than a lease, so that the router has stopped
// starting work by then.
const routerGrace = lease.Duration + time.Second

// routerController records which routers are alive.
type routerController struct{}

func (*routerController) decide(input *controllerInput) []state.Command {
	var out []state.Command
	for _, vm := range slices.Sorted(maps.Keys(input.routers)) {
		seen := input.routers[vm]
		if input.now.Sub(seen.LastSeen) > routerGrace || recordMatches(input, vm, seen) {
			continue
		}
		input.logger.Info("router seen", "router", vm, "incarnation", seen.GetIncarnation(),
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
	return append(out, lostRouters(input)...)
}

// recordMatches reports whether the router's record agrees with what the router
// reported.
func recordMatches(input *controllerInput, vm topology.VMName, seen ReportedRouter) bool {
	r, ok := input.view.Routers[vm]
	if !ok {
		return false
	}
	same := r.Incarnation == seen.GetIncarnation() &&
		string(r.VM.DataCentre) == seen.GetDataCentre() &&
		r.VM.RPC.String() == seen.GetRpcAddr() && r.VM.HTTP.String() == seen.GetHttpAddr()
	return same && (r.Leaving || !seen.GetLeaving())
}

// lostRouters returns commands that remove the routers not seen for
// routerGrace. Under a new leader the grace period of every router starts with
// the leader's term.
func lostRouters(input *controllerInput) []state.Command {
	var out []state.Command
	for _, vm := range slices.Sorted(maps.Keys(input.view.Routers)) {
		lastSeen := input.leadingSince
		if seen, ok := input.routers[vm]; ok && seen.LastSeen.After(lastSeen) {
			lastSeen = seen.LastSeen
		}
		if input.now.Sub(lastSeen) <= routerGrace {
			continue
		}
		input.logger.Warn("router lost", "router", vm, "unheard_for", input.now.Sub(lastSeen))
		out = append(out, state.Command{RouterLost: &state.RouterLost{
			VM: vm, Incarnation: input.view.Routers[vm].Incarnation,
		}})
	}
	return out
}
