package query

import (
	"slices"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

// pressureRank is the share of a query's shards whose pressure may be higher
// than what counts: a few shards in trouble don't make an overload.
const pressureRank = 0.1

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
	wait := float64(r.Reply.GetQueued()) / slots * float64(g.opts.Quantiles.P50)
	g.waits = append(g.waits, wait/float64(g.opts.Deadline.Sub(g.opts.Start)))
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
