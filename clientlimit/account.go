// Package clientlimit bounds what the clients of a process hold: the bytes of heads,
// bodies and unread answers, and connections. Each process has one Account. When it is
// short, the clients that hold most for the least progress are closed or refused first.
// Requests that were handed on are not cut, unless their callers don't read the answers.
package clientlimit

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/peridotmux/peridotmux/telemetry"
)

// Class is who a listener is for. Each class has a number of connections of its own.
type Class int

// The classes of clients.
const (
	// Callers send requests to forward.
	Callers Class = iota
	// Operators use the pages, the readiness check and control's HTTP address.
	Operators
	// Peers are other processes of the system.
	Peers

	classes = iota
)

// names are the classes' names in logs and metrics.
var names = [classes]string{"callers", "operators", "peers"}

// String returns the class's name.
func (c Class) String() string { return names[c] }

const (
	// memoryDivisor is the part of a process's memory that clients may hold: one in
	// memoryDivisor. The runtime collects garbage from 0.6 of the memory on, and responses
	// may take an eighth.
	memoryDivisor = 5
	// answersDivisor is the part of those bytes that unread answers may have in addition:
	// one in answersDivisor. With as many as one in answersGate, no further request is
	// taken, since each in progress may bring another answer.
	answersDivisor = 4
	answersGate    = 2
	// answerSizeDecay is how slowly smaller answers lower the expected size.
	answerSizeDecay = 16
	// shareUnit is the denominator of Shares.
	shareUnit = 16
	// minBytes is the least number of bytes that clients may hold. Requests with the
	// platform's largest heads and bodies need less than 1 MiB each.
	minBytes = 4 << 20
	// minConnections is the least number of connections of a class.
	minConnections = 16
	// connectionsPerPipeline determines how many pipelined requests are in progress at
	// once: one for so many connections of callers, but at least minPipelined.
	connectionsPerPipeline = 64
	minPipelined           = 4
	// headroomDivisor is the part of the bytes that is freed beyond what is needed, so
	// that not every request has to look for clients to close: one in headroomDivisor.
	headroomDivisor = 16
	// searchPause is the time after a search without success in which requests are refused
	// without another one.
	searchPause = 10 * time.Millisecond
	// defaultDescriptors applies if the operating system states no limit, and
	// maxDescriptors bounds the number.
	defaultDescriptors = 1024
	maxDescriptors     = 1 << 20
)

// Shares is how many sixteenths of the descriptors each class may use. The rest is
// reserved for targets, control, the target list and files.
type Shares [classes]int

// GatewayShares and ControlShares are the shares at gateways and at control members.
var (
	GatewayShares = Shares{Callers: 6, Operators: 1, Peers: 4}
	ControlShares = Shares{Operators: 2, Peers: 10}
)

// Limits bound what clients hold.
type Limits struct {
	// Bytes bounds the bytes of connections, heads and bodies. Unread answers are counted
	// for themselves.
	Bytes int64
	// Connections bounds the connections of each class.
	Connections [classes]int
	// Pipelined bounds the requests in progress that were sent before the answer to the
	// one before them.
	Pipelined int64
}

// LimitsFor returns the limits of a process with an amount of memory, in MiB, and a number
// of descriptors, 0 for the operating system's limit.
func LimitsFor(memoryMB, descriptors int, s Shares) Limits {
	if system := systemDescriptors(); descriptors <= 0 || descriptors > system {
		descriptors = system
	}
	l := Limits{Bytes: max(int64(memoryMB)<<20/memoryDivisor, minBytes)}
	for c := range l.Connections {
		l.Connections[c] = max(descriptors*s[c]/shareUnit, minConnections)
	}
	l.Pipelined = max(int64(l.Connections[Callers]/connectionsPerPipeline), minPipelined)
	return l
}

// systemDescriptors returns the operating system's limit of descriptors.
func systemDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, maxDescriptors)) //nolint:gosec // Bounded.
}

// Config configures an Account.
type Config struct {
	Limits Limits
	Log    *slog.Logger
	// Metrics may be the zero value.
	Metrics telemetry.Clients
}

// Account holds what the clients of one process hold. It is safe for concurrent use.
type Account struct {
	limits  Limits
	reports reporter
	start   time.Time
	held    atomic.Int64
	answers atomic.Int64
	// inProgress is the number of requests whose answers are to come, and answerSize how
	// large answers lately were, in bytes: the largest one, which smaller ones lower.
	inProgress, answerSize atomic.Int64
	pipelined              atomic.Int64
	// pausedUntil is until when no search for clients to close is made, in ns since start,
	// and answersPausedUntil the same for unread answers.
	pausedUntil, answersPausedUntil atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]struct{}
	count [classes]int
}

// New returns an account without clients.
func New(c Config) *Account {
	a := &Account{limits: c.Limits, start: time.Now(), conns: make(map[*Conn]struct{})}
	a.reports = reporter{log: c.Log, metrics: c.Metrics, account: a}
	c.Metrics.Observe(func() (int64, map[string]int) { return a.Held(), a.connections() })
	return a
}

