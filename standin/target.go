package standin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/peridotmux/peridotmux/target"
)

// Target is one stand-in target. Its methods are safe for concurrent use.
type Target struct {
	opts   Options
	slots  *slots
	ledger *Ledger
	router *mux.Router

	mu             sync.Mutex
	cancels        map[string]chan struct{} // by attempt
	healthSamples  []healthSample           // oldest first
	healthOverride HealthOverride
	addr           netip.AddrPort
	listener       *listener
	server         *http.Server
	stop           context.CancelFunc
	done           sync.WaitGroup
}

// healthSample is the health of a target at one time.
type healthSample struct {
	at     time.Time
	health target.Health
}

// New returns a target that isn't listening yet.
func New(o Options) *Target {
	o = o.withDefaults()
	t := &Target{
		opts:    o,
		slots:   newSlots(o),
		ledger:  &Ledger{},
		cancels: make(map[string]chan struct{}),
	}
	t.router = mux.NewRouter()
	t.router.HandleFunc(target.PathSearch, t.serveSearch).Methods(http.MethodPost)
	t.router.HandleFunc(target.PathCancel, t.serveCancel).Methods(http.MethodPost)
	t.router.HandleFunc(target.PathHealth, t.serveHealth).Methods(http.MethodGet)
	return t
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.router.ServeHTTP(w, r) }

// Ledger returns the record of the searches that the target ran.
func (t *Target) Ledger() *Ledger { return t.ledger }

// Options returns the target's options with the defaults filled in.
func (t *Target) Options() Options { return t.opts }

// Addr returns the address that the target listens on.
func (t *Target) Addr() netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addr
}

// Listen starts the server on addr. Port 0 selects a free port. It returns the
// error of net.ListenTCP.
func (t *Target) Listen(addr netip.AddrPort) error {
	inner, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	l := newListener(inner, t.opts, t.ledger)
	server := &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	ctx, stop := context.WithCancel(context.Background())
	t.mu.Lock()
	t.addr = inner.Addr().(*net.TCPAddr).AddrPort()
	t.listener, t.server, t.stop = l, server, stop
	t.mu.Unlock()
	t.done.Go(func() { _ = server.Serve(l) })
	t.done.Go(func() { t.sampleHealth(ctx) })
	return nil
}

// Kill simulates a crash without restart: connections are reset, running
// searches are lost, and new connections are refused until Revive.
func (t *Target) Kill() {
	t.mu.Lock()
	server, l, stop := t.server, t.listener, t.stop
	t.server = nil
	t.mu.Unlock()
	if server == nil {
		return
	}
	stop()
	_ = l.Close()
	t.slots.restart()
	l.resetAll()
	_ = server.Close()
	t.done.Wait()
}

// Revive starts a new, cold process on the address used before Kill.
func (t *Target) Revive() error { return t.Listen(t.Addr()) }

// Close stops the target.
func (t *Target) Close() { t.Kill() }

// Restart simulates a crash and the immediate start of a new, cold process.
func (t *Target) Restart() {
	t.mu.Lock()
	l := t.listener
	t.mu.Unlock()
	t.slots.restart()
	if l != nil {
		l.resetAll()
	}
}

// SetCold makes the running process cold without restarting it, so that neither
// the process number nor the connections show it.
func (t *Target) SetCold() {
	t.slots.mu.Lock()
	defer t.slots.mu.Unlock()
	t.slots.cold = true
	t.slots.workDone = 0
}

// SetSlowdown multiplies service times by factor; 1 is normal speed.
func (t *Target) SetSlowdown(factor float64) {
	t.slots.mu.Lock()
	defer t.slots.mu.Unlock()
	t.slots.slowdown = factor
}

// SetDraining makes the target refuse new searches, or accept them again.
func (t *Target) SetDraining(draining bool) {
	t.slots.mu.Lock()
	defer t.slots.mu.Unlock()
	t.slots.draining = draining
}

// SetVersions replaces the index versions served, newest first.
func (t *Target) SetVersions(versions ...uint64) {
	t.slots.mu.Lock()
	defer t.slots.mu.Unlock()
	t.slots.versions = versions
}

// SetHealthOverride sets the function that falsifies the health page; nil reports
// the true health.
func (t *Target) SetHealthOverride(l HealthOverride) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.healthOverride = l
}

// NewestVersion returns the newest index version served, or 0 if there is none.
func (t *Target) NewestVersion() uint64 {
	t.slots.mu.Lock()
	defer t.slots.mu.Unlock()
	if len(t.slots.versions) == 0 {
		return 0
	}
	return t.slots.versions[0]
}
