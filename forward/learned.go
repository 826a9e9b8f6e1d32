package forward

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/peridotmux/peridotmux/capacity"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/telemetry"
)

const (
	// figureMemory is how long after its last figure a target counts as one that sends
	// figures.
	figureMemory = time.Minute
	// learnedTimeConstant replaces slownessTimeConstant for a target that this router
	// found faster than all routers together: one fast response says less.
	learnedTimeConstant = 500 * time.Millisecond
	// figureTimeConstant is the time in which a figure's weight decays to 1/e, and
	// freshFigureWeight the weight of one that just came.
	figureTimeConstant = 150 * time.Millisecond
	freshFigureWeight  = 0.5
	// pressedCost is the cost of a request beyond a target's share, in service times.
	pressedCost = 1.0
	// minRemoteGain is how much longer than usual a target in the same data centre must
	// be known to take for it to lose its advantage over others. It is above the round
	// trip between data centres.
	minRemoteGain = 4 * time.Millisecond
)

// Learning makes a server learn how much load targets handle, and use what all
// routers learned.
type Learning struct {
	Capacity *capacity.Gateway
	// Asked reports whether the settings ask for it at a service. Otherwise it concerns
	// only targets whose load reports have a figure.
	Asked func(route.ServiceName) bool
}

// learned is a target's learned capacity as an input to the cost function. The zero
// value has no effect.
type learned struct {
	// on means that the target's capacity is learned.
	on       bool
	estimate capacity.Estimate
	// pressed means that this request exceeds the share that the target should get.
	pressed bool
}

// learns reports whether a target's capacity is learned.
func (f *fleet) learns(b *backend, now time.Time) bool {
	if f.learning == nil {
		return false
	}
	return !b.figureAt.IsZero() && now.Sub(b.figureAt) < figureMemory || f.learning.Asked != nil && f.learning.Asked(b.service)
}

// capacityKey returns the key of the backend's target.
func (b *backend) capacityKey() capacity.Key {
	if b.key == 0 {
		b.key = capacity.KeyOf(string(b.id), b.target.BornUnixMS)
	}
	return b.key
}

// applyLearned applies a target's learned capacity to a candidate. f.mu must be held.
func (f *fleet) applyLearned(b *backend, c *candidate, now time.Time) {
	if !f.learns(b, now) {
		return
	}
	e := f.learning.Capacity.Estimate(b.capacityKey(), now)
	c.learned = learned{on: true, estimate: e}
	if !c.usesShared {
		c.own = targetStats{slowness: c.slowness, failureRate: c.failureRate}
	}
	if c.slowness < e.Speed {
		c.slowness = e.Speed + (c.slowness-e.Speed)*decay(now.Sub(b.slownessAt), learnedTimeConstant)
	}
	if b.load.Figure > 0 && e.Reason&capacity.FiguresIgnored == 0 {
		c.slowness += freshFigureWeight * decay(c.loadAge, figureTimeConstant) * (b.load.Figure - c.slowness)
	}
	slow := e.Speed > 1
	if slow && !b.knownSlow {
		b.probeAt = now.Add(f.probeDelay(b.service))
	}
	b.knownSlow = slow
	c.usesShared = c.usesShared || slow
}

// probeDelay returns the random time until this router's first probe of a slow target.
// f.mu must be held.
func (f *fleet) probeDelay(s route.ServiceName) time.Duration {
	return time.Duration(f.random() * float64(f.probeInterval(s)))
}

// worthLeaving reports whether a target is known to be so slow that one in another data
// centre answers sooner.
func (l *learned) worthLeaving(median time.Duration) bool {
	return l.on && (l.estimate.Speed-1)*float64(median) >= float64(minRemoteGain)
}

// press marks the candidates that should leave this request to others: each target
// gets its share of the requests, relative to the greatest share of its service. draw
// is a random number from 0 to 1.
func (l *learned) press(greatest, draw float64) {
	l.pressed = l.on && l.estimate.Share < greatest*draw
}

// greatestShare returns the greatest share of some targets, 0 if none is learned or
// all have the same. f.mu must be held.
func (f *fleet) greatestShare(list []*backend, now time.Time) float64 {
	if f.learning == nil {
		return 0
	}
	least, greatest := 1.0, 0.0
	for _, b := range list {
		share := 1.0
		if f.learns(b, now) {
			share = f.learning.Capacity.Estimate(b.capacityKey(), now).Share
		}
		least, greatest = min(least, share), max(greatest, share)
	}
	if least == greatest {
		return 0
	}
	return greatest
}

// learn passes the end of an attempt to all routers' learning. f.mu must be held.
func (f *fleet) learn(sel *selection, o *Outcome, now time.Time) {
	b := sel.backend
	if f.learning == nil || sel.median <= 0 {
		return
	}
	if o.Load.Figure > 0 {
		b.figureAt = now
	}
	if !f.learns(b, now) {
		return
	}
	late := float64(o.ServiceTime) > overdueFactor*float64(sel.median)
	s := capacity.Sample{Slots: b.target.Slots, Load: len(b.inFlight), Time: float64(o.ServiceTime) / float64(sel.median)}
	switch {
	case o.Success():
		if !o.Load.At.IsZero() {
			s.Slots, s.Load, s.Figure = o.Load.Slots, o.Load.Running+o.Load.Waiting, o.Load.Figure
		}
	case !o.Cancelled || o.Withdrawn || !late:
		return
	}
	f.learning.Capacity.Add(b.capacityKey(), s)
}

// countFigure counts what is wrong with the figure of a target that sends figures.
func (s *Server) countFigure(b *backend, l *Load) {
	if s.cfg.Learning == nil || l.At.IsZero() || l.FigureFault == figureFine {
		return
	}
	if l.FigureFault == figureAbsent && !s.fleet.sendsFigures(b) {
		return
	}
	s.cfg.Metrics.OddFigure(l.FigureFault.String())
}

// sendsFigures reports whether a target has sent a figure.
func (f *fleet) sendsFigures(b *backend) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !b.figureAt.IsZero()
}

// learnedText describes a target's learned capacity for the status page, "" if it
// isn't learned. f.mu must be held.
func (f *fleet) learnedText(b *backend, now time.Time) string {
	if !f.learns(b, now) {
		return ""
	}
	e := f.learning.Capacity.Estimate(b.capacityKey(), now)
	if e == capacity.Usual {
		return ", handles its slots at the usual speed"
	}
	return fmt.Sprintf(", handles %d of %d at %.1f times the usual time, keeps %.2f of its share, by %v", limitOf(b, e), b.target.Slots, e.Speed, e.Share, e.Reason)
}

// UnusualTargets returns the targets whose learned capacity differs from the usual.
func (s *Server) UnusualTargets(now time.Time) []telemetry.Capacity {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []telemetry.Capacity
	for _, b := range f.byID {
		if !f.learns(b, now) {
			continue
		}
		e := f.learning.Capacity.Estimate(b.capacityKey(), now)
		if e == capacity.Usual {
			continue
		}
		out = append(out, telemetry.Capacity{
			Service: string(b.service), Target: string(b.id), Speed: e.Speed, Limit: float64(limitOf(b, e)), Share: e.Share, Reason: e.Reason.String(),
		})
	}
	return out
}

// limitOf returns the number of requests that a target handles by an estimate.
func limitOf(b *backend, e capacity.Estimate) int {
	if e.Limit > 0 {
		return min(e.Limit, b.target.Slots)
	}
	return b.target.Slots
}

// newRandom returns the source of the random part of costs.
func newRandom() func() float64 { return rand.Float64 }
