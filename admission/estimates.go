package admission

import (
	"time"

	"github.com/peridotmux/peridotmux/route"
)

// updateRatios compares the workspaces' parts of the present load with their parts of the
// usual one, so that nothing changes while all loads rise alike. elapsed is the time
// since the last update. It reports whether a ratio changed.
func (l *Leader) updateRatios(elapsed time.Duration, now time.Time) (changed bool) {
	for _, u := range l.usual {
		u.present = 0
	}
	bucket := l.bucketAt(now)
	for c, r := range l.rates {
		u := l.usual[c.workspace]
		if u == nil {
			u = &usualLoad{}
			l.usual[c.workspace] = u
		}
		u.present += r.perSecond(bucket).objectives
		u.used = r.last
	}
	usual, present := 0.0, 0.0
	for _, u := range l.usual {
		u.average.add(u.present, elapsed)
		usual += u.average.mean
		present += u.present
	}
	least := minWeight * usual / float64(max(len(l.usual), 1))
	for _, u := range l.usual {
		before := u.ratio
		u.ratio = newRatio(max(u.average.mean, least)/max(usual, epsilon), u.present/max(present, epsilon), before)
		changed = changed || u.ratio != before
	}
	return changed
}

// minWeight is the usual load, relative to the mean one of all workspaces, that each
// workspace counts as having at least, so that small and new ones aren't starved.
const minWeight = 0.25

// demand returns the load of each class that allocate divides the capacity among, and the
// load offered to each service. elapsed is the time since the last call.
func (l *Leader) demand(elapsed time.Duration, now time.Time) (demand, map[route.ServiceName]load) {
	d, byRank := make(demand), make(map[rank]load)
	bucket := l.bucketAt(now)
	for c, r := range l.rates {
		g := l.groups[c.group]
		offered := r.perSecond(bucket)
		if g == nil || offered.queries == 0 {
			continue
		}
		d[demandClass{group: g.Group, priority: c.priority, ratio: l.usual[c.workspace].ratio}] += offered.objectives
		k := rank{group: c.group, priority: c.priority}
		byRank[k] = byRank[k].plus(offered)
	}
	l.updateRepeats(byRank, elapsed)
	for c := range d {
		if r := l.repeats[rank{group: c.group.ID, priority: c.priority}]; r != nil {
			d[c] /= r.factor()
		}
	}
	return d, l.offeredLoad(now)
}

// offeredLoad returns the load offered to each service.
func (l *Leader) offeredLoad(now time.Time) map[route.ServiceName]load {
	byGroup := make(map[GroupID]load)
	bucket := l.bucketAt(now)
	for c, r := range l.rates {
		if x := r.perSecond(bucket); x.queries > 0 {
			byGroup[c.group] = byGroup[c.group].plus(x)
		}
	}
	offered := make(map[route.ServiceName]load)
	for id, x := range byGroup {
		if g := l.groups[id]; g != nil {
			for _, name := range g.Services {
				offered[name] = offered[name].plus(x)
			}
		}
	}
	return offered
}

// usualSpeed returns the median speed of all targets.
func (l *Leader) usualSpeed(now time.Time) float64 {
	speeds := make([]float64, 0, len(l.windows))
	for _, t := range l.windows {
		t.advance(now)
		if s := t.meanSpeed(0, now); s > 0 {
			speeds = append(speeds, s)
		}
	}
	return median(speeds)
}

// estimate returns an estimate for each service with an offered load whose targets
// report theirs.
func (l *Leader) estimate(offered map[route.ServiceName]load, now time.Time) map[route.ServiceName]*estimate {
	out := make(map[route.ServiceName]*estimate)
	usual := l.usualSpeed(now)
	if len(offered) == 0 || usual == 0 {
		return out
	}
	lengths := make(map[route.ServiceName]queues)
	reporting := make(map[route.ServiceName]bool)
	for _, t := range l.cfg.Targets(now) {
		load, known := offered[t.Service]
		if !known {
			continue
		}
		e := out[t.Service]
		if e == nil {
			e = &estimate{offered: load.objectives, objective: load.objectives / max(load.queries, epsilon)}
			out[t.Service] = e
		}
		optimistic, speed, slots := usual, usual, t.Slots
		if w := l.windows[t.ID]; w != nil {
			reporting[t.Service] = true
			optimistic, speed = w.optimisticSpeed(usual, now), w.meanSpeed(usual, now)
			slots = max(w.current.Slots, w.closed[0].Slots, 1)
			q := lengths[t.Service]
			q.add(w.queue(now))
			lengths[t.Service] = q
		}
		e.optimistic += optimistic * float64(max(slots, 1))
		e.capacity += speed * float64(max(slots, 1))
	}
	for name, e := range out {
		if !reporting[name] {
			delete(out, name)
			continue
		}
		q := lengths[name]
		e.queue, e.shared = q.sum/max(e.capacity, epsilon), q.withoutLongest()/max(e.capacity, epsilon)
	}
	return out
}

// queues are the lengths of the queues at a service's targets.
type queues struct {
	targets      int
	sum, longest float64
}

func (q *queues) add(length float64) {
	q.targets++
	q.sum += length
	q.longest = max(q.longest, length)
}

// withoutLongest returns the sum if the target with the longest queue had the mean queue
// of the others.
func (q *queues) withoutLongest() float64 {
	if q.targets < 2 {
		return q.sum
	}
	return (q.sum - q.longest) * float64(q.targets) / float64(q.targets-1)
}
