package forward

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/rollout"
	"github.com/peridotmux/peridotmux/rollout/report"
	"github.com/peridotmux/peridotmux/route"
)

// RolloutConfig is what a router that takes part in rollouts needs. Its zero value takes
// all permissions as given and counts nothing.
type RolloutConfig struct {
	// Expected means that rollouts may be ordered. A router that control doesn't confirm
	// then keeps away from versions that appeared lately.
	Expected bool
	// Confirmed reports whether control confirmed the board's view recently, so that
	// requests may go to new versions.
	Confirmed func(now time.Time) bool
	// ConfirmedWithin reports whether it did within the time d before now.
	ConfirmedWithin func(d time.Duration, now time.Time) bool
	// Collector gets the counts of requests. It may be nil.
	Collector *report.Collector
}

// serviceRollout is the newest rollout of a service at this router.
type serviceRollout struct {
	rollout.Status
	splitter *rollout.Splitter
}

func (r *serviceRollout) isNew(b *backend) bool { return b.target.Version == r.Version }

// rollouts is this router's part in all rollouts. The fleet's mutex guards it.
type rollouts struct {
	cfg       RolloutConfig
	byService map[route.ServiceName]*serviceRollout
	seen      versionsSeen
	// needed means that a service has a rollout or targets of several versions.
	needed bool
}

func newRollouts(c RolloutConfig) rollouts {
	if c.Confirmed == nil {
		c.Confirmed = func(time.Time) bool { return true }
	}
	if c.ConfirmedWithin == nil {
		c.ConfirmedWithin = func(time.Duration, time.Time) bool { return true }
	}
	return rollouts{cfg: c}
}

// update applies control's records and the list of targets.
func (r *rollouts) update(v *board.View, l *discovery.List, now time.Time) {
	next := make(map[route.ServiceName]*serviceRollout, len(v.Rollouts))
	var running []uint64
	for service, status := range v.Rollouts {
		x := &serviceRollout{Status: status}
		if old := r.byService[service]; old != nil && old.Order == status.Order {
			x.splitter = old.splitter
		} else {
			x.splitter = rollout.NewSplitter(rand.Float64())
		}
		if status.State == rollout.Running {
			running = append(running, status.Order)
		}
		next[service] = x
	}
	r.byService = next
	if r.cfg.Collector != nil {
		r.cfg.Collector.Retain(running)
	}
	r.seen = r.seen.update(l, now)
	r.needed = len(next) > 0
	for _, versions := range r.seen {
		r.needed = r.needed || len(versions) > 1
	}
}

// admits reports whether any requests may go to a target of b's version.
func (r *rollouts) admits(b *backend, now time.Time) bool {
	if !r.needed {
		return true
	}
	x := r.byService[b.service]
	if x != nil && x.IsRetired(b.target.Version) {
		return false
	}
	switch {
	case x == nil || x.State != rollout.Running:
		return !r.cfg.Expected || r.admitsUnordered(x, b, now)
	case x.isNew(b):
		return x.Share > 0 && r.cfg.Confirmed(now)
	default:
		return x.Phase != rollout.Closing && r.cfg.ConfirmedWithin(rollout.OldPermission, now)
	}
}

// maySend reports whether a request may be sent to b now. After a pause of the process
// control must have confirmed the records: rollouts may have begun and ended meanwhile.
func (s *Server) maySend(b *backend, now time.Time) bool {
	paused := s.resume.resumedLately(now)
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	r := &s.fleet.rollouts
	if paused && r.cfg.Expected && !r.cfg.Confirmed(now) {
		return false
	}
	return r.admits(b, now)
}

// versionChoice says which versions of a service a request may go to.
type versionChoice struct {
	// rollout is nil if there is none running.
	rollout *serviceRollout
	isNew   bool
}

// allows reports whether a target has a version that was chosen.
func (c *versionChoice) allows(b *backend) bool {
	return c.rollout == nil || c.rollout.isNew(b) == c.isNew
}

// chooseVersion returns the versions that the next request of a service goes to.
func (r *rollouts) chooseVersion(s route.ServiceName) versionChoice {
	x := r.byService[s]
	if x == nil || x.State != rollout.Running {
		return versionChoice{}
	}
	return versionChoice{rollout: x, isNew: x.splitter.Peek(x.Share)}
}

// rolloutCount identifies the counts of an attempt. Its zero value counts nothing.
type rolloutCount struct {
	order uint64
	key   rollout.Key
}

// sent records that a request was sent to b.
func (r *rollouts) sent(c *versionChoice, b *backend, name route.Name) rolloutCount {
	if c.rollout == nil {
		return rolloutCount{}
	}
	isNew := c.rollout.isNew(b)
	c.rollout.splitter.Sent(c.rollout.Share, isNew)
	out := rolloutCount{order: c.rollout.Order, key: rollout.Key{Target: string(b.id), New: isNew, Route: string(name)}}
	r.add(out, rollout.Counts{Sent: 1})
	return out
}

// add adds to the counts of a rollout.
func (r *rollouts) add(c rolloutCount, n rollout.Counts) {
	if c.order != 0 && r.cfg.Collector != nil {
		r.cfg.Collector.Add(c.order, c.key, n)
	}
}

const (
	// outrunFactor is the multiple of the usual service time after which a first attempt
	// that was cancelled counts as very slow: a hedge was faster, or the caller left.
	outrunFactor = 1.5
	// verySlowFactor is the multiple after which any attempt does. While a gateway has
	// seen few requests, it takes an eighth of the objective for usual, which may be less
	// than half of the real time.
	verySlowFactor = 5.5
)

// rolloutCounts returns what the end of an attempt adds to the counts of a rollout.
func (sel *selection) rolloutCounts(o *Outcome) rollout.Counts {
	c := sel.outlierCounts(o)
	out := rollout.Counts{Good: c.Good, Slow: c.Slow, Failed: c.Failed}
	ratio := float64(o.ServiceTime) / float64(max(sel.median, 1))
	outrun := o.Cancelled && !o.Withdrawn && !sel.hedge && ratio > outrunFactor
	if outrun && out.Slow == 0 && sel.reportedSlowness == 0 {
		out.Slow = 1
	}
	if outrun || ratio > verySlowFactor && (out.Slow > 0 || sel.reportedSlowness > 0 && (o.Cancelled || o.Success())) {
		out.VerySlow = 1
	}
	return out
}

// rolloutsApplied returns which steps this router follows.
func (f *fleet) rolloutsApplied() []report.Applied {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []report.Applied
	for service, x := range f.rollouts.byService {
		if x.State != rollout.Running {
			continue
		}
		a := report.Applied{Order: x.Order, Step: x.Step}
		for _, b := range f.byService[service] {
			if !x.isNew(b) {
				a.OldInFlight += len(b.inFlight)
			}
		}
		out = append(out, a)
	}
	return out
}

// statusLines returns a line for each rollout, sorted by service. The fleet's mutex must
// be held.
func (r *rollouts) statusLines() []string {
	var out []string
	for _, service := range slices.Sorted(maps.Keys(r.byService)) {
		x := r.byService[service]
		out = append(out, fmt.Sprintf("rollout of %s to %s: %s, %s, share %.3f, step %d %s",
			service, x.Version, x.State, x.Phase, x.Share, x.Step, x.Reason))
	}
	return out
}
