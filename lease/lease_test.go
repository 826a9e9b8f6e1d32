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
