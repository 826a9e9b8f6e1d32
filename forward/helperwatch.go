package forward

import (
	"context"
	"time"
)

// last reports whether the shards can't go elsewhere if the current helper may have sent
// them.
func (h *handOver) last() bool {
	return h.repeat || h.committed || h.attempts <= attemptsAtOnce
}

// dueAt returns when the hand-over is looked at next, zero if there is no such time: a
// helper must have accepted the shards soon, may proceed then, and must have sent
// parts, or that it has none, by the objective. The last helper has until then to accept
// them, since without it the shards are lost.
func (h *handOver) dueAt(accept time.Duration, objective time.Time) time.Time {
	switch {
	case !h.open || h.reported && !h.mayCommit():
		return time.Time{}
	case !h.recheckAt.IsZero():
		return h.recheckAt
	case h.accepted && h.mayCommit(), !h.accepted && !h.last():
		return h.sentAt.Add(accept)
	default:
		return laterOf(objective.Add(silenceMargin), h.sentAt.Add(accept))
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// mayCommit reports whether the helper may still be allowed to use all attempts.
func (h *handOver) mayCommit() bool { return !h.committed && !h.repeat }

// checkHelpers lets the helpers that are due proceed, and replaces those that didn't
// answer in time.
func (g *gathering) checkHelpers(ctx context.Context, now time.Time) {
	accept := g.server.acceptTime(g.req.route)
	for _, h := range g.handOvers {
		if due := h.dueAt(accept, g.objective); !due.IsZero() && !due.After(now) {
			g.checkHelper(ctx, h, now)
		}
	}
}

// checkHelper lets a helper that is due proceed, or replaces it if it is still silent at
// the second check.
func (g *gathering) checkHelper(ctx context.Context, h *handOver, now time.Time) {
	switch {
	case h.accepted && h.mayCommit():
		h.commit()
	case h.recheckAt.IsZero():
		h.recheckAt = now.Add(recheckDelay)
	default:
		g.replace(ctx, h, false, &HelperSilentError{})
	}
}

// scheduleCheck sets the timer to the time at which the next helper is due.
func (g *gathering) scheduleCheck(timer *time.Timer) {
	accept := g.server.acceptTime(g.req.route)
	var next time.Time
	for _, h := range g.handOvers {
		if due := h.dueAt(accept, g.objective); !due.IsZero() && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	if !next.IsZero() {
		timer.Reset(time.Until(next))
	}
}
