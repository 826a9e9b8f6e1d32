package admission

import (
	"maps"
	"time"

	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/workspace"
)

// holdTime is how long a gateway treats services as scarce after the leader that found
// them is lost, unless a new one says otherwise. It covers an election and the time until
// the new leader is informed.
const holdTime = time.Second

// heldLevels are the levels of a service that was scarce when its leader was lost. The
// part of the queries that is refused falls to nothing within holdTime.
type heldLevels struct {
	levels
	ratios map[workspace.Name]ratio
	since  time.Time
}

func (h *heldLevels) live(now time.Time) bool { return now.Sub(h.since) < holdTime }

// shareAt returns the fraction of the queries that are admitted.
func (h *heldLevels) shareAt(q *Query, now time.Time) float64 {
	share := h.share(q.Priority, h.ratios[q.Workspace].float())
	return share + (1-share)*min(float64(now.Sub(h.since))/float64(holdTime), 1)
}

// share returns which fraction of queries like q a service takes, and whether it is
// scarce.
func (s *state) share(name route.ServiceName, q *Query, now time.Time) (float64, bool) {
	if l, scarce := s.scarce[name]; scarce {
		return l.share(q.Priority, s.ratios[q.Workspace].float()), true
	}
	if h, held := s.held[name]; held && h.live(now) {
		return h.shareAt(q, now), true
	}
	return 1, false
}

func (s *state) isScarce(name route.ServiceName, now time.Time) bool {
	_, scarce := s.scarce[name]
	h, held := s.held[name]
	return scarce || held && h.live(now)
}

// hold returns the state after the loss of the leader, nil if nothing is scarce.
func (s *state) hold(now time.Time) *state {
	if held := s.heldBeside(&state{}, now); len(held) > 0 {
		return &state{held: held}
	}
	return nil
}

// heldBeside returns what stays scarce beside what a new leader found.
func (s *state) heldBeside(next *state, now time.Time) map[route.ServiceName]heldLevels {
	if s == nil {
		return nil
	}
	held := maps.Clone(s.held)
	if held == nil {
		held = make(map[route.ServiceName]heldLevels)
	}
	if next.leader == 0 || next.leader != s.leader {
		for name, l := range s.scarce {
			held[name] = heldLevels{levels: l, ratios: s.ratios, since: now}
		}
	}
	maps.DeleteFunc(held, func(name route.ServiceName, h heldLevels) bool {
		_, scarce := next.scarce[name]
		return scarce || !h.live(now)
	})
	return held
}