// Held returns the bytes that clients hold.
func (a *Account) Held() int64 { return a.held.Load() + a.answers.Load() }

// connections returns the number of connections by class.
func (a *Account) connections() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]int, classes)
	for c, n := range a.count {
		out[Class(c).String()] = n
	}
	return out
}

// now returns the monotonic time since the account's start, at least 1 ns.
func (a *Account) now() time.Duration { return max(time.Since(a.start), 1) }

// take adds n bytes for c. If the account is short, it closes clients that hold more for
// less progress, and reports false if c is the one to refuse.
func (a *Account) take(c *Conn, n int64) bool {
	held := a.held.Add(n)
	if held <= a.limits.Bytes {
		return true
	}
	now := a.now()
	if int64(now) >= a.pausedUntil.Load() && a.makeRoom(c, held-a.limits.Bytes, now) {
		return true
	}
	a.held.Add(-n)
	return false
}

// makeRoom closes clients until need bytes are free. It reports false if c is to be
// refused.
func (a *Account) makeRoom(c *Conn, need int64, now time.Duration) bool {
	a.mu.Lock()
	conns, holders, self := a.holders(c, now, func(*Conn) bool { return true })
	a.mu.Unlock()
	choice := ChooseBytes(holders, self, need, need+a.limits.Bytes/headroomDivisor)
	if !choice.Refuse && choice.Freed < need {
		// Closing all that may be closed isn't enough, so it would serve nothing.
		a.pausedUntil.Store(int64(now + searchPause))
		return false
	}
	for _, i := range choice.Victims {
		conns[i].evict(causeMemory)
	}
	return !choice.Refuse
}

// limitAnswers closes the connections whose callers don't read their answers if those take
// too much. It reports whether there is room for the answers of further requests.
func (a *Account) limitAnswers() bool {
	need := a.answers.Load() - a.limits.Bytes/answersDivisor
	expected := a.inProgress.Load() * a.answerSize.Load()
	if need <= 0 {
		return a.answers.Load()+expected < a.limits.Bytes
	}
	now, freed := a.now(), int64(0)
	if int64(now) >= a.answersPausedUntil.Load() {
		a.mu.Lock()
		conns, holders, _ := a.holders(nil, now, func(x *Conn) bool { return x.answerIsStalled(now) })
		a.mu.Unlock()
		for i := range holders {
			holders[i].Closable = true
		}
		choice := ChooseBytes(holders, -1, need, need)
		if len(choice.Victims) == 0 {
			a.answersPausedUntil.Store(int64(now + searchPause))
		}
		for _, i := range choice.Victims {
			if conns[i].evict(causeAnswer) {
				freed += holders[i].Bytes
			}
		}
	}
	// The closed connections return their bytes a little later.
	left := a.answers.Load() - freed
	return left < a.limits.Bytes/answersGate && left+expected < a.limits.Bytes
}

// CloseStalled closes the connections whose callers don't read their answers if those take
// too much.
func (a *Account) CloseStalled() { a.limitAnswers() }

// noteAnswer notes the size of a piece of an answer.
func (a *Account) noteAnswer(size int64) {
	if known := a.answerSize.Load(); size > known {
		a.answerSize.Store(size)
	} else {
		a.answerSize.Store(known - (known-size)/answerSizeDecay)
	}
}

// holders returns the connections that match with what they hold, and the place of c, -1
// if it isn't among them. a.mu must be held.
func (a *Account) holders(c *Conn, now time.Duration, match func(*Conn) bool) (conns []*Conn, out []Holder, self int) {
	self = -1
	for x := range a.conns {
		if !match(x) {
			continue
		}
		if x == c {
			self = len(out)
		}
		conns, out = append(conns, x), append(out, x.holder(now))
	}
	return conns, out, self
}

// admit adds a new connection. If its class has too many, one of them is closed. It
// reports false if there is no room for c.
func (a *Account) admit(c *Conn) bool {
	if !a.makePlace(c.class) {
		a.reports.add(c.class, causeConnections)
		return false
	}
	if !a.take(c, baseBytes) {
		a.leave(c.class)
		a.reports.add(c.class, causeMemory)
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns[c] = struct{}{}
	return true
}

// makePlace counts a further connection of a class. If there are too many, it closes one
// of them. It reports false if none may be closed.
func (a *Account) makePlace(class Class) bool {
	a.mu.Lock()
	a.count[class]++
	if a.count[class] <= a.limits.Connections[class] {
		a.mu.Unlock()
		return true
	}
	conns, holders, _ := a.holders(nil, a.now(), func(x *Conn) bool { return x.class == class })
	a.mu.Unlock()
	if i := ChooseConnection(holders); i >= 0 && conns[i].evict(causeConnections) {
		return true
	}
	a.leave(class)
	return false
}

// leave counts a connection of a class less.
func (a *Account) leave(class Class) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count[class]--
}

// forget removes a connection. It does nothing if it isn't there any more.
func (a *Account) forget(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.conns[c]; ok {
		delete(a.conns, c)
		a.count[c.class]--
	}
}
