package quota

import "time"

// Start says what a new holder may hand out at once.
type Start int

// The ways to start.
const (
	// StartEmpty is the start of a holder that knows nothing about earlier ones. It has
	// no tokens until all their credits have expired.
	StartEmpty Start = iota
	// StartReserved is the start of a holder that knows that its predecessor led for
	// long enough, or was restored. It has the tokens kept for this.
	StartReserved
	// StartSettled is the start of a holder that knows only that its predecessor was
	// settled: all credits of earlier ones had expired. It has no tokens, and adds them
	// as soon as its predecessor can't any more.
	StartSettled
	// StartFull is the start of the first holder of all. It has all tokens.
	StartFull
)

// String returns the name for logs.
func (s Start) String() string { return [...]string{"empty", "reserved", "settled", "full"}[s] }

// Observer follows the terms of control's leaders at one member while other members
// lead.
type Observer struct {
	term uint64
	// since and last are when a leader of the term was known first and last.
	since, last Instant
}

// Observe records that a leader of a term is known at now. It is called again and again
// during a term.
func (o *Observer) Observe(term uint64, now Instant) {
	if term > o.term {
		o.term, o.since = term, now
	}
	o.last = now
}

// Start returns how this member starts as the leader of a term, if Observe wasn't
// called for the term yet. Its predecessor may have used the reserved tokens when it
// started. They are available again if that was so long before this member was elected
// that no window contains both starts and no earlier credits exist. The member may learn
// late that it was elected, but was not while it knew its predecessor.
func (o *Observer) Start(term uint64, r Rules) Start {
	known := o.term > 0 && term == o.term+1
	if known && o.last-o.since >= r.Window+leftoverLife+time.Second {
		return StartReserved
	}
	return StartEmpty
}

// History is what holders left in control's replicated log.
type History struct {
	// Granted means that a holder may have granted credits.
	Granted bool
	// Settled means that the last holder that may have was settled, and Restored that it
	// was restored: its own start was so long ago that the next start may use the
	// reserved tokens.
	Settled, Restored bool
}

// Start returns how a holder starts that finds this history in the confirmed log, if its
// member observed the start that is given.
func (h History) Start(observed Start) Start {
	switch {
	case !h.Granted:
		return StartFull
	case h.Restored:
		return StartReserved
	case observed == StartEmpty && h.Settled:
		return StartSettled
	}
	return observed
}

// Mark is what a holder records of itself in control's replicated log. Each one includes
// those before it.
type Mark int

// The marks of a holder.
const (
	markNone Mark = iota
	// MarkGranting replaces the marks of earlier holders, before the first credit is
	// granted.
	MarkGranting
	// MarkSettled and MarkRestored set History.Settled and History.Restored.
	MarkSettled
	MarkRestored
)

// mark returns the last mark that the holder may record.
func (h *Holder) mark(now Instant) Mark {
	switch {
	case h.Restored(now):
		return MarkRestored
	case h.Settled(now):
		return MarkSettled
	}
	return MarkGranting
}
