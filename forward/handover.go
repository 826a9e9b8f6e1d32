package forward

import (
	"context"
	"time"

	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

const (
	// acceptShare is the fraction of the objective within which a helper must accept
	// shards that were handed to it, between minAcceptTime and maxAcceptTime.
	acceptShare   = 0.3
	minAcceptTime = 15 * time.Millisecond
	maxAcceptTime = 30 * time.Millisecond
	// replyMargin is the time before the entry's own objective at which helpers send
	// the parts received so far.
	replyMargin = 5 * time.Millisecond
	// silenceMargin is how long after the objective a helper that accepted shards, or is
	// the last one to be asked, may have sent nothing before it counts as lost.
	silenceMargin = 25 * time.Millisecond
	// recheckDelay is the time between two checks of which both must find a helper silent.
	// An entry that stood still itself reads in between what the helpers have sent.
	recheckDelay = 2 * time.Millisecond
)

// handOver is the shards of one cell that this router hands to a helper. Its fields
// belong to the goroutine that handles the request.
type handOver struct {
	// shards are indexes in the gathering's shards: those that the current helper was
	// asked for.
	shards []int
	// untried are the helpers that weren't asked yet.
	untried []helper
	// try numbers the helpers asked, from 1. asked is the current one.
	try    int
	asked  helper
	sentAt time.Time
	// open means that parts may still come.
	open bool
	// accepted means that the helper accepted the shards, and reported that it also
	// sent parts or said that it has none yet.
	accepted, reported bool
	// recheckAt is when a helper found silent once is looked at again, zero if it wasn't.
	recheckAt time.Time
	// repeat means that an earlier helper may have sent the shards.
	repeat bool
	// committed means that this router told the helper that it may use all attempts,
	// and so can't hand the shards to another one.
	committed bool
	// attempts is the number of targets of a shard that may still run the request.
	attempts int
	// runs is the number of attempts that the helper reported as possibly run.
	runs int
	// proceed lets the helper use all attempts when it is closed, and stop withdraws
	// the shards from it.
	proceed chan struct{}
	stop    context.CancelFunc
}

// helperReply is what a helper sent, or how asking it failed.
type helperReply struct {
	from *handOver
	// try is the number of the helper asked.
	try int
	// message is nil if the connection failed. notSent then means that nothing had
	// been sent.
	message *pb.PartsReply
	notSent bool
	cause   error
}

// acceptTime returns how long a helper may take to accept shards.
func acceptTime(r *route.Route) time.Duration {
	share := time.Duration(acceptShare * float64(r.Objective))
	return min(max(share, minAcceptTime), maxAcceptTime)
}

// handOverStep is what follows if a helper doesn't answer.
type handOverStep uint8

const (
	// stepGiveUp leaves the shards out.
	stepGiveUp handOverStep = iota
	// stepNext hands the shards to the next helper.
	stepNext
	// stepSelf sends the sub-requests from this router.
	stepSelf
)

// attemptsAtOnce is the number of targets of a shard to which a helper may send a
// request before the entry commits itself to that helper.
const attemptsAtOnce = 1

// next decides what follows after the current helper failed. If nothing was sent to
// it, the shards go elsewhere as if it hadn't been asked. Otherwise it may have sent
// them: they go elsewhere once, with its attempt taken off, and only if it wasn't
// allowed to use further ones, so that no request runs at more targets than its route
// allows, however late the helper learns that the shards were withdrawn.
func (h *handOver) next(notSent bool) handOverStep {
	if !notSent {
		if h.last() {
			return stepGiveUp
		}
		h.repeat = true
		h.attempts -= attemptsAtOnce
	}
	if len(h.untried) == 0 {
		return stepSelf
	}
	return stepNext
}

// commit lets the helper use all attempts.
func (h *handOver) commit() {
	h.committed = true
	close(h.proceed)
}

// handOverAll hands the shards of each cell to a helper of it. It returns the shards
// that this router asks itself.
func (g *gathering) handOverAll(ctx context.Context, plan *cellPlan) []int {
	var own []int
	capacity := 0
	for i := range plan.cells {
		c := &plan.cells[i]
		if c.own || len(c.helpers) == 0 {
			own = append(own, c.shards...)
			continue
		}
		shards := g.without(c.shards)
		if len(shards) == 0 {
			continue
		}
		h := &handOver{
			shards: shards, attempts: g.req.route.Attempts, open: true,
			untried: g.server.helpers.order(c.helpers, c.equal, time.Now()),
		}
		for _, shard := range shards {
			g.handedOver[shard] = h
		}
		g.handOvers = append(g.handOvers, h)
		capacity += (len(c.helpers) + 1) * (len(shards) + 4)
	}
	g.replies = make(chan helperReply, capacity)
	for _, h := range g.handOvers {
		g.askNext(ctx, h)
	}
	return own
}

// askNext hands shards to the next helper.
func (g *gathering) askNext(ctx context.Context, h *handOver) {
	h.asked, h.untried = h.untried[0], h.untried[1:]
	h.try++
	h.sentAt, h.recheckAt, h.accepted, h.reported = time.Now(), time.Time{}, false, false
	h.proceed = make(chan struct{})
	ask := &helperCall{
		helpers: g.server.helpers, helper: h.asked, message: g.partsRequest(h),
		from: h, try: h.try, proceed: h.proceed, replies: g.replies,
	}
	g.req.trace.add(decision{msg: msgHandedOver, at: h.sentAt, target: string(h.asked.vm), shards: len(h.shards), repeat: h.repeat})
	askCtx, stop := context.WithCancel(ctx)
	h.stop = stop
	g.server.workers.run(func() { ask.run(askCtx) })
}

// partsRequest returns the message that hands shards over.
func (g *gathering) partsRequest(h *handOver) *pb.PartsRequest {
	req := g.req
	q := &pb.PartsRequest{
		Entry: string(g.server.cfg.VM), RequestId: req.id, Method: req.method, Uri: req.uri, Host: req.host,
		Headers: packHeaders(req, &g.server.cfg.Headers), Body: req.body, HasBody: req.hasBody, Workspace: req.workspaceName(),
		Route: string(req.route.Name), TableVersion: req.table.Version,
		Top: uint32(req.route.Gather.TopK), MinCoverage: req.route.Gather.MinCoverage, Attempts: uint32(h.attempts), //nolint:gosec // Small.
		ObjectiveUs: microseconds(req.route.Objective), TimeLeftUs: microseconds(time.Until(req.deadline)),
		AnswerWithinUs: microseconds(time.Until(g.objective) - replyMargin), AttemptsAtOnce: attemptsAtOnce,
		Repeat: h.repeat,
	}
	for _, shard := range h.shards {
		q.Shards = append(q.Shards, string(req.route.Gather.Shards[shard]))
	}
	return q
}

func microseconds(d time.Duration) uint64 { return uint64(max(d.Microseconds(), 0)) } //nolint:gosec // Not negative.

// handleReply applies what a helper sent.
func (g *gathering) handleReply(ctx context.Context, r *helperReply) {
	h := r.from
	if !h.open || r.try != h.try {
		return
	}
	defer g.updateCaution(ctx, g.received)
	if r.message == nil {
		g.replace(ctx, h, r.notSent, r.cause)
		return
	}
	h.recheckAt = time.Time{}
	switch r.message.GetStatus() {
	case pb.PartsStatus_PARTS_STATUS_ACCEPTED:
		h.accepted = true
		if h.mayCommit() && time.Since(h.sentAt) > g.server.acceptTime(g.req.route) {
			h.commit()
		}
	case pb.PartsStatus_PARTS_STATUS_REFUSED:
		g.replace(ctx, h, true, &HelperRefusedError{Reason: r.message.GetReason()})
	case pb.PartsStatus_PARTS_STATUS_MORE:
		h.accepted, h.reported = true, true
		if !g.takeParts(h, r.message) {
			g.replace(ctx, h, false, &HelperRefusedError{Reason: reasonBadParts})
		}
	case pb.PartsStatus_PARTS_STATUS_DONE:
		if !g.takeParts(h, r.message) {
			g.replace(ctx, h, false, &HelperRefusedError{Reason: reasonBadParts})
			return
		}
		h.open = false
		g.req.trace.add(decision{
			msg: msgPartsReceived, at: time.Now(), target: string(h.asked.vm), shards: len(h.shards), took: time.Since(h.sentAt),
			missing: r.message.GetMissing(),
		})
	default:
		g.replace(ctx, h, false, &HelperRefusedError{Reason: "unknown status"})
	}
}

// HelperRefusedError means that another router didn't take shards, or broke the
// protocol.
type HelperRefusedError struct{ Reason string }

// Error describes the failure.
func (e *HelperRefusedError) Error() string { return "shards not taken: " + e.Reason }

// HelperSilentError means that another router didn't answer in time.
type HelperSilentError struct{}

// Error describes the failure.
func (*HelperSilentError) Error() string { return "no answer in time" }

// reasonBadParts is why a helper's message isn't taken.
const reasonBadParts = "parts that it wasn't asked for, or sent before"

// takeParts keeps the parts in a message of a helper. It returns false and keeps none if
// one of them is there already or wasn't asked for: a message holds the greatest records
// of all its parts together, so that one can't be left out.
func (g *gathering) takeParts(h *handOver, m *pb.PartsReply) bool {
	if !g.acceptable(h, m) {
		return false
	}
	h.runs = int(m.GetRuns())
	for i, index := range m.GetShards() {
		g.addPart(h.shards[index], m.GetSignatures()[i])
	}
	if len(m.GetShards()) > 0 {
		g.bodies = append(g.bodies, m.GetRecords())
		g.req.bodies.Add(g.server.responseMemory, int64(len(m.GetRecords())))
	}
	return true
}

// acceptable reports whether all parts in a message of a helper were asked for and are
// still missing.
func (g *gathering) acceptable(h *handOver, m *pb.PartsReply) bool {
	seen := make(map[uint32]bool, len(m.GetShards()))
	for i, index := range m.GetShards() {
		if int(index) >= len(h.shards) || i >= len(m.GetSignatures()) || !isListable(m.GetSignatures()[i]) {
			return false
		}
		if seen[index] || g.signatures[h.shards[index]] != "" {
			return false
		}
		seen[index] = true
	}
	return true
}

// missingOf returns those of some shards whose part is missing.
func (g *gathering) missingOf(shards []int) []int {
	var out []int
	for _, shard := range shards {
		if g.signatures[shard] == "" {
			out = append(out, shard)
		}
	}
	return out
}

// replace hands the shards whose part is missing elsewhere after the current helper
// failed, or gives them up.
func (g *gathering) replace(ctx context.Context, h *handOver, notSent bool, cause error) {
	h.stop()
	h.shards = g.missingOf(h.shards)
	waited := time.Since(h.sentAt)
	g.server.helpers.recordFailure(h.asked, h.sentAt, cause, time.Now())
	step := h.next(notSent)
	g.req.trace.add(decision{
		msg: msgHelperFailed, at: time.Now(), target: string(h.asked.vm), shards: len(h.shards), took: waited, cause: cause, step: step,
	})
	g.server.cfg.Metrics.HandOverFailed(step.String())
	if !notSent {
		g.runs++
	}
	if len(h.shards) == 0 {
		step = stepGiveUp
	}
	switch step {
	case stepNext:
		g.askNext(ctx, h)
	case stepSelf:
		h.open = false
		g.startShards(ctx, h.shards, h.attempts, h.repeat)
	case stepGiveUp:
		h.open = false
	}
}

// String returns the step's name in logs and metrics.
func (s handOverStep) String() string {
	switch s {
	case stepNext:
		return "next helper"
	case stepSelf:
		return "itself"
	default:
		return "given up"
	}
}

// stopHelpers withdraws what the helpers haven't answered.
func (g *gathering) stopHelpers() {
	for _, h := range g.handOvers {
		g.runs += h.runs
		if h.open {
			g.runs++
		}
		h.stop()
	}
}
