package soak

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/internal/endless"
	"github.com/peridotmux/peridotmux/platform"
	"github.com/peridotmux/peridotmux/platform/fake"
)

// headers are the names of the platform's HTTP headers.
var headers = platform.Headers()

// targetMode is how a stand-in target handles requests.
type targetMode int

const (
	targetOK            targetMode = iota
	targetSlow                     // takes longer for each request
	targetOverloaded               // refuses requests with 503 and marks them as not run
	targetResetsAnswers            // runs requests, then resets the connection
	targetLong                     // takes most of the routes' limit for each request
	targetFailing                  // answers every other request with 500
)

// workTime is the time of a request, and addedWorkTime what some modes add to it.
const workTime = 3 * time.Millisecond

var addedWorkTime = map[targetMode]time.Duration{
	targetSlow: 150 * time.Millisecond,
	targetLong: 1500 * time.Millisecond,
}

func setModes(targets []*standinTarget, m targetMode) {
	for _, t := range targets {
		t.setMode(m)
	}
}

// standinTarget is an HTTP server behind a proxy that stands in for a target and
// records what it ran in a ledger.
type standinTarget struct {
	id, service, dc string
	// version is that of the list's entry, the first one if empty.
	version string
	server  *httptest.Server
	proxy   *proxy
	ledger  *ledger

	// failures counts the requests in mode targetFailing.
	failures atomic.Int64

	mu       sync.Mutex
	mode     targetMode
	draining bool
	// leaving means that the target says in all responses that it is about to stop, and
	// backOff is how long it asks for no requests, 0 if it takes them.
	leaving bool
	backOff time.Duration
	// rateLimit is the limit that the target names, 0 for none.
	rateLimit float64
	// endless is the form in which the target sends bytes without end instead of
	// responses, empty if it doesn't.
	endless endless.Form
	// copies means that the target sends answers to health checks twice.
	copies bool
}

const healthPath = "/health"

// ledger records the requests that targets ran and the violations found. Its
// methods may be called concurrently.
type ledger struct {
	mu sync.Mutex
	// runs counts runs by request id and service, joined by a space.
	runs map[string]int
	// lastArrivals is the time of the last request that each target ran, by the
	// target's id.
	lastArrivals map[string]time.Time
	violations   []string
	traffic      *traffic
	notices      *notices
	rateLimits   *rateLimits
	crashes      *crashes
	identities   *identities
	// excused and restarted are what notices.arrive needs to know of a gateway.
	excused   func(t *standinTarget, gateway int, since time.Time) bool
	restarted func(gateway int, since time.Time) bool
}

func newLedger() *ledger {
	return &ledger{
		runs: map[string]int{}, lastArrivals: map[string]time.Time{}, traffic: newTraffic(), notices: newNotices(), identities: newIdentities(),
		rateLimits: &rateLimits{named: map[string]*namedLimit{}}, crashes: &crashes{byPath: map[string]*crashing{}},
	}
}

func (l *ledger) recordRun(id, service, target string) {
	l.traffic.addArrival(service, id, target, true)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id+" "+service]++
	l.lastArrivals[target] = time.Now()
}

func (l *ledger) runCount(id, service string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id+" "+service]
}

func (l *ledger) addViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// takeViolations returns and clears the violations.
func (l *ledger) takeViolations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.violations
	l.violations = nil
	return out
}

// startTarget starts a target that is reached at addr through its proxy.
func startTarget(l *ledger, id, service, dc, addr string) (*standinTarget, error) {
	t := &standinTarget{id: id, service: service, dc: dc, ledger: l}
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

func (t *standinTarget) close() {
	t.proxy.close()
	t.server.CloseClientConnections()
	t.server.Close()
}

func (t *standinTarget) setMode(m targetMode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = m
}

func (t *standinTarget) setEndless(f endless.Form) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endless = f
}

func (t *standinTarget) endlessForm() endless.Form {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endless
}

func (t *standinTarget) state() (targetMode, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mode, t.draining
}

