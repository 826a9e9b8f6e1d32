package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/workspace"
)

// Holder hands out credits during one term of its member as control's leader. It is
// pure: its user passes the time. It is not safe for concurrent use.
type Holder struct {
	rules Rules
	start Start
	// began is when the member learned that it leads.
	began Instant
	// confirmed is the start of the last round in which a majority confirmed that the
	// member still leads in its term.
	confirmed Instant
	buckets   map[workspace.Name]*bucket
	sessions  map[*Session]struct{}
	// recallsUntil is until when sessions are searched for credits that exceed a lowered
	// limit.
	recallsUntil Instant
	// expireNext is when to look for expired sessions next.
	expireNext Instant
}

// Session is the holder's account of one connection of a gateway. Credits belong to the
// session on which they were granted.
type Session struct {
	// heard is when the last report that was answered arrived.
	heard Instant
	ended bool
	// standby means that the session is another member's, which keeps credits for
	// gateways without a holder.
	standby bool
	// credits are those outstanding, and wanted those wanted in stock, by workspace.
	credits, wanted map[workspace.Name]int
}

// expired reports whether the session's credits have certainly expired at the gateway.
func (s *Session) expired(now Instant) bool { return now > s.heard+CreditLife+drift }

// NewHolder returns a holder that began to lead at now.
func NewHolder(r Rules, start Start, now Instant) *Holder {
	return &Holder{
		rules: r, start: start, began: now, confirmed: -confirmLife,
		buckets: make(map[workspace.Name]*bucket), sessions: make(map[*Session]struct{}),
	}
}

// Confirm records that a majority confirmed, in a round begun at the given time, that
// the member leads in the holder's term.
func (h *Holder) Confirm(begun Instant) { h.confirmed = max(h.confirmed, begun) }

// Holds reports whether no other member can be the holder at now.
func (h *Holder) Holds(now Instant) bool { return now < h.confirmed+confirmLife }

// accruesFrom is when tokens start to be added: the predecessor adds none any more, and
// without reserved tokens its credits have expired.
func (h *Holder) accruesFrom() Instant {
	switch h.start {
	case StartFull:
		return h.began
	case StartReserved, StartSettled:
		return h.began + confirmLife + drift
	case StartEmpty:
	}
	return h.began + leftoverLife
}

// Settled reports whether all credits of earlier holders have expired, so that the
// holder's own are all that there are.
func (h *Holder) Settled(now Instant) bool {
	return h.start == StartFull || now >= h.began+leftoverLife
}

// Restored reports whether no window contains both this holder's start and that of a
// successor, and no credits of earlier holders exist.
func (h *Holder) Restored(now Instant) bool {
	return now >= h.began+h.rules.Window+leftoverLife+time.Second
}

// capacity returns the tokens and outstanding credits that a workspace may have.
func (h *Holder) capacity(l Limit, now Instant) float64 {
	if !h.Settled(now) {
		return h.rules.startTokens(l)
	}
	return h.rules.steadyTokens(l)
}

// firstTokens returns the tokens with which a workspace starts that this holder sees
// for the first time.
func (h *Holder) firstTokens(l Limit, now Instant) float64 {
	switch {
	case h.start == StartFull, now >= h.began+leftoverLife+h.rules.Window:
		return h.rules.steadyTokens(l)
	case h.start == StartReserved:
		return h.rules.startTokens(l)
	}
	return 0
}

// SetLimits replaces the workspaces of the configuration. Gateways must return credits
// that exceed a lowered limit; they do so with their next report, or lose them.
func (h *Holder) SetLimits(limits map[workspace.Name]Limit, now Instant) {
	h.recallsUntil = now + CreditLife + drift
	for name, b := range h.buckets {
		h.accrue(b, now)
		if _, kept := limits[name]; !kept && b.removed == 0 {
			b.removed = now
		}
		if b.removed > 0 && b.outstanding == 0 && b.wanted == 0 && b.kept == 0 && now-b.removed > h.rules.Window {
			delete(h.buckets, name)
		}
	}
	for name, l := range limits {
		b := h.buckets[name]
		if b == nil {
			h.buckets[name] = &bucket{limit: l, tokens: h.firstTokens(l, now), accruedTo: max(now, h.accruesFrom())}
			continue
		}
		b.limit, b.removed = l, 0
		b.clip(h.capacity(l, now))
	}
}

// accrue adds the tokens for the time during which the member certainly led.
func (h *Holder) accrue(b *bucket, now Instant) {
	b.accrue(min(now, h.confirmed+confirmLife), h.capacity(b.limit, now))
}

// Open starts a session.
func (h *Holder) Open(now Instant) *Session {
	h.expire(now)
	s := &Session{heard: now, credits: make(map[workspace.Name]int), wanted: make(map[workspace.Name]int)}
	h.sessions[s] = struct{}{}
	return s
}

// Sessions returns the number of sessions, with those whose credits haven't expired.
func (h *Holder) Sessions() int { return len(h.sessions) }

// Close ends a session. Its credits stay outstanding until they have expired.
func (h *Holder) Close(s *Session) {
	s.ended = true
	h.wantNothing(s)
}

// wantNothing removes what a session wants from the sums of all.
func (h *Holder) wantNothing(s *Session) {
	for name, n := range s.wanted {
		if b := h.buckets[name]; b != nil {
			b.want(s.standby, -n)
		}
	}
	clear(s.wanted)
}

