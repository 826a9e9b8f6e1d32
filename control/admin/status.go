package admin

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/control/service"
	"github.com/peridotmux/peridotmux/rollout"
	"github.com/peridotmux/peridotmux/topology"
)

func (h *Handler) status(*http.Request, []byte) (any, *api.Refusal) {
	now := time.Now()
	v := h.cfg.State.View()
	lead := h.cfg.Log.Leadership()
	s := &api.Status{
		ConfigVersion: v.ConfigVersion,
		Base:          h.cfg.State.Base(),
		Index:         v.Index,
		Leader:        lead.LeaderAddr,
		Term:          lead.Term,
		Stale:         !lead.Leads,
		NonIdempotent: slices.Sorted(maps.Keys(v.NonIdempotent)),
		QuietDCs:      quietStatus(v.QuietDCs),
		QuietTargets:  quietStatus(v.QuietTargets),
		Rollouts:      rolloutStatus(v),
		Members:       h.memberStatus(now),
		ColdTargets:   h.cfg.Reports.ColdTargets(now),
		Loads:         loadsByName(h.cfg.Reports.Loads(now)),
	}
	if v.Topology != nil {
		s.Deployment = v.Topology.Deployment.Name
		s.Targets = len(v.Topology.Deployment.Targets)
		s.UnassignedTargets = countUnassigned(v)
	}
	newest := newestIndexes{records: h.cfg.State.RecordsIndex(), config: h.cfg.State.ConfigIndex()}
	s.Routers = routerStatus(v, h.cfg.Reports.Routers(), newest, now)
	return s, nil
}

func loadsByName(in map[topology.GroupName]api.ReportedLoads) map[string]api.ReportedLoads {
	out := make(map[string]api.ReportedLoads, len(in))
	for name, l := range in {
		out[string(name)] = l
	}
	return out
}

// countUnassigned returns the number of targets without a live owner.
func countUnassigned(v *board.View) int {
	n := 0
	for i := range v.Topology.Deployment.Targets {
		a, ok := v.Assignments[v.Topology.Deployment.Targets[i].ID]
		if _, live := v.Routers[a.Owner]; !ok || !live {
			n++
		}
	}
	return n
}

// quietStatus returns the quiet data centres or targets, sorted by name.
func quietStatus[K ~string](quiet map[K]board.Quiet) []api.QuietStatus {
	out := make([]api.QuietStatus, 0, len(quiet))
	for name, q := range quiet {
		out = append(out, api.QuietStatus{
			Name: string(name), Intent: q.Intent, Until: q.Until, Leaving: q.Leaving,
		})
	}
	slices.SortFunc(out, func(a, b api.QuietStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// rolloutStatus returns the newest rollouts, sorted by service.
func rolloutStatus(v *board.View) []api.RolloutStatus {
	var out []api.RolloutStatus
	for _, service := range slices.Sorted(maps.Keys(v.Rollouts)) {
		r := v.Rollouts[service]
		s := api.RolloutStatus{
			Service: string(service), Version: r.Version, State: string(r.State), Share: r.Share,
			ElapsedMS: r.Elapsed.Milliseconds(), RampMS: r.Ramp.Milliseconds(), Reason: r.Reason,
		}
		if r.State == rollout.Running {
			s.Phase = r.Phase.String()
		}
		out = append(out, s)
	}
	return out
}

// newestIndexes holds the log indexes of the newest record and the newest
// deployment.
type newestIndexes struct {
	records, config uint64
}

// routerStatus combines the routers' records with the members' reports.
func routerStatus(
	v *board.View, seen map[topology.VMName]service.ReportedRouter, newest newestIndexes, now time.Time,
) []api.RouterStatus {
	owns := make(map[topology.VMName]int)
	for _, a := range v.Assignments {
		owns[a.Owner]++
	}
	out := make([]api.RouterStatus, 0, len(v.Routers))
	for name, r := range v.Routers {
		s := api.RouterStatus{
			VM: name, DataCentre: r.VM.DataCentre, Incarnation: r.Incarnation,
			Leaving: r.Leaving, Owns: owns[name], SeenAgoMS: -1,
		}
		if reported, ok := seen[name]; ok {
			s.Applied = reported.GetApplied()
			s.Current = reported.GetApplied() >= newest.records
			if reported.GetApplied() >= newest.config {
				s.ConfigVersion = v.ConfigVersion
			}
			s.LeaseMS = max(0, reported.LeaseUntil.Sub(now).Milliseconds())
			s.SeenAgoMS = now.Sub(reported.LastSeen).Milliseconds()
			s.Member = reported.Member
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b api.RouterStatus) int { return cmp.Compare(a.VM, b.VM) })
	return out
}
