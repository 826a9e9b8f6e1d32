package owner

import (
	"context"
	"maps"
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// sweepInterval is the time between checks of fences and queued jobs.
	sweepInterval = 10 * time.Millisecond
	// releasePollInterval is the time between polls of a previous owner.
	releasePollInterval = 50 * time.Millisecond
)

// heldTarget is a target that this process owns or has owned.
type heldTarget struct {
	shard    *shard
	replica  *replica
	previous topology.VMName
	// handedOver is set once the next owner has received the target's release.
	handedOver bool
}

// Run follows the board until ctx ends: it acquires targets assigned to this
// router and releases those assigned elsewhere.
func (o *Owner) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	go o.pollReleaseLoop(ctx)
	go o.healthLoop(ctx)
	for {
		changed := o.cfg.Board.Changed()
		o.apply(o.cfg.Board.View(), time.Now())
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				waiting = false
			case <-tick.C:
				o.sweep(time.Now())
			}
		}
	}
}

// sweep activates targets whose fence has expired and drops queued jobs that
// can no longer run.
func (o *Owner) sweep(now time.Time) {
	o.activateExpiredFences(now)
	for _, s := range *o.shards.Load() {
		s.sweep(now)
	}
}

// apply brings the held targets in line with view v.
func (o *Owner) apply(v *board.View, now time.Time) {
	if v.Topology == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, a := range v.Assignments {
		if t := v.Topology.Target(id); t != nil && a.Owner == o.cfg.VM {
			o.addTarget(v, t, a, now)
		}
	}
	for id, h := range o.held {
		mine := v.Topology.Target(id) != nil && v.Assignments[id].Owner == o.cfg.VM
		o.update(v, h, mine)
	}
	o.appliedIndex = v.Index
}

// addTarget makes sure that a target assigned to this router is held. A target
// whose definition has changed is closed and added anew.
func (o *Owner) addTarget(v *board.View, t *topology.Target, a board.Assignment, now time.Time) {
	h := o.held[t.ID]
	if h != nil && *h.replica.target == *t {
		if h.replica.epoch != a.Epoch {
			o.updateAssignment(h, a, now)
		}
		return
	}
	if h != nil {
		h.close()
	}
	s := o.shardFor(v, t)
	r := &replica{target: t, epoch: a.Epoch, fenceEnd: now.Add(lease.Duration)}
	r.ramp = NewRamp(limitsOf(s.group))
	if noPriorOwner(v, o.cfg.VM, a) {
		r.state, r.previousDone = stateActive, true
	}
	o.held[t.ID] = &heldTarget{shard: s, replica: r, previous: a.Previous}
	s.mu.Lock()
	s.replicas = append(s.replicas, r)
	s.mu.Unlock()
	o.requestHealthCheck()
	o.logAcquired(r, a)
}

// limitsOf returns the limits that a group sets for its targets.
func limitsOf(g *topology.Group) Limits {
	return Limits{Slots: g.Slots, ColdLimit: g.ColdLimit, WarmAfter: g.WarmAfter}
}

func (o *Owner) logAcquired(r *replica, a board.Assignment) {
	o.cfg.Log.Info("target acquired", "target", r.id(), "epoch", a.Epoch, "previous", a.Previous,
		"fenced", r.state == stateFenced)
}

// noPriorOwner reports whether no other process can have work in flight at the
// target: it had no owner before, and it was assigned after the current start
// of this router's process.
func noPriorOwner(v *board.View, vm topology.VMName, a board.Assignment) bool {
	return a.Previous == "" && a.Epoch >= v.Routers[vm].Version
}

// updateAssignment applies a new assignment of a target that this process
// already holds. A target that was closed in between is fenced again.
func (o *Owner) updateAssignment(h *heldTarget, a board.Assignment, now time.Time) {
	s, r := h.shard, h.replica
	s.mu.Lock()
	defer s.mu.Unlock()
	wasClosed := r.state == stateClosed
	r.epoch = a.Epoch
	if !wasClosed {
		return
	}
	h.previous, h.handedOver = a.Previous, false
	r.state, r.previousDone, r.fenceEnd = stateFenced, false, now.Add(lease.Duration)
	s.replicas = append(s.replicas, r)
	o.logAcquired(r, a)
}

// close stops all new searches at a target; searches in flight continue.
func (h *heldTarget) close() {
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	h.replica.state = stateClosed
	h.shard.removeReplica(h.replica)
}

// removeReplica removes r from the shard. The caller holds s.mu.
func (s *shard) removeReplica(r *replica) {
	kept := make([]*replica, 0, len(s.replicas))
	for _, o := range s.replicas {
		if o != r {
			kept = append(kept, o)
		}
	}
	s.replicas = kept
}

// update closes a held target that this router no longer owns, and applies
// changes of the group's limits and of the target's quiet state.
func (o *Owner) update(v *board.View, h *heldTarget, owned bool) {
	s, r := h.shard, h.replica
	s.mu.Lock()
	defer s.mu.Unlock()
	if !owned && r.state != stateClosed {
		r.state = stateClosed
		s.removeReplica(r)
		o.cfg.Searcher.Release(r.id())
		o.cfg.Log.Info("target no longer owned", "target", r.id(), "epoch", r.epoch, "in_flight", len(r.inFlight))
	}
	if g := v.Topology.Group(r.target.Group); owned && g != nil {
		r.ramp = r.ramp.withLimits(limitsOf(g))
	}
	quiet := v.IsQuiet(r.target)
	if r.quiet && !quiet {
		// The target may have restarted while it was quiet, and be cold.
		r.ramp = r.ramp.Step(ConnectionLost{})
	}
	if r.quiet != quiet && r.state != stateClosed {
		o.cfg.Log.Info("target quiet state changed", "target", r.id(), "quiet", quiet)
	}
	r.quiet = quiet
	s.dispatchLocked(time.Now())
}

// shardFor returns the shard of t and creates it if necessary. The caller holds
// o.mu.
func (o *Owner) shardFor(v *board.View, t *topology.Target) *shard {
	old := *o.shards.Load()
	if s := old[t.Shard]; s != nil {
		return s
	}
	group := v.Topology.Group(t.Group)
	if group == nil {
		group = &topology.Group{Name: t.Group, Slots: 1, ColdLimit: 1}
	}
	s := &shard{id: t.Shard, group: group}
	next := maps.Clone(old)
	next[t.Shard] = s
	o.shards.Store(&next)
	return s
}

// activateExpiredFences activates fenced targets once the previous owner's
// lease has expired.
func (o *Owner) activateExpiredFences(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, h := range o.held {
		h.shard.mu.Lock()
		if h.replica.state == stateFenced && !now.Before(h.replica.fenceEnd) {
			o.activate(h, nil)
		}
		h.shard.mu.Unlock()
	}
}

// activate activates a fenced replica. If handover isn't nil, the ramp starts
// with the process and the work that it reports. The caller holds the shard's
// lock.
func (o *Owner) activate(h *heldTarget, handover *pb.ReleasedTarget) {
	r := h.replica
	r.state, r.previousDone = stateActive, true
	r.ramp = NewRamp(r.ramp.Limits)
	if handover != nil {
		r.ramp = r.ramp.Step(HandedOver{
			Process: handover.GetProcess(),
			Work:    time.Duration(handover.GetWarmWorkUs()) * time.Microsecond,
		})
	}
	o.cfg.Log.Info("target activated", "target", r.id(), "epoch", r.epoch, "released", handover != nil,
		"limit", r.ramp.Limit())
	o.requestHealthCheck()
	h.shard.dispatchLocked(time.Now())
}
