package daemon

import (
	"time"

	"github.com/peridotmux/peridotmux/admission"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/discovery"
)

// admission returns the topic that finds scarce services.
func (m *member) admission() *admission.Leader {
	return admission.NewLeader(admission.LeaderConfig{
		Targets: func(now time.Time) []admission.Target {
			st := m.state.Load()
			if st == nil {
				return nil
			}
			return usableTargets(m.inventory.List(), st.View(), now)
		},
		Log: m.log, OnScarce: m.metrics.Control.ScarceServices,
	})
}

// usableTargets returns the targets of a list that may get requests.
func usableTargets(l *discovery.List, v *board.View, now time.Time) []admission.Target {
	out := make([]admission.Target, 0, len(l.Targets))
	for id, t := range l.Targets {
		if _, quiet := v.QuietDCs[t.DataCentre]; quiet || t.Draining || t.ColdUntil.After(now) {
			continue
		}
		out = append(out, admission.Target{ID: id, Service: t.Service, Slots: t.Slots})
	}
	return out
}
