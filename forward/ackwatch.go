package forward

import (
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/internal/connpool"
)

// ackTime is how long a target's host may take to acknowledge a request's bytes before
// the target counts as silent. Hosts delay acknowledgements by 40 ms and more, a busy one
// on either side by up to 200 ms, so silence is a reason to ask another target early. It
// proves nothing about the request.
const ackTime = 50 * time.Millisecond

// ackWatch reports that a target's host hasn't acknowledged a request within ackTime. It
// answers the load on shards whose targets fell silent, which is otherwise only known
// when requests there are overdue.
type ackWatch struct {
	conn     *connpool.Conn
	unacked  func(*connpool.Conn) bool
	onSilent func()
	timer    *time.Timer

	mu sync.Mutex
	// ended means that the attempt ended, so that conn may not be asked any more.
	ended bool
}

// startAckWatch watches a request that was just written to c. onSilent is called at most
// once, and not after stop.
func startAckWatch(c *connpool.Conn, unacked func(*connpool.Conn) bool, onSilent func()) *ackWatch {
	w := &ackWatch{conn: c, unacked: unacked, onSilent: onSilent}
	w.timer = time.AfterFunc(ackTime, w.check)
	return w
}

func (w *ackWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended && w.unacked(w.conn) {
		w.onSilent()
	}
}

// stop ends the watch.
func (w *ackWatch) stop() {
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
}
