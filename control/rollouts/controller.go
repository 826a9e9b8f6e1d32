// Package rollouts runs rollouts at control's leader: it passes what the gateways
// reported to package rollout and commits the steps that it decides to the log.
package rollouts

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/internal/wait"
	"github.com/peridotmux/peridotmux/rollout"
	"github.com/peridotmux/peridotmux/rollout/report"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/telemetry"
)

const (
	// decideInterval is the time between two decisions.
	decideInterval = 150 * time.Millisecond
	// proposeTimeout bounds the commit of a step.
	proposeTimeout = 2 * time.Second
)

// Config configures a Controller.
type Config struct {
	State *state.State
	Log   control.Log
	// Hub collects the gateways' reports.
	Hub       *report.Hub
	Inventory *discovery.Inventory
	Bounds    rollout.Bounds
	Logger    *slog.Logger
	// Metrics may be the zero value.
	Metrics telemetry.Rollout
}

// Controller runs the rollouts while its member is the leader. The other members follow
// them, so that they know the times when they take over.
type Controller struct {
	cfg     Config
	tracker *tracker
	leading bool
	term    uint64
	since   time.Time
}

// New returns a controller. Run must be called.
func New(c Config) *Controller { return &Controller{cfg: c, tracker: newTracker(time.Now())} }

// Run decides until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.tick(ctx, time.Now())
		wait.For(ctx, decideInterval)
	}
}

// tick follows the state and, at the leader, decides once for each running rollout.
func (c *Controller) tick(ctx context.Context, now time.Time) {
	view := c.cfg.State.View()
	c.tracker.update(view, c.cfg.Inventory.List(), now)
	lead := c.cfg.Log.Leadership()
	if lead.Leads && (!c.leading || lead.Term != c.term) {
		c.cfg.Hub.Reset(now)
		c.since = now
	}
	c.leading, c.term = lead.Leads, lead.Term
	running := make(map[uint64]bool)
	for _, service := range slices.Sorted(maps.Keys(view.Rollouts)) {
		status := view.Rollouts[service]
		if status.State != rollout.Running {
			continue
		}
		running[status.Order] = true
		if c.leading {
			c.decide(ctx, service, &status, now)
		}
	}
	c.cfg.Hub.Retain(running)
}

