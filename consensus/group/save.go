package group

import (
	"context"
	"errors"
	"time"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/storage"
	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/internal/wait"
)

// maxHeartbeatRepeat is the time for which a leader repeats its heartbeats during
// a write to its disk. Including the election that follows, a leader with a
// stalled disk is replaced within 3 s.
const maxHeartbeatRepeat = 1500 * time.Millisecond

// spaceRetryInterval is the time between two tries of a write that found no space.
const spaceRetryInterval = 200 * time.Millisecond

// save runs a write, and repeats the last heartbeats while it is running, so that
// a slow sync does not end the leader's term. The repeated heartbeats carry the
// same commit index and confirm round as before. A write that finds no space is tried
// again until there is some or ctx ends. Meanwhile the member takes no part in the
// group: it doesn't lead, and the others go on as if it were down.
func (g *Group) save(ctx context.Context, write func() error) error {
	done, full := make(chan error, 1), make(chan error, 1)
	go func() { done <- g.writeOnceSpace(ctx, write, full) }()
	begun := time.Now()
	repeated := begun
	waiting := false
	for {
		select {
		case err := <-done:
			if waiting {
				g.reportSpace(begun, err)
			}
			return err
		case err := <-full:
			waiting = true
			g.standDown(err)
		case now := <-g.ticker.C:
			if waiting {
				continue
			}
			if now.Sub(repeated) >= heartbeatInterval && now.Sub(begun) < maxHeartbeatRepeat {
				repeated = now
				g.repeatHeartbeats()
			}
		}
	}
}

// writeOnceSpace runs a write and tries it again while there is no space, until ctx ends.
// It sends the first such error to full.
func (g *Group) writeOnceSpace(ctx context.Context, write func() error, full chan<- error) error {
	err := write()
	var noSpace *storage.NoSpaceError
	if !errors.As(err, &noSpace) {
		return err
	}
	full <- err
	for errors.As(err, &noSpace) && ctx.Err() == nil {
		wait.For(ctx, spaceRetryInterval)
		err = g.store.Retry()
	}
	return err
}

// standDown makes this member no leader for those who ask it, and fails what waits for
// it, because its disk is full.
func (g *Group) standDown(cause error) {
	g.cfg.Logger.Error("data folder full, member waits for space", "led", g.node.IsLeader(), "error", cause)
	g.diskFull.Store(true)
	g.cfg.OnDiskFull(true)
	g.setLeadership(control.Leadership{Term: g.node.Term()})
	g.failWaiters(ErrDiskFull)
}

// reportSpace reports the end of a wait for space that began at begun.
func (g *Group) reportSpace(begun time.Time, err error) {
	g.cfg.Logger.Info("data folder no longer full", "waited", time.Since(begun), "error", err)
	g.diskFull.Store(false)
	g.cfg.OnDiskFull(false)
}

// recordHeartbeats stores the latest sent heartbeats for repeatHeartbeats.
func (g *Group) recordHeartbeats(sent []consensus.Message) {
	fresh := false
	for _, m := range sent {
		if m.Type != consensus.MsgHeartbeat {
			continue
		}
		if !fresh {
			g.lastHeartbeats = g.lastHeartbeats[:0]
			fresh = true
		}
		g.lastHeartbeats = append(g.lastHeartbeats, m)
	}
}

// repeatHeartbeats sends the last heartbeats again if this member still leads
// their term.
func (g *Group) repeatHeartbeats() {
	if !g.node.IsLeader() || len(g.lastHeartbeats) == 0 || g.lastHeartbeats[0].Term != g.node.Term() {
		return
	}
	g.links.send(g.lastHeartbeats)
}
