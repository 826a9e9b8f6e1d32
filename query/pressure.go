package query

import (
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

// pressureRank is the share of a query's shards whose pressure may be higher
// than what counts: a few shards in trouble don't make an overload.
const pressureRank = 0.3

// notePressure remembers what a reply tells of the wait at an owner, as a share
// of the query's time.
func (g *Gather) notePressure(r Result) {
	if r.Reply == nil {
		return
	}
	switch r.Reply.GetReason() {
	case pb.SubReason_SUB_REASON_QUEUE_FULL, pb.SubReason_SUB_REASON_DEADLINE:
		g.waits = append(g.waits, 1)
		return
	default:
	}
	slots := float64(r.Reply.GetSlots())
	if slots == 0 {
		return
	}
	g.service = smooth(g.service, float64(r.Reply.GetServiceUs())*float64(time.Microsecond))
	wait := float64(r.Reply.GetQueued()) / slots * g.service
	g.waits = append(g.waits, wait/float64(g.opts.Deadline.Sub(g.opts.Start)))
}

// serviceShare weighs a new sample in a query's average service time.
const serviceShare = 0.2

func smooth(average, sample float64) float64 {
	if average == 0 || sample == 0 {
		return max(average, sample)
	}
	return average + serviceShare*(sample-average)
}

// Pressure returns how long the owners' queues are for the query, as a share
// of its time.
func (g *Gather) Pressure() float64 {
	if len(g.waits) == 0 {
		return 0
	}
	slices.Sort(g.waits)
	above := int(pressureRank * float64(len(g.waits)))
	return g.waits[len(g.waits)-1-above]
}
