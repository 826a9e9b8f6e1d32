package lease

import (
	"testing"
	"time"
)

// TestLeaseIsBoundedByConfirmationAge guards against a lease that outlives the
// confirmation it rests on, because the age of the confirmation or the time of
// the renewal is not subtracted.
func TestLeaseIsBoundedByConfirmationAge(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name string
		// sent is when the renewal was sent, relative to now; age is the age of the
		// confirmation.
		sent, age time.Duration
		// want is when the lease expires, relative to now.
		want time.Duration
	}{
		{"fresh", 0, 0, Duration - MaxClockDrift},
		{"an older confirmation", 0, time.Second, Duration - MaxClockDrift - time.Second},
		{"sent earlier", -time.Second, 0, Duration - MaxClockDrift - time.Second},
		{"older than a lease", 0, Duration, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New(now)
			if extended := l.Extend(now.Add(c.sent), c.age); extended != (c.want > 0) {
				t.Errorf("extended: %v", extended)
			}
			if got := l.End().Sub(now); got != c.want {
				t.Errorf("ends after %v, want %v", got, c.want)
			}
		})
	}
}

// TestLeaseIsNeverShortened guards against a delayed response that shortens a
// lease under which work was already started.
func TestLeaseIsNeverShortened(t *testing.T) {
	now := time.Now()
	l := New(now)
	if l.Valid(now) {
		t.Error("valid from the start")
	}
	l.Extend(now, 0)
	end := l.End()
	if l.Extend(now.Add(-time.Second), 0) || l.End() != end {
		t.Error("a delayed response shortened the lease")
	}
	if !l.Covers(now, end) || l.Covers(now, end.Add(1)) || l.Valid(end) {
		t.Error("the lease is not valid exactly until End")
	}
	l.Revoke()
	if l.Valid(now) {
		t.Error("valid after it was revoked")
	}
}

// A VM that was suspended must not use its lease afterwards, although Go's clock stood
// still, nor one from a renewal that it sent before.
func TestSuspendedVMHasNoLease(t *testing.T) {
	now := time.Now()
	var suspended time.Duration
	l := newLease(now, func() (time.Duration, bool) { return suspended, true })
	l.Extend(now, 0)
	if !l.Valid(now.Add(time.Second)) {
		t.Fatal("no lease after a renewal")
	}
	suspended = 8 * time.Second
	if l.Valid(now.Add(time.Second)) || l.Covers(now.Add(time.Second), now.Add(time.Second)) {
		t.Error("the lease is used after a suspension")
	}
	if l.Extend(now.Add(time.Second), 0) || l.Valid(now.Add(time.Second)) {
		t.Error("a renewal that was sent before the suspension extends the lease")
	}
	if !l.Extend(now.Add(2*time.Second), 0) || !l.Valid(now.Add(2*time.Second)) {
		t.Error("no lease after a new renewal")
	}
}

// The clocks of a VM that isn't suspended must agree within the tolerance.
func TestSuspendedTimeIsSteady(t *testing.T) {
	before, ok := suspendedTime()
	for range 1000 {
		now, nowOK := suspendedTime()
		if d := now - before; ok && nowOK && d.Abs() > suspensionTolerance {
			t.Fatalf("%v of suspension seen", d)
		}
	}
}

// A process that is delayed between the readings of two clocks must not take the delay
// for a suspension, nor lose its lease.
func TestDelayBetweenReadingsIsNoSuspension(t *testing.T) {
	var clock time.Duration
	readings := 0
	delayed := func(every int) func(int32) (time.Duration, bool) {
		return func(int32) (time.Duration, bool) {
			clock += time.Microsecond
			if readings++; every > 0 && readings%every == 0 {
				clock += 300 * time.Millisecond
			}
			return clock, true
		}
	}
	now := time.Now()
	for _, every := range []int{0, 2, 3, 4, 5, 7} {
		l := newLease(now, func() (time.Duration, bool) { return suspendedBy(delayed(every)) })
		l.Extend(now, 0)
		for range 50 {
			if !l.Valid(now) {
				t.Fatalf("a delay at each reading number %d costs the lease", every)
			}
		}
	}
}
