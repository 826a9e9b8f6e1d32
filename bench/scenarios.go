package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/topology"
)

// Fault is something that happens at a time of the measured run.
type Fault struct {
	At   time.Duration
	What string
	Do   func(ctx context.Context, r *Run) error
}

// Scenario is what happens to a system under load.
type Scenario struct {
	Name string
	// Load is the share of the scarcest shard's slots that arrivals need.
	Load float64
	// Resends is how often a caller resends a query that was lost.
	Resends int
	// Once is the share of non-idempotent queries, 0 for the deployment's own.
	Once float64
	// Faults draws the schedule for a run of the given length.
	Faults func(s *Site, rng *rand.Rand, length time.Duration) []Fault
}

const halfLoad = 0.5

// Scenarios lists what the bench can run, in the order of their names' page.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Load: halfLoad, Faults: none},
		{Name: "straggler", Load: halfLoad, Faults: stragglers},
		{Name: "cold", Load: halfLoad, Faults: coldStarts},
		{Name: "replica-loss", Load: halfLoad, Faults: replicaLoss},
		{Name: "snapshot", Load: halfLoad, Faults: snapshots},
		{Name: "takeout", Load: halfLoad, Faults: takeout},
		{Name: "leave", Load: halfLoad, Faults: leaves},
		{Name: "once", Load: halfLoad, Resends: 3, Once: 0.5, Faults: routerLosses},
		{Name: "control-cut", Load: halfLoad, Faults: controlCut},
		{Name: "overload", Load: 2, Faults: none},
		{Name: "mislead", Load: halfLoad, Faults: lies},
	}
}

// FindScenario returns the named scenario.
func FindScenario(name string) (Scenario, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, &UnknownError{What: "scenario", Name: name}
}

func none(*Site, *rand.Rand, time.Duration) []Fault { return nil }

// every returns the times of a fault that recurs, from the first interval on.
func every(interval, length time.Duration) []time.Duration {
	var times []time.Duration
	for at := interval / 2; at < length; at += interval {
		times = append(times, at)
	}
	return times
}

// oneReplicaOf draws n shards and one replica of each.
func oneReplicaOf(s *Site, rng *rand.Rand, n int) []topology.TargetID {
	index := topology.NewIndex(s.Deployment)
	shards := slices.Clone(index.Shards())
	rng.Shuffle(len(shards), func(i, j int) { shards[i], shards[j] = shards[j], shards[i] })
	var ids []topology.TargetID
	for _, shard := range shards[:min(n, len(shards))] {
		replicas := index.Replicas(shard)
		ids = append(ids, replicas[rng.IntN(len(replicas))].ID)
	}
	return ids
}

const (
	stragglerMove   = 3 * time.Second
	stragglerShards = 5
	slowest         = 50.0
	leastSlow       = 10.0
)

func stragglers(s *Site, rng *rand.Rand, length time.Duration) []Fault {
	var faults []Fault
	var before []topology.TargetID
	for _, at := range every(stragglerMove, length) {
		old, slow := before, oneReplicaOf(s, rng, stragglerShards)
		factor := leastSlow + rng.Float64()*(slowest-leastSlow)
		faults = append(faults, Fault{At: at, What: "stragglers move", Do: func(_ context.Context, r *Run) error {
			for _, id := range old {
				r.World.Targets[id].SetSlow(1)
			}
			for _, id := range slow {
				r.World.Targets[id].SetSlow(factor)
			}
			return nil
		}})
		before = slow
	}
	return faults
}

const (
	coldInterval = time.Second
	coldAtOnce   = 2
)

func coldStarts(s *Site, rng *rand.Rand, length time.Duration) []Fault {
	var faults []Fault
	for _, at := range every(coldInterval, length) {
		ids := oneReplicaOf(s, rng, coldAtOnce)
		faults = append(faults, Fault{At: at, What: "replicas restart cold", Do: func(_ context.Context, r *Run) error {
			for _, id := range ids {
				r.World.Targets[id].Restart()
			}
			return nil
		}})
	}
	return faults
}

const (
	lossInterval = 3 * time.Second
	lossDown     = 2 * time.Second
	lossAtOnce   = 3
)

func replicaLoss(s *Site, rng *rand.Rand, length time.Duration) []Fault {
	var faults []Fault
	for _, at := range every(lossInterval, length) {
		ids := oneReplicaOf(s, rng, lossAtOnce)
		faults = append(faults,
			Fault{At: at, What: "replicas are lost", Do: func(_ context.Context, r *Run) error {
				for _, id := range ids {
					r.World.Targets[id].Kill()
				}
				return nil
			}},
			Fault{At: at + lossDown, What: "replicas return cold", Do: func(_ context.Context, r *Run) error {
				return r.revive(ids)
			}})
	}
	return faults
}

const (
	rollInterval = 4 * time.Second
	rollSpread   = 1500 * time.Millisecond
)

