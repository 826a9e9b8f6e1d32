// Package lease implements the lease under which a router may start new work.
//
// A control member confirms with a quorum, in a round started at time m0, that
// its records include everything committed before m0. From this the router
// derives a lease that ends at most Duration after m0. A change committed later
// is therefore in force at every router within Duration, including routers that
// cannot reach control. Clocks of different machines are never compared: the
// router measures from the time just before it sent the renewal and subtracts
// the age of the confirmation.
package lease

import (
	"sync/atomic"
	"time"
)

const (
	// Duration bounds how long a router works with records that may be outdated.
	Duration = 3 * time.Second
	// RenewInterval is the time between two renewals.
	RenewInterval = 500 * time.Millisecond
	// MaxClockDrift is subtracted from each lease because clocks may run at
	// different rates.
	MaxClockDrift = 30 * time.Millisecond
	// suspensionTolerance is the suspended time that MaxClockDrift covers.
	suspensionTolerance = 10 * time.Millisecond
	// unknownSuspension marks that the suspended time wasn't read yet.
	unknownSuspension = time.Duration(-1 << 62)
)

// Lease is a router's current lease. Its zero value has expired. It is safe for
// concurrent use.
type Lease struct {
	// end is when the lease expires, in nanoseconds since base.
	end  atomic.Int64
	base time.Time
	// suspended returns the total time that the VM was suspended, false if it can't tell
	// now. It is nil if there is no way to tell.
	suspended func() (time.Duration, bool)
	// seenSuspended is the suspended time that the lease accounts for, and resumedAt
	// the time since base at which the last suspension was noticed, in nanoseconds.
	seenSuspended atomic.Int64
	resumedAt     atomic.Int64
}

// New returns an expired lease.
func New(now time.Time) *Lease { return newLease(now, suspendedTime) }

func newLease(now time.Time, suspended func() (time.Duration, bool)) *Lease {
	l := &Lease{base: now, suspended: suspended}
	total, ok := suspended()
	if !ok {
		total = unknownSuspension
	}
	l.seenSuspended.Store(int64(total))
	return l
}

// checkSuspension expires the lease if the VM was suspended since the last check.
// Go's clock stands still meanwhile, so that the lease would seem to last longer.
func (l *Lease) checkSuspension(now time.Time) {
	if l.suspended == nil {
		return
	}
	suspended, ok := l.suspended()
	total, seen := int64(suspended), l.seenSuspended.Load()
	if !ok || total-seen <= int64(suspensionTolerance) {
		return
	}
	if seen == int64(unknownSuspension) {
		l.seenSuspended.CompareAndSwap(seen, total)
		return
	}
	l.resumedAt.Store(int64(now.Sub(l.base)))
	l.end.Store(0)
	l.seenSuspended.CompareAndSwap(seen, total)
}

// Extend extends the lease after a renewal that was sent at sent and confirmed
// with a confirmation of the given age. It never shortens the lease, and reports
// whether it extended it. A renewal that was sent before the VM was last suspended
// doesn't count.
func (l *Lease) Extend(sent time.Time, age time.Duration) bool {
	l.checkSuspension(time.Now())
	if resumed := l.resumedAt.Load(); resumed > 0 && int64(sent.Sub(l.base)) <= resumed {
		return false
	}
	end := int64(sent.Sub(l.base) + Duration - MaxClockDrift - age)
	for {
		old := l.end.Load()
		if end <= old {
			return false
		}
		if l.end.CompareAndSwap(old, end) {
			return true
		}
	}
}

// Revoke expires the lease immediately.
func (l *Lease) Revoke() { l.end.Store(0) }

// End returns when the lease expires.
func (l *Lease) End() time.Time {
	return l.base.Add(time.Duration(l.end.Load()))
}

// Valid reports whether the lease is valid at now.
func (l *Lease) Valid(now time.Time) bool {
	l.checkSuspension(now)
	return now.Before(l.End())
}

// ConfirmedWithin reports whether control confirmed the records that this process
// holds within the time d before now.
func (l *Lease) ConfirmedWithin(d time.Duration, now time.Time) bool {
	l.checkSuspension(now)
	end := l.end.Load()
	if end == 0 {
		return false
	}
	confirmedAt := l.base.Add(time.Duration(end) - Duration + MaxClockDrift)
	return now.Sub(confirmedAt) <= d
}

// Covers reports whether the lease is valid for work that starts at now and ends
// by deadline.
func (l *Lease) Covers(now, deadline time.Time) bool {
	return l.Valid(now) && !deadline.After(l.End())
}
