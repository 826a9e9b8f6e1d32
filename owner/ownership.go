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
	// sweepInterval is the time between looks for jobs that wait in vain.
	sweepInterval = 10 * time.Millisecond
	// askInterval is the time between questions to a previous owner.
	askInterval = 50 * time.Millisecond
)

// holding is a target that this process owns or owned.
type holding struct {
	shard    *shard
	replica  *replica
	previous topology.VMName
	// told is set once the next owner was told that the target is released.
	told bool
}

// Run follows the board until ctx ends: it takes up targets assigned to this
// router and releases those taken away.
func (o *Owner) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	go o.askLoop(ctx)
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

func (o *Owner) sweep(now time.Time) {
	o.openFences(now)
	for _, s := range *o.shards.Load() {
		s.sweep(now)
	}
}

// apply brings the holdings to the state of view v.
func (o *Owner) apply(v *board.View, now time.Time) {
	if v.Topology == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, a := range v.Assignments {
		if t := v.Topology.Target(id); t != nil && a.Owner == o.cfg.VM {
			o.takeUp(v, t, a, now)
		}
	}
	for id, h := range o.held {
		mine := v.Topology.Target(id) != nil && v.Assignments[id].Owner == o.cfg.VM
		o.update(v, h, mine)
	}
	o.index = v.Index
}

// takeUp makes sure that a target assigned to this router is held.
func (o *Owner) takeUp(v *board.View, t *topology.Target, a board.Assignment, now time.Time) {
	h := o.held[t.ID]
	if h != nil && *h.replica.target == *t {
		if h.replica.epoch != a.Epoch {
			o.resume(h, a, now)
		}
		return
	}
	if h != nil {
		h.close()
	}
	s := o.shardFor(v, t)
	r := &replica{target: t, epoch: a.Epoch, fenceEnd: now.Add(lease.Duration)}
	r.ramp = NewRamp(limitsOf(s.group))
	if fresh(v, o.cfg.VM, a) {
		r.state, r.safe = stateActive, true
	}
	o.held[t.ID] = &holding{shard: s, replica: r, previous: a.Previous}
	s.mu.Lock()
	s.replicas = append(s.replicas, r)
	s.mu.Unlock()
	o.logTakeUp(r, a)
}

func limitsOf(g *topology.Group) Limits {
	return Limits{Slots: g.Slots, ColdLimit: g.ColdLimit, WarmAfter: g.WarmAfter}
}

func (o *Owner) logTakeUp(r *replica, a board.Assignment) {
	o.cfg.Log.Info("target taken up", "target", r.id(), "epoch", a.Epoch, "previous", a.Previous,
		"fenced", r.state == stateFenced)
}

// fresh reports whether nobody can have work at the target: it had no owner
// before, and the assignment is to this start of the router's process.
func fresh(v *board.View, vm topology.VMName, a board.Assignment) bool {
	return a.Previous == "" && a.Epoch >= v.Routers[vm].Version
}

// resume goes on with a target that this process already knows: owned all
// along, or given up before and now assigned again.
func (o *Owner) resume(h *holding, a board.Assignment, now time.Time) {
	s, r := h.shard, h.replica
	s.mu.Lock()
	defer s.mu.Unlock()
	again := r.state == stateClosed
	r.epoch = a.Epoch
	if !again {
		return
	}
	h.previous, h.told = a.Previous, false
	r.state, r.safe, r.fenceEnd = stateFenced, false, now.Add(lease.Duration)
	s.replicas = append(s.replicas, r)
	o.logTakeUp(r, a)
}

// close stops all new work at a target.
func (h *holding) close() {
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	h.replica.state = stateClosed
	h.shard.drop(h.replica)
}

func (s *shard) drop(r *replica) {
	kept := make([]*replica, 0, len(s.replicas))
	for _, o := range s.replicas {
		if o != r {
			kept = append(kept, o)
		}
	}
	s.replicas = kept
}

// update sets whether a held target is taken away or quiet.
func (o *Owner) update(v *board.View, h *holding, mine bool) {
	s, r := h.shard, h.replica
	s.mu.Lock()
	defer s.mu.Unlock()
	if !mine && r.state != stateClosed {
		r.state = stateClosed
		s.drop(r)
		o.cfg.Searcher.Release(r.id())
		o.cfg.Log.Info("target given up", "target", r.id(), "epoch", r.epoch, "in_flight", len(r.running))
	}
	if g := v.Topology.Group(r.target.Group); mine && g != nil {
		r.ramp = r.ramp.within(limitsOf(g))
	}
	quiet := v.IsQuiet(r.target)
	if r.quiet && !quiet {
		// What happened meanwhile is unknown; it may come back cold.
		r.ramp = r.ramp.Step(ConnectionLost{})
	}
	if r.quiet != quiet && r.state != stateClosed {
		o.cfg.Log.Info("target quiet changed", "target", r.id(), "quiet", quiet)
	}
	r.quiet = quiet
	s.dispatchLocked(time.Now())
}

// shardFor returns the shard of t, which it adds if need be.
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

// openFences activates targets whose previous owner's lease has run out.
func (o *Owner) openFences(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, h := range o.held {
		h.shard.mu.Lock()
		if h.replica.state == stateFenced && !now.Before(h.replica.fenceEnd) {
			o.open(h, nil)
		}
		h.shard.mu.Unlock()
	}
}

// open activates a fenced replica; its shard's lock is held.
func (o *Owner) open(h *holding, over *pb.ReleasedTarget) {
	r := h.replica
	r.state, r.safe = stateActive, true
	r.ramp = NewRamp(r.ramp.Limits)
	if over != nil {
		r.ramp = r.ramp.Step(HandedOver{
			Process: over.GetProcess(),
			Work:    time.Duration(over.GetWarmWorkUs()) * time.Microsecond,
		})
	}
	o.cfg.Log.Info("target fence opened", "target", r.id(), "epoch", r.epoch, "released", over != nil,
		"limit", r.ramp.Limit())
	h.shard.dispatchLocked(time.Now())
}
