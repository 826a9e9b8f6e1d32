package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/peridotmux/peridotmux/standin"
	"github.com/peridotmux/peridotmux/target"
)

const (
	misleadInterval = 3 * time.Second
	// misleadTargets is the number of targets whose override changes at each
	// misleadInterval; earlier overrides stay.
	misleadTargets = 8
)

// misleadingHealth makes some replicas report false health, while other replicas
// are slow and others restart cold.
func misleadingHealth(s *Site, rng *rand.Rand, length time.Duration) []Fault {
	var faults []Fault
	for _, at := range faultTimes(misleadInterval, length) {
		ids := oneReplicaOf(s, rng, misleadTargets)
		override := []standin.HealthOverride{reportIdle, reportBusy, reportDraining}[rng.IntN(3)]
		faults = append(faults, Fault{At: at, Description: "health pages report false health", Apply: func(_ context.Context, r *Run) error {
			for _, id := range ids {
				r.Cluster.Targets[id].SetHealthOverride(override)
			}
			return nil
		}})
	}
	faults = append(faults, stragglers(s, rng, length)...)
	return append(faults, coldStarts(s, rng, length)...)
}

// reportIdle reports a warm target without load.
func reportIdle(h target.Health) target.Health {
	h.Cold, h.InFlight = false, 0
	return h
}

// reportBusy reports a cold target under high load.
func reportBusy(h target.Health) target.Health {
	h.Cold, h.InFlight = true, 100
	return h
}

// reportDraining reports a target that is draining.
func reportDraining(h target.Health) target.Health {
	h.Draining = true
	return h
}
