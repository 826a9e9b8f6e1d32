package soak

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/platform"
	"github.com/peridotmux/peridotmux/platform/fake"
)

// names are the headers of the platform.
var names = platform.Headers()

// targetMode is how a stand-in target behaves.
type targetMode int

// The modes.
const (
	targetOK targetMode = iota
	targetSlow
	targetSheds
	targetLosesAnswers
	targetGone
)

// standTarget is a stand-in target with a ledger of what it ran.
type standTarget struct {
	id, service, dc string
	server          *httptest.Server
	proxy           *proxy
	ledger          *ledger

	mu       sync.Mutex
	mode     targetMode
	draining bool
}

// ledger holds what targets saw.
type ledger struct {
	mu sync.Mutex
	// runs counts the runs of each request id at each service.
	runs map[string]int
	// arrivals notes the last arrival at each target.
	arrivals map[string]time.Time
	faults   []string
}

func newLedger() *ledger { return &ledger{runs: map[string]int{}, arrivals: map[string]time.Time{}} }

func (l *ledger) run(id, service, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id+" "+service]++
	l.arrivals[target] = time.Now()
}

func (l *ledger) ran(id, service string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id+" "+service]
}

func (l *ledger) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

func (l *ledger) taken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.faults
	l.faults = nil
	return out
}

func startTarget(l *ledger, id, service, dc, addr string) (*standTarget, error) {
	t := &standTarget{id: id, service: service, dc: dc, ledger: l}
	t.server = httptest.NewUnstartedServer(t)
	t.server.Start()
	p, err := newProxy(addr, strings.TrimPrefix(t.server.URL, "http://"))
	if err != nil {
		t.server.Close()
		return nil, err
	}
	t.proxy = p
	return t, nil
}

func (t *standTarget) close() {
	t.proxy.close()
	t.server.CloseClientConnections()
	t.server.Close()
}

func (t *standTarget) set(m targetMode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = m
}

func (t *standTarget) state() (targetMode, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mode, t.draining
}

// ServeHTTP answers as a target: health checks, and requests that it runs.
func (t *standTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mode, _ := t.state()
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if r.URL.Path == "/health" {
		w.Header().Set(names.TargetID, t.id)
		return
	}
	if want := r.Header.Get(names.ExpectTarget); want != "" && want != t.id {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if mode == targetSheds {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.ledger.run(id, t.service, t.id)
	if mode == targetSlow {
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(3 * time.Millisecond)
	if mode == targetLosesAnswers {
		hijacked, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = hijacked.(*net.TCPConn).SetLinger(0)
			_ = hijacked.Close()
		}
		return
	}
	w.Header().Set(names.Signature, stamp(t.id, id))
	body := partBody(t.service, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}

func stamp(target, id string) string { return target + "." + id }

// partBody is what every target of a service answers to a request: two records.
func partBody(service, id string) string {
	return fmt.Sprintf("%-16.16s%-16.16s", service+id, id+service)
}

// list is the stand-in of the platform's list of targets.
type list struct {
	mu      sync.Mutex
	targets []*standTarget
}

// lagTime is how far the list is said to be behind.
const lagTime = 300 * time.Millisecond

// ServeHTTP gives a page of the list.
func (l *list) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	const pageSize = 5
	l.mu.Lock()
	defer l.mu.Unlock()
	from, _ := strconv.Atoi(fake.PageToken(r)) // No token is the first page.
	var entries []fake.Target
	for i := from; i < len(l.targets) && i < from+pageSize; i++ {
		t := l.targets[i]
		_, draining := t.state()
		entries = append(entries, fake.Target{
			ID: t.id, Service: t.service, Addr: t.proxy.listener.Addr().String(), DataCentre: t.dc, Slots: 4, Draining: draining,
		})
	}
	next := ""
	if n := from + pageSize; n < len(l.targets) {
		next = strconv.Itoa(n)
	}
	_, _ = w.Write(fake.Page(entries, next)) // A reader that left reads again.
}
