package group

import (
	"time"

	"github.com/peridotmux/peridotmux/consensus"
)

// syncPatience is how long a leader keeps its term alive while its disk syncs.
// With an election after it, a leader whose disk hangs is replaced within 3 s.
const syncPatience = 1500 * time.Millisecond

// save runs a write, and repeats the last heartbeats while it takes long, so
// that a slow sync doesn't end the leader's term. They say nothing new.
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
			if now.Sub(repeated) >= heartbeatInterval && now.Sub(begun) < syncPatience {
				repeated = now
				g.repeatHeartbeats()
			}
		}
	}
}

// keepHeartbeats notes the last heartbeats that were sent.
func (g *Group) keepHeartbeats(sent []consensus.Message) {
	fresh := false
	for _, m := range sent {
		if m.Type != consensus.MsgHeartbeat {
			continue
		}
		if !fresh {
			g.heartbeats = g.heartbeats[:0]
			fresh = true
		}
		g.heartbeats = append(g.heartbeats, m)
	}
}

// repeatHeartbeats sends the last heartbeats again if they are of this term.
func (g *Group) repeatHeartbeats() {
	if !g.node.IsLeader() || len(g.heartbeats) == 0 || g.heartbeats[0].Term != g.node.Term() {
		return
	}
	g.links.send(g.heartbeats)
}
