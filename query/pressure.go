package query

import (
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

// ignoredShare is the share of a query's replies, those with the highest
// pressure, that is ignored: a few shards in trouble aren't an overload.
const ignoredShare = 0.3

// recordPressure records the expected wait in the owner's queue, derived from a
// reply, as a share of the time from the query's start to its deadline.
func (g *Gather) recordPressure(r Result) {
	if r.Reply == nil {
		return
	}
	switch r.Reply.GetReason() {
	case pb.SubReason_SUB_REASON_QUEUE_FULL, pb.SubReason_SUB_REASON_DEADLINE:
		g.pressures = append(g.pressures, 1)
		return
	default:
	}
	slots := float64(r.Reply.GetSlots())
	if slots == 0 {
		return
	}
	g.avgService = movingAverage(g.avgService, float64(r.Reply.GetServiceUs())*float64(time.Microsecond))
	wait := float64(r.Reply.GetQueued()) / slots * g.avgService
	g.pressures = append(g.pressures, wait/float64(g.opts.Deadline.Sub(g.opts.Start)))
}

// serviceWeight is the weight of a new sample in the moving average of the
// service time.
const serviceWeight = 0.2

// movingAverage returns the exponentially weighted moving average after a new
// sample. Zero means that there is no average or no sample.
func movingAverage(average, sample float64) float64 {
	if average == 0 || sample == 0 {
		return max(average, sample)
	}
	return average + serviceWeight*(sample-average)
}

// Pressure returns the wait in the owners' queues as a share of the query's
// time, ignoring the highest values. It is 0 if no reply has arrived.
func (g *Gather) Pressure() float64 {
	if len(g.pressures) == 0 {
		return 0
	}
	slices.Sort(g.pressures)
	above := int(ignoredShare * float64(len(g.pressures)))
	return g.pressures[len(g.pressures)-1-above]
}
