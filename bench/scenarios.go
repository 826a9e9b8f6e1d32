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
	At          time.Duration
	Description string
	Apply       func(ctx context.Context, r *Run) error
}

// Scenario is what happens to a system under load.
type Scenario struct {
	Name string
	// Utilization is the share of the scarcest shard's slots that arrivals need.
	Utilization float64
	// MaxResends is how often a caller resends a query that was lost.
	MaxResends int
	// NonIdempotentShare is the share of non-idempotent queries, 0 for the deployment's own.
	NonIdempotentShare float64
	// Faults draws the schedule for a run of the given length.
	Faults func(s *Site, rng *rand.Rand, length time.Duration) []Fault
}

const halfLoad = 0.5

// Scenarios lists what the bench can run, in the order of their names' page.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Utilization: halfLoad, Faults: none},
		{Name: "straggler", Utilization: halfLoad, Faults: stragglers},
		{Name: "cold", Utilization: halfLoad, Faults: coldStarts},
		{Name: "replica-loss", Utilization: halfLoad, Faults: replicaLoss},
		{Name: "snapshot", Utilization: halfLoad, Faults: snapshots},
		{Name: "takeout", Utilization: halfLoad, Faults: takeout},
		{Name: "leave", Utilization: halfLoad, Faults: leaves},
		{Name: "once", Utilization: halfLoad, MaxResends: 3, NonIdempotentShare: 0.5, Faults: routerLosses},
		{Name: "control-cut", Utilization: halfLoad, Faults: controlCut},
		{Name: "overload", Utilization: 2, Faults: none},
		{Name: "mislead", Utilization: halfLoad, Faults: lies},
	}
}

// FindScenario returns the named scenario.
func FindScenario(name string) (Scenario, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, &UnknownError{Kind: "scenario", Name: name}
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
		faults = append(faults, Fault{At: at, Description: "stragglers move", Apply: func(_ context.Context, r *Run) error {
			for _, id := range old {
				r.Cluster.Targets[id].SetSlowdown(1)
			}
			for _, id := range slow {
				r.Cluster.Targets[id].SetSlowdown(factor)
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
		faults = append(faults, Fault{At: at, Description: "replicas restart cold", Apply: func(_ context.Context, r *Run) error {
			for _, id := range ids {
				r.Cluster.Targets[id].Restart()
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
			Fault{At: at, Description: "replicas are lost", Apply: func(_ context.Context, r *Run) error {
				for _, id := range ids {
					r.Cluster.Targets[id].Kill()
				}
				return nil
			}},
			Fault{At: at + lossDown, Description: "replicas return cold", Apply: func(_ context.Context, r *Run) error {
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
	return Fault{At: at, Apply: func(_ context.Context, r *Run) error {
		r.Cluster.Targets[id].SetVersions(versions...)
		return nil
	}}
}

// takeout takes a data centre out, cuts its power and brings it back cold.
func takeout(s *Site, rng *rand.Rand, length time.Duration) []Fault {
	dc := s.DataCentres[rng.IntN(len(s.DataCentres))]
	const powerOff = 5 * time.Second
	return []Fault{
		{At: length / 5, Description: "operators take out " + string(dc), Apply: func(ctx context.Context, r *Run) error {
			return r.takeOut(ctx, dc)
		}},
		{At: min(length/5+powerOff, length/2), Description: "the data centre goes down", Apply: func(_ context.Context, r *Run) error {
			for _, id := range r.Cluster.TargetsInDC(dc) {
				r.Cluster.Targets[id].Kill()
			}
			return nil
		}},
		{At: length * 55 / 100, Description: "the data centre is up, cold", Apply: func(_ context.Context, r *Run) error {
			return r.revive(r.Cluster.TargetsInDC(dc))
		}},
		{At: length * 6 / 10, Description: "operators return " + string(dc), Apply: func(ctx context.Context, r *Run) error {
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
		{At: length / 5, Description: "targets leave", Apply: func(ctx context.Context, r *Run) error {
			for _, id := range ids {
				if err := r.leaveTarget(ctx, id); err != nil {
					return err
				}
			}
			return nil
		}},
		{At: length/5 + leaveNotice, Description: "left targets end", Apply: func(_ context.Context, r *Run) error {
			for _, id := range ids {
				r.Cluster.Targets[id].SetDraining(true)
			}
			return nil
		}},
		{At: length / 2, Description: "a router leaves", Apply: func(_ context.Context, r *Run) error {
			if m, ok := r.Policy.(RouterLifecycle); ok {
				m.ShutDownRouter(router)
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
			Fault{At: at, Description: "a router is lost", Apply: func(_ context.Context, r *Run) error {
				if m, ok := r.Policy.(RouterLifecycle); ok {
					m.KillRouter(n)
				}
				return nil
			}},
			Fault{At: at + down, Description: "the router starts again", Apply: func(_ context.Context, r *Run) error {
				if m, ok := r.Policy.(RouterLifecycle); ok {
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
		{At: length / 5, Description: "the leader is cut off", Apply: func(_ context.Context, r *Run) error {
			if p, ok := r.Policy.(LeaderIsolator); ok {
				return p.IsolateLeader()
			}
			return nil
		}},
		{At: length / 4, Description: "operators take out " + string(dc), Apply: func(ctx context.Context, r *Run) error {
			return r.takeOut(ctx, dc)
		}},
		{At: length * 6 / 10, Description: "operators return " + string(dc), Apply: func(ctx context.Context, r *Run) error {
			return r.bringBack(ctx, dc)
		}},
		{At: length * 8 / 10, Description: "the partition heals", Apply: func(_ context.Context, r *Run) error {
			if p, ok := r.Policy.(LeaderIsolator); ok {
				p.HealPartition()
			}
			return nil
		}},
	}
}