// snapshots rolls the index version: each replica takes the new one beside the
// old at its own time, and drops the old one at its own time later.
func snapshots(s *Site, rng *rand.Rand, length time.Duration) []Fault {
	var faults []Fault
	version := uint64(1)
	for _, at := range every(rollInterval, length) {
		old, next := version, version+1
		for i := range s.Targets {
			id := s.Targets[i].ID
			taken := at + time.Duration(rng.Float64()*float64(rollSpread))
			dropped := at + rollSpread + time.Duration(rng.Float64()*float64(rollSpread))
			faults = append(faults, setVersions(taken, id, next, old), setVersions(dropped, id, next))
		}
		version = next
	}
	return faults
}

func setVersions(at time.Duration, id topology.TargetID, versions ...uint64) Fault {
	return Fault{At: at, Do: func(_ context.Context, r *Run) error {
		r.World.Targets[id].SetVersions(versions...)
		return nil
	}}
}

// takeout takes a data centre out, cuts its power and brings it back cold.
func takeout(s *Site, rng *rand.Rand, length time.Duration) []Fault {
	dc := s.DataCentres[rng.IntN(len(s.DataCentres))]
	const powerOff = 5 * time.Second
	return []Fault{
		{At: length / 5, What: "operators take out " + string(dc), Do: func(ctx context.Context, r *Run) error {
			return r.takeOut(ctx, dc)
		}},
		{At: min(length/5+powerOff, length/2), What: "the data centre goes down", Do: func(_ context.Context, r *Run) error {
			for _, id := range r.World.InDC(dc) {
				r.World.Targets[id].Kill()
			}
			return nil
		}},
		{At: length * 55 / 100, What: "the data centre is up, cold", Do: func(_ context.Context, r *Run) error {
			return r.revive(r.World.InDC(dc))
		}},
		{At: length * 6 / 10, What: "operators return " + string(dc), Do: func(ctx context.Context, r *Run) error {
			return r.bringBack(ctx, dc)
		}},
	}
}

const (
	leavingTargets = 3
	leaveNotice    = 5 * time.Second
)

// leaves lets some targets leave for good and then a router VM.
func leaves(s *Site, rng *rand.Rand, length time.Duration) []Fault {
	ids := oneReplicaOf(s, rng, leavingTargets)
	router := rng.IntN(len(s.Routers))
	return []Fault{
		{At: length / 5, What: "targets leave", Do: func(ctx context.Context, r *Run) error {
			for _, id := range ids {
				if err := r.leaveTarget(ctx, id); err != nil {
					return err
				}
			}
			return nil
		}},
		{At: length/5 + leaveNotice, What: "left targets end", Do: func(_ context.Context, r *Run) error {
			for _, id := range ids {
				r.World.Targets[id].SetDraining(true)
			}
			return nil
		}},
		{At: length / 2, What: "a router leaves", Do: func(_ context.Context, r *Run) error {
			if m, ok := r.Policy.(Machines); ok {
				m.LeaveRouter(router)
			}
			return nil
		}},
	}
}

// routerLosses ends routers without warning, and starts them again.
func routerLosses(s *Site, rng *rand.Rand, length time.Duration) []Fault {
	const down = 2 * time.Second
	var faults []Fault
	for _, at := range every(length/3, length) {
		n := rng.IntN(len(s.Routers))
		faults = append(faults,
			Fault{At: at, What: "a router is lost", Do: func(_ context.Context, r *Run) error {
				if m, ok := r.Policy.(Machines); ok {
					m.KillRouter(n)
				}
				return nil
			}},
			Fault{At: at + down, What: "the router starts again", Do: func(_ context.Context, r *Run) error {
				if m, ok := r.Policy.(Machines); ok {
					return m.StartRouter(n)
				}
				return nil
			}})
	}
	return faults
}

// controlCut cuts off the leading control process while operators take a data
// centre out and return it.
func controlCut(s *Site, rng *rand.Rand, length time.Duration) []Fault {
	dc := s.DataCentres[rng.IntN(len(s.DataCentres))]
	return []Fault{
		{At: length / 5, What: "the leader is cut off", Do: func(_ context.Context, r *Run) error {
			if p, ok := r.Policy.(Partitioner); ok {
				return p.CutLeader()
			}
			return nil
		}},
		{At: length / 4, What: "operators take out " + string(dc), Do: func(ctx context.Context, r *Run) error {
			return r.takeOut(ctx, dc)
		}},
		{At: length * 6 / 10, What: "operators return " + string(dc), Do: func(ctx context.Context, r *Run) error {
			return r.bringBack(ctx, dc)
		}},
		{At: length * 8 / 10, What: "the partition heals", Do: func(_ context.Context, r *Run) error {
			if p, ok := r.Policy.(Partitioner); ok {
				p.Heal()
			}
			return nil
		}},
	}
}
