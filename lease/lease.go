// Package lease holds the time-bound right of a router to start new work.
//
// A control member confirms with a majority, in a round begun at m0, that its
// records hold all that was accepted before m0. The router turns this into a
// lease that ends Duration after m0 at the latest, so whatever is accepted
// later is in force everywhere within Duration, also at routers that can't
// reach control. No clocks are compared: the router counts from the moment
// before it sent the renewal and subtracts the confirmation's age.
package lease

import (
	"sync/atomic"
	"time"
)

const (
	// Duration bounds how long a router works on records that may be outdated.
	Duration = 3 * time.Second
	// RenewInterval is the time between two renewals.
	RenewInterval = 500 * time.Millisecond
	// MaxClockDrift is subtracted from each lease for clocks that run unevenly.
	MaxClockDrift = 30 * time.Millisecond
)

// Lease is a router's current lease. Its zero value has run out.
type Lease struct {
	// end is the end of the lease in nanoseconds since base.
	end  atomic.Int64
	base time.Time
}

// New returns a lease that has run out.
func New(now time.Time) *Lease {
	return &Lease{base: now}
}

// Extend moves the end of the lease to what a renewal that was sent at sent and
// answered with a confirmation of the given age allows. It never shortens it, and
// reports whether it made it longer.
func (l *Lease) Extend(sent time.Time, age time.Duration) bool {
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

// Revoke ends the lease.
func (l *Lease) Revoke() { l.end.Store(0) }

// End returns the end of the lease.
func (l *Lease) End() time.Time {
	return l.base.Add(time.Duration(l.end.Load()))
}

// Valid reports whether the lease holds at now.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.End()) }

// Covers reports whether work that starts at now and ends by deadline lies
// within the lease.
func (l *Lease) Covers(now, deadline time.Time) bool {
	return l.Valid(now) && !deadline.After(l.End())
}
