package lease

import (
	"testing"
	"time"
)

func TestLeaseEndsByItsConfirmation(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name string
		// sent is when the renewal was sent, age the confirmation's age.
		sent, age time.Duration
		want      time.Duration
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

func TestLeaseIsNeverShortened(t *testing.T) {
	now := time.Now()
	l := New(now)
	if l.Valid(now) {
		t.Error("valid from the start")
	}
	l.Extend(now, 0)
	end := l.End()
	if l.Extend(now.Add(-time.Second), 0) || l.End() != end {
		t.Error("a late answer shortened the lease")
	}
	if !l.Covers(now, end) || l.Covers(now, end.Add(1)) || l.Valid(end) {
		t.Error("the lease doesn't end at its end")
	}
	l.Revoke()
	if l.Valid(now) {
		t.Error("valid after it was revoked")
	}
}
