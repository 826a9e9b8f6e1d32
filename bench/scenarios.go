package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/topology"
)

// Fault is a fault or an operator's action that is applied during a run. At is
// relative to the start of the measurement.
type Fault struct {
	At          time.Duration
	Description string
	Apply       func(ctx context.Context, r *Run) error
}

// Scenario describes the load, the resends of callers and the faults of a run.
type Scenario struct {
	Name string
	// Utilization is the default fraction of the scarcest shard's slots that the
	// arrivals occupy; above 1 is overload.
	Utilization float64
	// MaxResends limits how often a caller resends a query.
	MaxResends int
	// NonIdempotentShare is the fraction of non-idempotent queries; 0 keeps the
	// deployment's mix.
	NonIdempotentShare float64
	// Faults generates the faults of a run of the given length.
	Faults func(s *Site, rng *rand.Rand, length time.Duration) []Fault
}

// halfLoad is the utilization of all scenarios except overload.
const halfLoad = 0.5

// Scenarios returns all scenarios in the order in which they are documented.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Utilization: halfLoad, Faults: noFaults},
		{Name: "straggler", Utilization: halfLoad, Faults: stragglers},
		{Name: "cold", Utilization: halfLoad, Faults: coldStarts},
		{Name: "replica-loss", Utilization: halfLoad, Faults: replicaLoss},
		{Name: "snapshot", Utilization: halfLoad, Faults: versionRollouts},
		{Name: "takeout", Utilization: halfLoad, Faults: dataCentreTakeOut},
		{Name: "leave", Utilization: halfLoad, Faults: departures},
		{Name: "once", Utilization: halfLoad, MaxResends: 3, NonIdempotentShare: 0.5, Faults: routerLosses},
		{Name: "control-cut", Utilization: halfLoad, Faults: controlCut},
		{Name: "overload", Utilization: 2, Faults: noFaults},
		{Name: "mislead", Utilization: halfLoad, Faults: misleadingHealth},
	}
}

// FindScenario returns the named scenario, or an UnknownError.
func FindScenario(name string) (Scenario, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, &UnknownError{Kind: "scenario", Name: name}
}

func noFaults(*Site, *rand.Rand, time.Duration) []Fault { return nil }

// faultTimes returns the times of a fault that recurs at an interval, starting at
// half an interval.
func faultTimes(interval, length time.Duration) []time.Duration {
	var times []time.Duration
	for at := interval / 2; at < length; at += interval {
		times = append(times, at)
	}
	return times
}

// oneReplicaOf returns one random replica of each of n random shards.
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
	stragglerInterval = 3 * time.Second
	// stragglerShards is the number of shards with a slow replica at a time.
	stragglerShards = 5
	// maxSlowdown and minSlowdown bound the factor of a straggler's service times.
	maxSlowdown = 50.0
	minSlowdown = 10.0
)

// stragglers slows down a few random replicas, changing them at every
// stragglerInterval.
func stragglers(s *Site, rng *rand.Rand, length time.Duration) []Fault {
	var faults []Fault
	var before []topology.TargetID
	for _, at := range faultTimes(stragglerInterval, length) {
		old, slow := before, oneReplicaOf(s, rng, stragglerShards)
		factor := minSlowdown + rng.Float64()*(maxSlowdown-minSlowdown)
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
	// coldAtOnce is the number of replicas that restart at the same time.
	coldAtOnce = 2
)

// coldStarts restarts random replicas cold at every coldInterval.
func coldStarts(s *Site, rng *rand.Rand, length time.Duration) []Fault {
	var faults []Fault
	for _, at := range faultTimes(coldInterval, length) {
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
	// lossAtOnce is the number of replicas that are lost at the same time.
	lossAtOnce = 3
)

// replicaLoss kills random replicas at every lossInterval and restarts them after
// lossDown.
func replicaLoss(s *Site, rng *rand.Rand, length time.Duration) []Fault {
	var faults []Fault
	for _, at := range faultTimes(lossInterval, length) {
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
	rolloutInterval = 4 * time.Second
	// rolloutSpread is the period over which the replicas add the new version, and
	// the following one over which they drop the old.
	rolloutSpread = 1500 * time.Millisecond
)

// versionRollouts rolls out new index versions. Each replica adds the new version
// at a random time and drops the old one at a later random time.
func versionRollouts(s *Site, rng *rand.Rand, length time.Duration) []Fault {
	var faults []Fault
	version := uint64(1)
	for _, at := range faultTimes(rolloutInterval, length) {
		old, next := version, version+1
		for i := range s.Targets {
			id := s.Targets[i].ID
			added := at + time.Duration(rng.Float64()*float64(rolloutSpread))
			dropped := at + rolloutSpread + time.Duration(rng.Float64()*float64(rolloutSpread))
			faults = append(faults, setVersions(added, id, next, old), setVersions(dropped, id, next))
		}
		version = next
	}
	return faults
}

// setVersions returns a fault that sets the index versions of a target.
func setVersions(at time.Duration, id topology.TargetID, versions ...uint64) Fault {
	return Fault{At: at, Apply: func(_ context.Context, r *Run) error {
		r.Cluster.Targets[id].SetVersions(versions...)
		return nil
	}}
}

// dataCentreTakeOut takes a data centre out, kills its targets and brings it back
// with cold targets.
func dataCentreTakeOut(s *Site, rng *rand.Rand, length time.Duration) []Fault {
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
	// leaveNotice is the time between the intent to remove targets and their drain.
	leaveNotice = 5 * time.Second
)

// departures removes some targets permanently and then shuts down a router VM.
func departures(s *Site, rng *rand.Rand, length time.Duration) []Fault {
	ids := oneReplicaOf(s, rng, leavingTargets)
	router := rng.IntN(len(s.Routers))
	return []Fault{
		{At: length / 5, Description: "targets leave", Apply: func(ctx context.Context, r *Run) error {
			for _, id := range ids {
				if err := r.removeTarget(ctx, id); err != nil {
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

// routerLosses crashes routers and restarts them.
func routerLosses(s *Site, rng *rand.Rand, length time.Duration) []Fault {
	const down = 2 * time.Second
	var faults []Fault
	for _, at := range faultTimes(length/3, length) {
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

// controlCut isolates the control leader while operators take a data centre out
// and bring it back.
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
