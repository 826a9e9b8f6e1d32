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
	"github.com/peridotmux/peridotmux/topology"
)

func (h *Handler) status(*http.Request, []byte) (any, *api.Refusal) {
	now := time.Now()
	v := h.c.State.View()
	lead := h.c.Log.Leadership()
	s := &api.Status{
		ConfigVersion: v.ConfigVersion,
		Base:          h.c.State.Base(),
		Index:         v.Index,
		Leader:        lead.LeaderAddr,
		Term:          lead.Term,
		Stale:         !lead.Leads,
		NonIdempotent: slices.Sorted(maps.Keys(v.NonIdempotent)),
		QuietDCs:      quietStatus(v.QuietDCs),
		QuietTargets:  quietStatus(v.QuietTargets),
		Members:       h.memberStatus(now),
		ColdTargets:   h.c.Reports.ColdTargets(now),
		Loads:         loads(h.c.Reports.Loads(now)),
	}
	if v.Topology != nil {
		s.Deployment = v.Topology.Deployment.Name
		s.Targets = len(v.Topology.Deployment.Targets)
		s.UnassignedTargets = unassigned(v)
	}
	newest := newestIndexes{records: h.c.State.RecordsIndex(), config: h.c.State.ConfigIndex()}
	s.Routers = routerStatus(v, h.c.Reports.Routers(), newest, now)
	return s, nil
}

func loads(in map[topology.GroupName]api.ReportedLoads) map[string]api.ReportedLoads {
	out := make(map[string]api.ReportedLoads, len(in))
	for name, l := range in {
		out[string(name)] = l
	}
	return out
}

func unassigned(v *board.View) int {
	n := 0
	for i := range v.Topology.Deployment.Targets {
		a, ok := v.Assignments[v.Topology.Deployment.Targets[i].ID]
		if _, live := v.Routers[a.Owner]; !ok || !live {
			n++
		}
	}
	return n
}

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

// newestIndexes are the log indexes that wrote the newest records.
type newestIndexes struct {
	records, config uint64
}

// routerStatus joins the routers' records with what the members report.
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
		if known, ok := seen[name]; ok {
			s.Applied = known.GetApplied()
			s.Current = known.GetApplied() >= newest.records
			if known.GetApplied() >= newest.config {
				s.ConfigVersion = v.ConfigVersion
			}
			s.LeaseMS = max(0, known.LeaseUntil.Sub(now).Milliseconds())
			s.SeenAgoMS = now.Sub(known.LastSeen).Milliseconds()
			s.Member = known.Member
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b api.RouterStatus) int { return cmp.Compare(a.VM, b.VM) })
	return out
}