// ServeHTTP handles health checks and requests as a target does.
func (t *standinTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mode, _ := t.state()
	id := r.Header.Get(headers.RequestID)
	w.Header().Set(headers.RequestID, id)
	t.sayNotices(w, id)
	if r.URL.Path == healthPath {
		t.serveHealth(w)
		return
	}
	if want := r.Header.Get(headers.ExpectTarget); want != "" && want != t.id {
		w.Header().Set(headers.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.checkArrival(id, r.Header)
	if t.answerBackOff(w, r, id) {
		return
	}
	if mode == targetOverloaded {
		t.ledger.traffic.addArrival(t.service, id, t.id, false)
		w.Header().Set(headers.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if t.crash(w, r, id) {
		return
	}
	t.ledger.recordRun(id, t.service, t.id)
	time.Sleep(workTime + addedWorkTime[mode])
	if mode == targetResetsAnswers {
		hijacked, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = hijacked.(*net.TCPConn).SetLinger(0)
			_ = hijacked.Close()
		}
		return
	}
	if mode == targetFailing && t.failures.Add(1)%2 == 0 {
		w.Header().Set(headers.Signature, signature(t.id, id))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	body := answerBody(t.service, id)
	if f := t.endlessForm(); f != "" {
		sendEndless(w, f, fmt.Sprintf("%s: %s\r\n%s: %s\r\n%s", headers.RequestID, id, headers.Signature, signature(t.id, id), t.leavingLine()), body)
		return
	}
	w.Header().Set(headers.Signature, signature(t.id, id))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}

// serveHealth answers a health check.
func (t *standinTarget) serveHealth(w http.ResponseWriter) {
	if t.sendsCopies() {
		t.serveCopies(w)
		return
	}
	if f := t.endlessForm(); f != "" {
		sendEndless(w, f, t.leavingLine(), "")
		return
	}
	w.Header().Set(headers.TargetID, t.id)
}

// sendEndless sends bytes of form f until the caller closes the connection.
func sendEndless(w http.ResponseWriter, f endless.Form, header, body string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	endless.Write(c, f, header, body)
	_ = c.Close()
}

// signature returns the signature of a target's response to request id.
func signature(target, id string) string { return target + signatureSeparator + id }

const signatureSeparator = "/"

// answerBody returns the response of every target of a service to request id:
// two records of 16 bytes.
func answerBody(service, id string) string {
	return fmt.Sprintf("%-16.16s%-16.16s", service+id, id+service)
}

// topK is the number of records in an answer to a request to all shards: as many as the
// greater one of each shard, so that a part that counts twice shows whosever it is.
func (c *cluster) topK() int { return c.cfg.Shards }

// targetList stands in for the platform's list of targets.
type targetList struct {
	mu      sync.Mutex
	targets []*standinTarget
	// odd are entries of another writer, as JSON.
	odd []string
}

// setOdd sets the entries of another writer.
func (l *targetList) setOdd(entries []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.odd = entries
}

// set sets the targets that the list names.
func (l *targetList) set(targets []*standinTarget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets = targets
}

// listLag is the lag of the target list that the settings state.
const listLag = 300 * time.Millisecond

// ServeHTTP serves one page of the list.
func (l *targetList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	const pageSize = 5
	l.mu.Lock()
	defer l.mu.Unlock()
	from, _ := strconv.Atoi(fake.PageToken(r)) // No token means the first page.
	var entries []fake.Target
	for i := from; i < len(l.targets) && i < from+pageSize; i++ {
		t := l.targets[i]
		_, draining := t.state()
		entries = append(entries, fake.Target{
			ID: t.id, Service: t.service, Addr: t.proxy.listener.Addr().String(), DataCentre: t.dc, Slots: 4, Draining: draining,
			Version: t.version,
		})
	}
	next := ""
	if n := from + pageSize; n < len(l.targets) {
		next = strconv.Itoa(n)
	}
	_, _ = w.Write(fake.Page(entries, l.odd, next)) // A disconnected reader retries.
}
