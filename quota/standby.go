package quota

import (
	"math"
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/workspace"
)

const (
	// lendLife is how long a borrowed credit may be spent after the gateway asked for it.
	// It exceeds maxWait, so that each request that still waits may use its credit.
	lendLife = 200 * time.Millisecond
	// lateMargin is by how much a holder's answer exceeds the usual round trip when it is
	// late, and roundTripDecay the number of answers over which a long one is forgotten.
	lateMargin     = 3 * time.Millisecond
	roundTripDecay = 32
	// lendTimeout is how long a gateway waits for a standby's answer.
	lendTimeout = 40 * time.Millisecond
	// keepShare is the part of the requests expected of its own for which a gateway without
	// a holder keeps credits. The rest goes to a standby, of which all gateways may borrow.
	keepShare = 0.5
	// dryTime is how long standbys that had no credits are not asked again.
	dryTime = 100 * time.Millisecond
	// standbyShare is the part of a holder's budget that the standbys keep together. It
	// serves the requests between the loss of a holder and the gateways' deposits.
	standbyShare = 0.1
)

// standbyTarget returns the number of credits that each of several standbys keeps for a
// workspace.
func (r Rules) standbyTarget(l Limit, standbys int) int {
	if l.RatePerSecond <= 0 {
		return 0
	}
	return int(math.Ceil(standbyShare * r.steadyTokens(l) / float64(max(1, standbys))))
}

// standbyStock is what a standby keeps of one workspace, empty at a gateway.
type standbyStock struct {
	// target is the number of credits that the standby wants to keep.
	target int
	// deposits are credits of gateways that lost the holder.
	deposits []lot
	// lent are credits of the current session that may not have been spent yet.
	lent []lot
}

// lot is a number of credits that may be spent until a given time.
type lot struct {
	n     int
	until Instant
}

// unused reports whether there is nothing to remember.
func (s *standbyStock) unused(now Instant) bool {
	s.deposits = slices.DeleteFunc(s.deposits, func(l lot) bool { return now >= l.until })
	return len(s.deposits) == 0 && len(s.lent) == 0
}

// countLent counts lent credits as spent once they can't be spent any more. Before that,
// the holder must count them as outstanding.
func (w *holding) countLent(now Instant) {
	for len(w.lent) > 0 && now > w.lent[0].until {
		w.spent += w.lent[0].n
		w.lent = w.lent[1:]
	}
}

// refused returns a request that waits no more, since the holder had no credit.
func refused(short Instant) *Waiter {
	x := &Waiter{Done: make(chan struct{}), Short: short}
	close(x.Done)
	return x
}

// Dry reports whether the standbys had no credits a moment ago.
func (a *Account) Dry(name workspace.Name, now Instant) bool { return now < a.holding(name).dryUntil }

// SetDry records that the standbys have no credits, and are not asked again until a time.
func (a *Account) SetDry(name workspace.Name, until Instant) { a.holding(name).dryUntil = until }

// SetTargets sets the number of credits of each workspace to hold, whatever the demand.
func (a *Account) SetTargets(targets map[workspace.Name]int) {
	for name, w := range a.accounts {
		w.target = targets[name]
	}
	for name, n := range targets {
		if n > 0 {
			a.holding(name).target = n
		}
	}
}

// Lend takes up to n credits that can be spent for lendLife from now on, and returns
// their number.
func (a *Account) Lend(name workspace.Name, n int, now Instant) int {
	w := a.accounts[name]
	if w == nil || n <= 0 {
		return 0
	}
	until, taken := now+lendLife, 0
	for i := range w.deposits {
		if d := &w.deposits[i]; until < d.until {
			part := min(n-taken, d.n)
			d.n, taken = d.n-part, taken+part
		}
	}
	leftover, held := a.usable(w, until)
	leftover = min(n-taken, leftover)
	held = min(n-taken-leftover, held)
	w.leftover -= leftover
	w.held -= held
	if held > 0 {
		w.lent = append(w.lent, lot{held, until + drift})
	}
	return taken + leftover + held
}

// Deposit adds credits that a gateway gave to this standby. Another holder counts them as
// outstanding until they expire.
func (a *Account) Deposit(name workspace.Name, n int, until Instant) {
	w := a.holding(name)
	w.deposits = append(w.deposits, lot{n, until})
}

// Surplus takes the credits of earlier sessions that the gateway hardly needs itself, and
// returns when they expire. Others may need them, since no holder hands out any.
func (a *Account) Surplus(now Instant) (uses []*pb.QuotaUse, until Instant) {
	left := (a.leftoverUntil - now - lendLife).Seconds()
	if left <= 0 {
		return nil, 0
	}
	for name, w := range a.accounts {
		surplus := w.leftover - int(keepShare*w.demandNow(now)*left)
		if surplus > 0 {
			w.leftover -= surplus
			uses = append(uses, &pb.QuotaUse{Workspace: string(name), Returned: uint32(surplus)}) //nolint:gosec // A number of credits.
		}
	}
	return uses, a.leftoverUntil
}

// LateAt returns when the holder's answer to a request that begins to wait at now is
// late, so that a standby is to be asked. It is now if the holder doesn't answer.
func (a *Account) LateAt(now Instant) Instant {
	switch {
	case !a.open || a.answered == 0:
		return now
	case len(a.sent) > 0:
		return max(now, a.sent[0]+a.roundTrip+lateMargin)
	}
	return now + a.roundTrip + lateMargin
}
