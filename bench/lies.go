package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/peridotmux/peridotmux/standin"
	"github.com/peridotmux/peridotmux/target"
)

const (
	lieInterval = 3 * time.Second
	liars       = 8
)

// lies lets health pages say the opposite of the truth, while some replicas
// straggle and some restart cold.
func lies(s *Site, rng *rand.Rand, length time.Duration) []Fault {
	var faults []Fault
	for _, at := range every(lieInterval, length) {
		ids := oneReplicaOf(s, rng, liars)
		lie := []standin.HealthOverride{sayIdle, sayBusy, sayDraining}[rng.IntN(3)]
		faults = append(faults, Fault{At: at, Description: "health pages lie", Apply: func(_ context.Context, r *Run) error {
			for _, id := range ids {
				r.Cluster.Targets[id].SetHealthOverride(lie)
			}
			return nil
		}})
	}
	faults = append(faults, stragglers(s, rng, length)...)
	return append(faults, coldStarts(s, rng, length)...)
}

func sayIdle(h target.Health) target.Health {
	h.Cold, h.InFlight = false, 0
	return h
}

func sayBusy(h target.Health) target.Health {
	h.Cold, h.InFlight = true, 100
	return h
}

func sayDraining(h target.Health) target.Health {
	h.Draining = true
	return h
}
