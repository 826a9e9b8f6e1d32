package forward

import "sync/atomic"

// maxIdleWorkers bounds the idle goroutines.
const maxIdleWorkers = 160

// workers runs functions in reusable goroutines. An attempt needs a deep stack, and
// growing a new goroutine's stack costs more than the rest of the attempt.
type workers struct {
	work chan func()
	idle atomic.Int64
	// closed is closed to end the idle goroutines.
	closed chan struct{}
}

func newWorkers() *workers {
	return &workers{work: make(chan func()), closed: make(chan struct{})}
}

// run runs f in an idle goroutine or, if there is none, in a new one. It doesn't
// block.
func (w *workers) run(f func()) {
	select {
	case w.work <- f:
	default:
		go w.loop(f)
	}
}

// loop runs f, then other functions until there are enough idle goroutines or w is
// closed.
func (w *workers) loop(f func()) {
	for {
		f()
		if w.idle.Add(1) > maxIdleWorkers {
			w.idle.Add(-1)
			return
		}
		select {
		case f = <-w.work:
			w.idle.Add(-1)
		case <-w.closed:
			return
		}
	}
}

// close ends the idle goroutines.
func (w *workers) close() { close(w.closed) }