// decide decides on one rollout and commits the step.
func (c *Controller) decide(ctx context.Context, service route.ServiceName, status *rollout.Status, now time.Time) {
	in := c.input(service, status, now)
	d := rollout.Decide(c.cfg.Bounds, &in)
	if d == nil {
		return
	}
	step := &state.RolloutStep{
		Service: service, Order: status.Order, Step: status.Step + 1, State: d.State, Phase: d.Phase, Share: d.Share,
		ElapsedMS: in.Elapsed.Milliseconds(), Reason: d.Reason,
	}
	if d.State == rollout.Completed {
		step.Replaced = c.tracker.oldVersions(service, status.Version)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	command := state.Command{RolloutStep: step}
	took, err := c.cfg.Log.Propose(ctx, command.Encode(time.Now()))
	c.cfg.Metrics.Step(string(service), string(d.State), d.Share)
	c.cfg.Logger.Info("rollout step", "service", string(service), "version", status.Version, "state", string(d.State),
		"phase", d.Phase.String(), "share", d.Share, "elapsed", in.Elapsed, "sent_old", in.SentOld, "sent_new", in.SentNew,
		"answers_new", in.NewAnswers, "rate", in.Rate, "chance", in.Verdict.Chance, "bad", in.Verdict.BadAnswers,
		"of", in.Verdict.Answers, "expected", in.Verdict.Expected, "reason", d.Reason, "took_effect", took, "error", err)
}

// input returns what a decision on a rollout depends on.
func (c *Controller) input(service route.ServiceName, status *rollout.Status, now time.Time) rollout.Input {
	o := c.cfg.Hub.Observe(status.Order, now)
	times := c.tracker.times(service, now)
	in := rollout.Input{
		Status: *status, Elapsed: times.elapsed, SinceStep: times.sinceStep, Leading: now.Sub(c.since),
		SentOld: o.Old.Sent, SentNew: o.New.Sent, NewAnswers: o.New.Ended(),
		RecentOld: o.RecentOld.Sent, RecentNew: o.RecentNew.Sent, Rate: o.Rate, Verdict: o.Verdict, ReportAge: o.ReportAge,
		Followed: true, Closed: true, Drained: true,
	}
	in.Stranded = stranded(service, status.Version, c.cfg.State.View(), c.cfg.Inventory.List(), now)
	for _, a := range o.Steps {
		in.Followed = in.Followed && a.Step >= status.Step
		in.Drained = in.Drained && a.Step >= status.Step && a.OldInFlight == 0
	}
	// A gateway that doesn't report has lost its permission for old versions in time.
	if times.sinceStep <= rollout.OldPermission+permissionMargin {
		for _, vm := range c.tracker.gateways(now) {
			a, heard := o.Steps[vm]
			in.Closed = in.Closed && heard && a.Step >= status.Step
		}
	}
	return in
}

// stranded reports whether a service has usable targets but none of the new version.
func stranded(service route.ServiceName, version string, v *board.View, l *discovery.List, now time.Time) bool {
	old := false
	for _, t := range l.Targets {
		_, quiet := v.QuietDCs[t.DataCentre]
		if t.Service != service || quiet || t.Draining || t.ColdUntil.After(now) {
			continue
		}
		if t.Version == version {
			return false
		}
		old = true
	}
	return old
}

// Gateways that vanished from the records may use their permission for old versions for
// so long after rollout.OldPermission, since clocks and the removal are inexact.
const permissionMargin = 500 * time.Millisecond

// tracker follows rollouts at every member.
type tracker struct {
	start time.Time
	// steps holds when each running rollout's step was applied here.
	steps map[route.ServiceName]appliedStep
	// present holds when each gateway was last in the records.
	present map[string]time.Time
	// versions holds the versions of each service with a running rollout.
	versions map[route.ServiceName]map[string]bool
}

// appliedStep is a step of a rollout and the time since the order when it was applied.
type appliedStep struct {
	order, step uint64
	at          time.Time
	elapsed     time.Duration
}

// stepTimes are the times of a rollout.
type stepTimes struct{ elapsed, sinceStep time.Duration }

// replayTime is how long after the start of the process a rollout may come from the
// replay of the log.
const replayTime = 3 * time.Second

func newTracker(now time.Time) *tracker {
	return &tracker{
		start: now, steps: make(map[route.ServiceName]appliedStep), present: make(map[string]time.Time),
		versions: make(map[route.ServiceName]map[string]bool),
	}
}

// update notes the state at now.
func (t *tracker) update(v *board.View, l *discovery.List, now time.Time) {
	for vm := range v.Routers {
		t.present[string(vm)] = now
	}
	for vm, at := range t.present {
		if now.Sub(at) > rollout.OldPermission+permissionMargin {
			delete(t.present, vm)
		}
	}
	for service, status := range v.Rollouts {
		if status.State != rollout.Running {
			delete(t.steps, service)
			delete(t.versions, service)
			continue
		}
		t.updateStep(service, &status, now)
	}
	for _, target := range l.Targets {
		if versions := t.versions[target.Service]; versions != nil {
			versions[target.Version] = true
		}
	}
}

// updateStep notes the step of a running rollout.
func (t *tracker) updateStep(service route.ServiceName, status *rollout.Status, now time.Time) {
	old, known := t.steps[service]
	if known && old.order == status.Order && old.step == status.Step {
		return
	}
	next := appliedStep{order: status.Order, step: status.Step, at: now, elapsed: status.Elapsed}
	switch {
	case known && old.order == status.Order:
		next.elapsed = max(next.elapsed, old.elapsed+now.Sub(old.at))
	case now.Sub(t.start) < replayTime:
		// After a restart, only the wall clock tells how long ago the order was given.
		next.elapsed = max(next.elapsed, now.Round(0).Sub(status.OrderedAt))
		t.versions[service] = make(map[string]bool)
	default:
		t.versions[service] = make(map[string]bool)
	}
	t.steps[service] = next
}

// times returns the times of a running rollout.
func (t *tracker) times(service route.ServiceName, now time.Time) stepTimes {
	s := t.steps[service]
	since := now.Sub(s.at)
	return stepTimes{elapsed: s.elapsed + since, sinceStep: since}
}

// gateways returns the gateways that may still have a permission for old versions.
func (t *tracker) gateways(time.Time) []string { return slices.Collect(maps.Keys(t.present)) }

// oldVersions returns the versions of a service that a rollout replaces.
func (t *tracker) oldVersions(service route.ServiceName, version string) []string {
	var out []string
	for v := range t.versions[service] {
		if v != version {
			out = append(out, v)
		}
	}
	slices.Sort(out)
	return out
}
