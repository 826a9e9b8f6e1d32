package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host = "soak.example"
	// callers is the number of concurrent callers, each with its own connections.
	callers = 12
	// callerPause is the mean pause between two requests of one caller; the pauses
	// are exponentially distributed.
	callerPause = 60 * time.Millisecond
	// requestTimeLimit is sent with each request. The client times out 1 s later.
	requestTimeLimit = 2 * time.Second
	// plantedRunInterval is the number of non-idempotent requests from one planted
	// second run to the next.
	plantedRunInterval = 20
)

// requestCounts counts requests sent and their outcomes: served (200), refused
// (503) or failed (everything else).
type requestCounts struct{ sent, served, refused, failed atomic.Int64 }

// callerLoad sends requests from all callers and checks the responses.
type callerLoad struct {
	cluster    *cluster
	counts     requestCounts
	requestSeq atomic.Uint64
	// onceChecks is the number of non-idempotent requests whose runs were checked.
	onceChecks atomic.Uint64
	// withdrawnKeys is the number of requests sent with a key that was withdrawn.
	withdrawnKeys atomic.Uint64
}

func (l *callerLoad) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { l.runCaller(ctx, i) })
	}
	wg.Wait()
}

func (l *callerLoad) runCaller(ctx context.Context, i int) {
	rng := rand.New(rand.NewPCG(l.cluster.cfg.Seed, uint64(i))) //nolint:gosec // Not a secret.
	client, end := newClient()
	defer end()
	for ctx.Err() == nil {
		l.send(ctx, client, rng)
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(callerPause)))
	}
}

// newClient returns a client with its own connections, and a function that ends them.
func newClient() (client *http.Client, end func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	return &http.Client{Transport: transport, Timeout: requestTimeLimit + time.Second}, transport.CloseIdleConnections
}

// newRequest returns a request with a key, without one if it is empty. Some requests claim
// to belong to another workspace.
func (l *callerLoad) newRequest(ctx context.Context, gateway int, path, id, key string) (*http.Request, error) {
	method := http.MethodGet
	var body io.Reader
	if path == "/once/x" {
		method, body = http.MethodPost, strings.NewReader("body of "+id)
	}
	url := fmt.Sprintf("http://%s:%d%s", l.cluster.gatewayIP(gateway), gatewayPort, path)
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	r.Host = host
	r.Header.Set(headers.RequestID, id)
	r.Header.Set(headers.TimeLeftMS, fmt.Sprint(requestTimeLimit.Milliseconds()))
	if key != "" {
		r.Header.Set(headers.Key, key)
	}
	if strings.HasSuffix(id, "7") {
		r.Header.Set(headers.Workspace, spoofedWorkspace)
	}
	return r, nil
}

func (l *callerLoad) send(ctx context.Context, client *http.Client, rng *rand.Rand) {
	gateway := rng.IntN(l.cluster.cfg.Gateways)
	id := fmt.Sprintf("q%d", l.requestSeq.Add(1))
	path := [...]string{"/one/x", "/once/x", "/all/x"}[rng.IntN(3)]
	r, err := l.newRequest(ctx, gateway, path, id, keyOf(steadyWorkspace))
	if err != nil {
		l.cluster.ledger.addViolation("request not made: %v", err)
		return
	}
	l.counts.sent.Add(1)
	sentAt := time.Now()
	l.cluster.ledger.notices.addEntry(id, gateway, path != "/all/x" || l.cluster.cfg.Shards < dividedShards)
	l.cluster.ledger.traffic.addSentAt(l.cluster.servicesOf(path), sentAt)
	l.cluster.ledger.identities.add(id, steadyWorkspace)
	resp, err := client.Do(r)
	l.cluster.ledger.notices.endEntry(id)
	if err != nil {
		l.counts.failed.Add(1)
		l.checkRanOnce(path, id, 0)
		l.checkStop(ctx, err, l.cluster.gateways[gateway], sentAt, path, id)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		l.counts.failed.Add(1)
		l.checkStop(ctx, err, l.cluster.gateways[gateway], sentAt, path, id)
	case resp.StatusCode == http.StatusOK:
		l.counts.served.Add(1)
		l.checkAnswer(path, id, resp.Header, string(got))
	case resp.StatusCode == http.StatusServiceUnavailable:
		l.counts.refused.Add(1)
	default:
		l.counts.failed.Add(1)
		l.checkStatus(resp.StatusCode, id)
	}
	l.checkRanOnce(path, id, resp.StatusCode)
}

