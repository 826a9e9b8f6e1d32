package forward

import (
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/internal/connpool"
)

// ackTime is how long a target's host may take to acknowledge a request's bytes. Hosts
// acknowledge received bytes within 40 ms, whatever the process does with them.
const ackTime = 50 * time.Millisecond

// ackWatch ends an attempt whose bytes the target's host doesn't acknowledge: the
// host is down or cut off. It answers the load on shards whose targets fell silent,
// which is otherwise only known when requests there are overdue.
type ackWatch struct {
	conn    *connpool.Conn
	unacked func(*connpool.Conn) bool
	timer   *time.Timer

	mu sync.Mutex
	// ended means that the attempt ended, and unreachable that the watch ended it.
	ended, unreachable bool
}

// startAckWatch watches a request that was just written to c.
func startAckWatch(c *connpool.Conn, unacked func(*connpool.Conn) bool) *ackWatch {
	w := &ackWatch{conn: c, unacked: unacked}
	w.timer = time.AfterFunc(ackTime, w.check)
	return w
}

func (w *ackWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || !w.unacked(w.conn) {
		return
	}
	w.unreachable = true
	_ = w.conn.Net.SetDeadline(time.Unix(1, 0))
}

// stop ends the watch and reports whether the target's host was unreachable.
func (w *ackWatch) stop() bool {
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	return w.unreachable
}

// UnreachableError means that a target's host didn't acknowledge a request's bytes.
type UnreachableError struct{}

// Error describes the failure.
func (*UnreachableError) Error() string { return "the target's host doesn't acknowledge the request" }
