package response

import (
	"slices"
	"sync"
	"time"
)

const (
	// smallDivisor is the part of a Memory that only small bodies may take in addition, so
	// that they needn't wait behind large ones: one in smallDivisor.
	smallDivisor = 4
	// shortInterval is the time between two calls of a Memory's function for making room.
	shortInterval = 10 * time.Millisecond
)

// Memory bounds the bytes of bodies, from when they are read until their Hold is
// released. Bodies without room wait for it in their order. It is safe for concurrent use.
// A nil *Memory has no bound.
type Memory struct {
	limit int64
	// makeRoom is called again and again while a body waits for room. It may be nil.
	makeRoom func()

	mu   sync.Mutex
	used int64
	// waiters are the bodies that wait, in their order.
	waiters []*waiter
}

// waiter is a body that waits for n bytes and holds others meanwhile.
type waiter struct {
	n, held int64
	// granted receives whether the body got its bytes.
	granted chan bool
}

// NewMemory returns a Memory of limit bytes. makeRoom, unless nil, is called while a body
// waits for room, to make those end that hold some.
func NewMemory(limit int64, makeRoom func()) *Memory {
	return &Memory{limit: limit, makeRoom: makeRoom}
}

// OutOfMemoryError means that a body needs more memory than the other bodies leave.
type OutOfMemoryError struct{}

// Error implements error.
func (*OutOfMemoryError) Error() string { return "no memory left for a response body" }

// Used returns the bytes in use.
func (m *Memory) Used() int64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// reserve takes n bytes for a body that holds some already. If they aren't left, it waits
// for them until cancel is closed, and not at all if cancel is nil. It reports whether it
// took them.
func (m *Memory) reserve(n, held int64, cancel <-chan struct{}) bool {
	if m == nil {
		return true
	}
	w, ok := m.take(n, held, cancel != nil)
	if w == nil {
		return ok
	}
	tick := time.NewTicker(shortInterval)
	defer tick.Stop()
	for {
		if m.makeRoom != nil {
			m.makeRoom()
		}
		select {
		case ok := <-w.granted:
			return ok
		case <-cancel:
			return m.giveUp(w)
		case <-tick.C:
		}
	}
}

// take takes n bytes and reports whether it did. If they aren't left and the body may
// wait, it returns its waiter.
func (m *Memory) take(n, held int64, mayWait bool) (*waiter, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n+held > m.limit {
		return nil, false
	}
	small := n+held <= firstBodyBytes && m.used+n <= m.limit+m.limit/smallDivisor
	if small || len(m.waiters) == 0 && m.used+n <= m.limit {
		m.used += n
		return nil, true
	}
	if !mayWait {
		return nil, false
	}
	w := &waiter{n: n, held: held, granted: make(chan bool, 1)}
	m.waiters = append(m.waiters, w)
	m.grant()
	return w, false
}

// giveUp ends a body's wait. It reports whether the body got its bytes just then.
func (m *Memory) giveUp(w *waiter) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i := slices.Index(m.waiters, w); i >= 0 {
		m.waiters = slices.Delete(m.waiters, i, i+1)
		m.grant()
		return false
	}
	return <-w.granted
}

// add takes n bytes that are allocated in any case.
func (m *Memory) add(n int64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used += n
}

// free returns n bytes.
func (m *Memory) free(n int64) {
	if m == nil || n == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
	m.grant()
}

// grant gives the bodies that wait their bytes, in their order, as far as there is room.
// If all that is in use belongs to bodies that wait, no room would ever come, and the last
// of those that hold some gives up. m.mu must be held.
func (m *Memory) grant() {
	for len(m.waiters) > 0 && m.used+m.waiters[0].n <= m.limit {
		m.used += m.waiters[0].n
		m.waiters[0].granted <- true
		m.waiters = slices.Delete(m.waiters, 0, 1)
	}
	held, last := int64(0), -1
	for i, w := range m.waiters {
		if held += w.held; w.held > 0 {
			last = i
		}
	}
	if last >= 0 && held == m.used {
		m.waiters[last].granted <- false
		m.waiters = slices.Delete(m.waiters, last, last+1)
	}
}

// Hold is what the bodies of one request hold of a Memory until nobody uses them any more.
// The zero value holds nothing. It is safe for concurrent use.
type Hold struct {
	mu       sync.Mutex
	memory   *Memory
	n        int64
	released bool
}

// keep keeps n bytes of m until h is released, and returns them at once if it was.
func (h *Hold) keep(m *Memory, n int64) {
	h.mu.Lock()
	released := h.released
	if !released {
		h.memory = m
		h.n += n
	}
	h.mu.Unlock()
	if released {
		m.free(n)
	}
}

// Add adds n bytes of m that came in another way than by Read.
func (h *Hold) Add(m *Memory, n int64) {
	m.add(n)
	h.keep(m, n)
}

// Release returns what h holds. Bodies that are read afterwards aren't held.
func (h *Hold) Release() {
	h.mu.Lock()
	n := h.n
	h.n, h.released = 0, true
	h.mu.Unlock()
	h.memory.free(n)
}
