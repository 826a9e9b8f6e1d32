package group

import (
	"time"

	"github.com/peridotmux/peridotmux/consensus"
)

// maxHeartbeatRepeat is the time for which a leader repeats its heartbeats during
// a write to its disk. Including the election that follows, a leader with a
// stalled disk is replaced within 3 s.
const maxHeartbeatRepeat = 1500 * time.Millisecond

// save runs a write, and repeats the last heartbeats while it is running, so that
// a slow sync does not end the leader's term. The repeated heartbeats carry the
// same commit index and confirm round as before.
func (g *Group) save(write func() error) error {
	done := make(chan error, 1)
	go func() { done <- write() }()
	begun := time.Now()
	repeated := begun
	for {
		select {
		case err := <-done:
			return err
		case now := <-g.ticker.C:
			if now.Sub(repeated) >= heartbeatInterval && now.Sub(begun) < maxHeartbeatRepeat {
				repeated = now
				g.repeatHeartbeats()
			}
		}
	}
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
