package router

import (
	"maps"
	"slices"

	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/telemetry"
	"github.com/peridotmux/peridotmux/topology"
)

// loadSmoothing is the weight of the newest sample in the exponential moving
// average. One sample is taken at each renewal, so the average spans about 5 s.
const loadSmoothing = 0.1

// loadMeter averages the load of the targets that this router owns. It is not
// safe for concurrent use.
type loadMeter struct {
	// busy is the moving average of busy slots and queued work by group.
	busy map[topology.GroupName]float64
}

// report adds a sample and returns the average load by group, in the order of
// group names, and the cold targets. Queued work counts as load. Without a
// deployment it returns nil.
func (m *loadMeter) report(load telemetry.OwnerLoad, x *topology.Index) (loads []*pb.GroupLoad, cold []string) {
	if x == nil {
		return nil, nil
	}
	busy := make(map[topology.GroupName]float64)
	open := make(map[topology.GroupName]float64)
	for _, t := range load.Targets {
		known := x.Target(t.Target)
		if known == nil {
			continue
		}
		busy[known.Group] += float64(t.InFlight)
		open[known.Group] += float64(x.Group(known.Group).Slots)
		if t.Cold {
			cold = append(cold, string(t.Target))
		}
	}
	for _, q := range load.Queues {
		if g := x.GroupOf(q.Shard); g != nil {
			busy[g.Name] += float64(q.Queued)
		}
	}
	m.smooth(busy)
	for _, name := range slices.Sorted(maps.Keys(open)) {
		loads = append(loads, &pb.GroupLoad{Group: string(name), Busy: m.busy[name], Open: open[name]})
	}
	return loads, cold
}

// smooth updates the moving averages with a sample. Groups that are missing from
// the sample are removed.
func (m *loadMeter) smooth(sample map[topology.GroupName]float64) {
	next := make(map[topology.GroupName]float64, len(sample))
	for name, busy := range sample {
		mean, ok := m.busy[name]
		if !ok {
			mean = busy
		}
		next[name] = mean + loadSmoothing*(busy-mean)
	}
	m.busy = next
}