// checkAnswer checks a 200 response. On a route to one service, it must be the
// complete response of a target to this request. On the fan-out route, it must
// be the topK greatest records of the parts named in its headers, with each service
// named at most once and at most one missing.
func (l *callerLoad) checkAnswer(path, id string, h http.Header, body string) {
	if path != "/all/x" {
		target, _, _ := strings.Cut(h.Get(headers.Signature), signatureSeparator)
		l.cluster.ledger.notices.addPassedOn(target, id, time.Now())
		if !strings.HasSuffix(h.Get(headers.Signature), signatureSeparator+id) || body != answerBody("single", id) {
			l.cluster.ledger.addViolation("request %s got signature %q and body %q", id, h.Get(headers.Signature), body)
		}
		return
	}
	parts := strings.Split(h.Get(headers.PartSignatures), ", ")
	if fmt.Sprint(l.cluster.cfg.Shards-len(parts)) != h.Get(headers.MissingParts) || len(parts) < l.cluster.cfg.Shards-1 {
		l.cluster.ledger.addViolation("request %s names %d parts and %s missing", id, len(parts), h.Get(headers.MissingParts))
	}
	seen := map[string]bool{}
	var records []string
	for _, p := range parts {
		target, requestID, _ := strings.Cut(p, signatureSeparator)
		l.cluster.ledger.notices.addPassedOn(target, id, time.Now())
		service := l.serviceOfTarget(target)
		if requestID != id || seen[service] || service == "" {
			l.cluster.ledger.addViolation("request %s names the part %q", id, p)
		}
		seen[service] = true
		partRecords := answerBody(service, id)
		records = append(records, partRecords[:16], partRecords[16:])
	}
	if want := topRecords(records, l.cluster.topK()); body != want {
		l.cluster.ledger.addViolation("request %s got %q, the parts say %q", id, body, want)
	}
}

// topRecords concatenates the n greatest records, greatest first.
func topRecords(records []string, n int) string {
	out := ""
	for range min(n, len(records)) {
		best := 0
		for i := range records {
			if records[i] > records[best] {
				best = i
			}
		}
		out += records[best]
		records = append(records[:best:best], records[best+1:]...)
	}
	return out
}

// serviceOfTarget returns the service of a target id, or "" if it is unknown.
func (l *callerLoad) serviceOfTarget(target string) string {
	for _, t := range l.cluster.startedTargets() {
		if t.id == target {
			return t.service
		}
	}
	return ""
}

// checkRanOnce checks that a non-idempotent request ran at most once, and not at
// all if it was refused with 503, 429 or 401, which state that it did not run. A status of
// 0 means that no response arrived.
func (l *callerLoad) checkRanOnce(path, id string, status int) {
	if path != "/once/x" {
		return
	}
	if l.onceChecks.Add(1)%plantedRunInterval == 0 && l.cluster.cfg.Plant == "twice" {
		l.cluster.ledger.recordRun(id, "single", "planted")
		l.cluster.ledger.recordRun(id, "single", "planted")
	}
	runs := l.cluster.ledger.runCount(id, "single")
	if runs > 1 {
		l.cluster.ledger.addViolation("request %s ran %d times", id, runs)
	}
	if (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusUnauthorized) && runs > 0 {
		l.cluster.ledger.addViolation("request %s was refused as not run and ran", id)
	}
}

// checkStop checks that a planned stop of a gateway didn't cut a request that a target
// had run. err is how the request ended.
func (l *callerLoad) checkStop(ctx context.Context, err error, p *process, sentAt time.Time, path, id string) {
	var netErr net.Error
	if ctx.Err() != nil || errors.As(err, &netErr) && netErr.Timeout() || !p.cutsByStop(sentAt) {
		return
	}
	for _, service := range l.cluster.servicesOf(path) {
		if l.cluster.ledger.runCount(id, service) > 0 {
			l.cluster.ledger.addViolation("request %s was cut by the planned stop of %s after %v: %v", id, p.name, time.Since(sentAt), err)
			return
		}
	}
}

// checkStatus checks that a valid request gets no 3xx or 4xx response.
func (l *callerLoad) checkStatus(status int, id string) {
	if status >= 300 && status < 500 {
		l.cluster.ledger.addViolation("request %s was denied with %d", id, status)
	}
}
