package forward

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// pauseTickInterval is the interval at which a router notes that it runs.
	pauseTickInterval = 100 * time.Millisecond
	// pauseThreshold is the time without such a note after which the process counts as
	// paused, or delayed for as long.
	pauseThreshold = time.Second
	// resumeWait is how long requests wait for control's confirmation after a pause.
	// After that they are forwarded by the last view, as without control.
	resumeWait = 400 * time.Millisecond
	// resumePoll is the time between two looks at the lease.
	resumePoll = 5 * time.Millisecond
)

// resumeGate holds requests back for a moment after this process was paused: its view
// of routes, quiet data centres and targets may be as old as the pause was long. It is
// safe for concurrent use.
type resumeGate struct {
	// confirmed reports whether control confirmed the view recently.
	confirmed func(now time.Time) bool
	start     time.Time
	// ranAt and resumedAt are times since start in nanoseconds: when the process last
	// noted that it runs, and when it noticed the end of a pause, 0 if it never did.
	ranAt, resumedAt atomic.Int64
}

func newResumeGate(confirmed func(now time.Time) bool, now time.Time) *resumeGate {
	return &resumeGate{confirmed: confirmed, start: now}
}

// run notes that the process runs until ctx ends.
func (g *resumeGate) run(ctx context.Context) {
	tick := time.NewTicker(pauseTickInterval)
	defer tick.Stop()
	for {
		g.note(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// note records that the process runs at now, and whether it was paused before.
func (g *resumeGate) note(now time.Time) {
	at := int64(now.Sub(g.start))
	if last := g.ranAt.Swap(at); at-last > int64(pauseThreshold) {
		g.resumedAt.Store(at)
	}
}

// resumedLately reports whether the process was paused until less than resumeWait ago.
func (g *resumeGate) resumedLately(now time.Time) bool {
	if int64(now.Sub(g.start))-g.ranAt.Load() > int64(pauseThreshold) {
		g.note(now)
	}
	resumed := g.resumedAt.Load()
	return resumed != 0 && now.Before(g.start.Add(time.Duration(resumed)).Add(resumeWait))
}

// wait blocks a request that arrives right after a pause until control has confirmed
// the view, for resumeWait at most. It returns whether it blocked.
func (g *resumeGate) wait(ctx context.Context) bool {
	if g.confirmed == nil {
		return false
	}
	blocked := false
	for now := time.Now(); g.resumedLately(now) && !g.confirmed(now) && ctx.Err() == nil; now = time.Now() {
		blocked = true
		time.Sleep(resumePoll)
	}
	return blocked
}
