package forward

import (
	"context"
	"slices"

	"github.com/peridotmux/peridotmux/admission"
)

// minTogether is the number of shards of a gathered request from which on, while no target
// has answered, none is hedged or retried after a loss: the request itself may be slow, or
// crash targets.
const minTogether = 3

// caution keeps a gathered request under which targets were lost from taking down more of
// them while no target has answered it.
type caution struct {
	// waiting are the shards whose targets were lost, to be retried once a part has come.
	waiting []int
	// rest starts the shards of a suspect that wait for its canary. It is nil if all were
	// started. unstarted are these shards.
	rest      func(context.Context)
	unstarted []int
}

// canaryFirst returns some shards in an order that differs for each request id, so that the
// canaries of one request run at different shards.
func canaryFirst(shards []int, id string) []int {
	first := int(admission.Position(id) * float64(len(shards)))
	return slices.Concat(shards[first:], shards[:first])
}

// startCanary starts the first one of a suspect's shards, and calls rest for the others
// once it has been answered. repeat means that another router may have asked it.
func (g *gathering) startCanary(ctx context.Context, shards []int, repeat bool, rest func(context.Context)) {
	g.caution = caution{rest: rest, unstarted: shards[1:]}
	g.startShards(ctx, shards[:1], 1, repeat)
	g.calls[shards[0]].canary = true
	g.endWaiting()
}

// handleLoss decides what follows the loss of a shard's target before any part has come.
// retry means that the shard may be retried otherwise.
func (g *gathering) handleLoss(ctx context.Context, shard int, retry bool) {
	g.lost = true
	c := g.calls[shard]
	held := g.holdsBack(c)
	switch {
	case !retry && !held:
	case len(g.signatures) >= minTogether:
		c.afterLoss = true
		g.caution.waiting = append(g.caution.waiting, shard)
	case held:
		c.heldBack = true
	default:
		c.start(ctx, shard, g.results, g.retryUrgency(), false)
	}
	g.endWaiting()
}

// endWaiting gives up the shards that wait for a part if none can come any more.
func (g *gathering) endWaiting() {
	x := &g.caution
	if g.received > 0 || len(x.waiting) == 0 && x.rest == nil || g.partMayCome() {
		return
	}
	for _, shard := range x.waiting {
		g.calls[shard].afterLoss = false
	}
	*x = caution{}
}

// updateCaution applies what another router sent, or that it was lost. before is the number
// of parts received before.
func (g *gathering) updateCaution(ctx context.Context, before int) {
	if before == 0 && g.received > 0 {
		g.endCaution(ctx)
	}
	g.endWaiting()
}

// partMayCome reports whether a shard that doesn't wait for another one may be answered.
func (g *gathering) partMayCome() bool {
	for i := range g.signatures {
		if g.shardInFlight(i) && !g.waitsForPart(i) {
			return true
		}
	}
	return false
}

// waitsForPart reports whether a shard waits until another one has been answered.
func (g *gathering) waitsForPart(shard int) bool {
	return slices.Contains(g.caution.unstarted, shard) || slices.Contains(g.caution.waiting, shard)
}

// endCaution goes on with all shards, since a target has answered.
func (g *gathering) endCaution(ctx context.Context) {
	x := g.caution
	g.caution = caution{}
	for _, shard := range x.waiting {
		c := g.calls[shard]
		c.afterLoss = false
		if c.heldBack = g.holdsBack(c); !c.heldBack {
			c.start(ctx, shard, g.results, g.retryUrgency(), false)
		}
	}
	if x.rest != nil {
		x.rest(ctx)
	}
}

// mayHedge reports whether late shards may be hedged.
func (g *gathering) mayHedge() bool {
	return g.received > 0 || len(g.signatures) < minTogether && !g.lost && !g.req.canary
}