// expire removes the sessions whose credits have expired. Since some may have been
// spent, they aren't returned to the buckets.
func (h *Holder) expire(now Instant) {
	h.expireNext = now + expireInterval
	for s := range h.sessions {
		if !s.expired(now) {
			continue
		}
		h.Close(s)
		delete(h.sessions, s)
		for name, n := range s.credits {
			b := h.buckets[name]
			h.accrue(b, now)
			b.change(s.standby, -n)
		}
	}
}

// Report applies a report and returns the answer. It returns nil if the session has
// ended, or if the member may not lead any more; the report's numbers are then applied
// all the same.
func (h *Holder) Report(s *Session, q *pb.QuotaReport, now Instant) *pb.QuotaReply {
	if now >= h.expireNext || s.expired(now) {
		h.expire(now)
	}
	if s.ended {
		return nil
	}
	s.standby = s.standby || q.GetStandby()
	for _, u := range q.GetUses() {
		h.settle(s, u, now)
	}
	if !h.Holds(now) {
		return nil
	}
	s.heard = now
	reply := &pb.QuotaReply{Seq: q.GetSeq(), Holds: true}
	for _, u := range q.GetUses() {
		if g := h.answer(s, u, now); g != nil {
			reply.Grants = append(reply.Grants, g)
		}
	}
	return h.recall(s, reply, now)
}

// settle applies the numbers of spent and returned credits.
func (h *Holder) settle(s *Session, u *pb.QuotaUse, now Instant) {
	name := workspace.Name(u.GetWorkspace())
	b := h.buckets[name]
	if b == nil {
		return
	}
	h.accrue(b, now)
	held := s.credits[name]
	spent := min(int(u.GetSpent()), held)
	returned := min(int(u.GetReturned()), held-spent)
	s.credits[name] = held - spent - returned
	if s.credits[name] == 0 {
		delete(s.credits, name)
	}
	b.change(s.standby, -spent-returned)
	b.tokens += float64(returned)
	b.clip(h.capacity(b.limit, now))
}

// answer grants credits for the requests that wait, then for the gateway's stock.
func (h *Holder) answer(s *Session, u *pb.QuotaUse, now Instant) *pb.QuotaGrant {
	name := workspace.Name(u.GetWorkspace())
	b := h.buckets[name]
	if b == nil || b.removed > 0 {
		if u.GetWaiting() == 0 {
			return nil
		}
		return &pb.QuotaGrant{Workspace: u.GetWorkspace(), RetryAfterMs: uint32(minRetryAfter.Milliseconds())}
	}
	// Credits that were granted before and have not arrived yet count, too.
	urgent := int(u.GetWaiting()) - s.credits[name]
	granted := b.grant(urgent, 0)
	g := &pb.QuotaGrant{Workspace: u.GetWorkspace()}
	if short := urgent - granted; short > 0 {
		g.RetryAfterMs = uint32(b.retryAfter(short, now) / time.Millisecond) //nolint:gosec // Bounded by maxRetryAfter.
	}
	granted += h.stock(b, s, u, granted, now)
	g.Credits = uint32(granted) //nolint:gosec // At most the sum of two uint32 values that a gateway asked for.
	if granted == 0 && g.GetRetryAfterMs() == 0 {
		return nil
	}
	s.credits[name] += granted
	b.change(s.standby, granted)
	return g
}

// stock grants credits for a gateway's stock, on top of those just granted. If the
// gateways together want more than there may be, each gets its part, but at least one.
func (h *Holder) stock(b *bucket, s *Session, u *pb.QuotaUse, granted int, now Instant) int {
	name, wanted := workspace.Name(u.GetWorkspace()), int(u.GetWanted())
	b.want(s.standby, wanted-s.wanted[name])
	s.wanted[name] = wanted
	if wanted == 0 {
		delete(s.wanted, name)
	}
	capacity := h.capacity(b.limit, now)
	reserve := b.reserve(s.standby, capacity)
	if !h.Settled(now) {
		return 0
	}
	all := capacity - reserve - float64(b.stored)
	if !s.standby && b.limited() && float64(b.wanted) > all {
		wanted = min(wanted, max(1, int(float64(wanted)*all/float64(b.wanted))))
	}
	return b.grant(wanted-s.credits[name]-granted, reserve)
}

// recall asks for the session's part of the credits that exceed a capacity, as after a
// limit was lowered.
func (h *Holder) recall(s *Session, reply *pb.QuotaReply, now Instant) *pb.QuotaReply {
	if now > h.recallsUntil {
		return reply
	}
	for _, name := range slices.Sorted(maps.Keys(s.credits)) {
		b := h.buckets[name]
		allowed := h.capacity(b.limit, now)
		if b.removed == 0 && (!b.limited() || float64(b.outstanding) <= allowed) {
			continue
		}
		held := s.credits[name]
		keep := 0
		if b.removed == 0 {
			keep = int(float64(held) * allowed / float64(b.outstanding))
		}
		excess := uint32(held - keep) //nolint:gosec // Positive: keep is less than held.
		reply.Grants = append(reply.Grants, &pb.QuotaGrant{Workspace: string(name), Excess: excess})
	}
	return reply
}
