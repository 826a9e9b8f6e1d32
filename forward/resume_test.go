package forward

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// After a pause a request must wait for control's confirmation, no longer than
// resumeWait; without a pause it must not wait, whether control is there or not.
func TestRequestsAfterAPauseWaitForConfirmation(t *testing.T) {
	for _, c := range []struct {
		name      string
		pause     time.Duration
		confirmAt time.Duration // after the pause, 0 for never
		want      time.Duration
	}{
		{"no pause, no control", 0, 0, 0},
		{"short pause", pauseThreshold / 2, 0, 0},
		{"confirmed soon", 5 * time.Second, 60 * time.Millisecond, 60 * time.Millisecond},
		{"never confirmed", 5 * time.Second, 0, resumeWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var confirmed atomic.Bool
				g := newResumeGate(func(time.Time) bool { return confirmed.Load() }, time.Now())
				time.Sleep(c.pause)
				if c.confirmAt > 0 {
					time.AfterFunc(c.confirmAt, func() { confirmed.Store(true) })
				}
				began := time.Now()
				g.wait(t.Context())
				if took := time.Since(began); took < c.want || took > c.want+2*resumePoll {
					t.Errorf("waited %v, want %v", took, c.want)
				}
			})
		})
	}
}

// A view that control confirmed must not delay requests after a pause.
func TestConfirmedViewNeedsNoWait(t *testing.T) {
	g := newResumeGate(func(time.Time) bool { return true }, time.Now().Add(-time.Minute))
	if g.wait(t.Context()) {
		t.Error("a request waited")
	}
}
