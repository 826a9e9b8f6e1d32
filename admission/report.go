package admission

import (
	"strconv"
	"strings"
	"time"

	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/workspace"
)

// Bounds of one report, which protect a member from a faulty gateway and its link from
// a large fleet.
const (
	maxReportedTargets = 1024
	maxReportedOffers  = 4096
	maxReportedGroups  = 64
)

// offerClass is the queries of one group, priority and workspace.
type offerClass struct {
	group     GroupID
	priority  int
	workspace workspace.Name
}

// offered counts queries, refused ones included. expectedRefused is how many would be
// refused if all ids were different, and objectives is the sum of the objectives.
type offered struct {
	queries, refused int
	expectedRefused  float64
	objectives       time.Duration
}

func (o offered) plus(p offered) offered {
	return offered{
		queries: o.queries + p.queries, refused: o.refused + p.refused,
		expectedRefused: o.expectedRefused + p.expectedRefused, objectives: o.objectives + p.objectives,
	}
}

// Observation is what the end of an attempt tells of a target. Sums of observations are
// observations, too.
type Observation struct {
	// Slots is the number of requests that the target handles at once.
	Slots int
	// Answered and Failed count attempts with an answer and those without.
	Answered, Failed int
	// Took is the time from sending the request to the end of the attempt, and Objective
	// the objective of the request's route.
	Took, Objective time.Duration
	// Waiting is the length of the target's queue.
	Waiting int
}

// plus returns the sum of two observations of one target.
func (o Observation) plus(p Observation) Observation {
	return Observation{
		Slots: max(o.Slots, p.Slots), Answered: o.Answered + p.Answered, Failed: o.Failed + p.Failed,
		Took: o.Took + p.Took, Objective: o.Objective + p.Objective, Waiting: o.Waiting + p.Waiting,
	}
}

// samples returns the number of attempts.
func (o Observation) samples() int { return o.Answered + o.Failed }

// Answer returns the observation of an attempt that took some time at a target which
// then had some requests waiting.
func Answer(took, objective time.Duration, waiting, slots int) Observation {
	return Observation{Slots: max(slots, 1), Answered: 1, Took: took, Objective: objective, Waiting: waiting}
}

// Failure returns the observation of an attempt at a target that ended without an
// answer.
func Failure(slots int) Observation { return Observation{Slots: max(slots, 1), Failed: 1} }

// report is what one or several gateways observed since the last report.
type report struct {
	offers  map[offerClass]offered
	targets map[discovery.TargetID]Observation
	groups  map[GroupID]*Group
}

func newReport() *report {
	return &report{
		offers: make(map[offerClass]offered), targets: make(map[discovery.TargetID]Observation),
		groups: make(map[GroupID]*Group),
	}
}

func (r *report) empty() bool { return len(r.offers) == 0 && len(r.targets) == 0 && len(r.groups) == 0 }

// offer adds queries of a class.
func (r *report) offer(c offerClass, o offered) {
	before, known := r.offers[c]
	if !known && len(r.offers) >= maxReportedOffers {
		return
	}
	r.offers[c] = before.plus(o)
}

// observe adds an observation of a target.
func (r *report) observe(t discovery.TargetID, o Observation) {
	before, known := r.targets[t]
	if !known && len(r.targets) >= maxReportedTargets {
		return
	}
	r.targets[t] = before.plus(o)
}

// describe adds the description of a group.
func (r *report) describe(g *Group) {
	if len(r.groups) < maxReportedGroups {
		r.groups[g.ID] = g
	}
}

// add adds another report.
func (r *report) add(o *report) {
	for c, n := range o.offers {
		r.offer(c, n)
	}
	for t, n := range o.targets {
		r.observe(t, n)
	}
	for _, g := range o.groups {
		r.describe(g)
	}
}

// levels are the admitted fractions of the priorities of a scarce service, in ascending
// order of priority.
type levels []level

// level is the admitted fraction of the queries of a priority, for a workspace with the
// ratio 1. It may exceed 1 if other workspaces have a lower ratio.
type level struct {
	priority int
	fraction float64
}

// share returns the fraction of the queries of a priority and ratio that are admitted.
// Priorities higher than the first level are all admitted; a priority that the leader
// knew no queries of is treated as the next lower one.
func (l levels) share(priority int, ratio float64) float64 {
	for _, x := range l {
		if x.priority == priority {
			return min(1, x.fraction*ratio)
		}
	}
	if len(l) == 0 || priority < l[0].priority {
		return 1
	}
	return 0
}

// String describes the levels for operators.
func (l levels) String() string {
	if len(l) == 0 {
		return "all"
	}
	var b strings.Builder
	for i, x := range l {
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString("priority " + strconv.Itoa(x.priority) + ": " + strconv.FormatFloat(x.fraction, 'f', 3, 64))
	}
	return b.String()
}

// state is what the leader tells all gateways.
type state struct {
	scarce map[route.ServiceName]levels
	// ratios holds the ratios of the workspaces for which it isn't 1.
	ratios map[workspace.Name]ratio
	known  map[GroupID]bool
	// leader identifies the leader that found this, and learning means that it is new
	// and may not know all scarce services.
	leader   leaderID
	learning bool
	// held are services that were scarce by what was known before, until a leader that
	// isn't new says otherwise.
	held map[route.ServiceName]heldLevels
}

// leaderID identifies a leader's time in office. 0 is none.
type leaderID uint64
