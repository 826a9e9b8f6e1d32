package owner

import (
	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/telemetry"
)

// Load returns the load of all active targets and the length of each shard's
// queue.
func (o *Owner) Load() telemetry.OwnerLoad {
	load := telemetry.OwnerLoad{}
	for _, s := range *o.shards.Load() {
		s.addLoad(&load)
	}
	return load
}

func (s *shard) addLoad(load *telemetry.OwnerLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.replicas {
		if r.state != stateActive {
			continue
		}
		load.Targets = append(load.Targets, telemetry.TargetLoad{
			Target:   r.id(),
			InFlight: len(r.inFlight),
			Limit:    r.ramp.Limit(),
			Cold:     r.ramp.Limit() < s.group.Slots,
		})
	}
	load.Queues = append(load.Queues, telemetry.ShardQueue{Shard: s.id, Queued: s.queue.length})
}

// outcomeLabel returns the metric label of an outcome.
func outcomeLabel(out target.Outcome) string {
	switch out.Status {
	case target.OK:
		return "ok"
	case target.NotStarted:
		return "not started"
	default:
		return "unknown"
	}
}
