package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host = "soak.example"
	// callers is the number of callers, each with connections of its own.
	callers = 12
	// callerPause is the mean pause between two requests of a caller.
	callerPause = 60 * time.Millisecond
	callerLimit = 2 * time.Second
)

// callerCounts counts what became of requests.
type callerCounts struct{ asked, served, refused, failed atomic.Int64 }

// load sends requests and checks what comes back.
type load struct {
	w      *world
	counts callerCounts
	next   atomic.Uint64
}

func (l *load) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { l.caller(ctx, i) })
	}
	wg.Wait()
}

func (l *load) caller(ctx context.Context, i int) {
	random := rand.New(rand.NewPCG(l.w.cfg.Seed, uint64(i))) //nolint:gosec // Not a secret.
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callerLimit + time.Second}
	for ctx.Err() == nil {
		l.ask(ctx, client, random)
		time.Sleep(time.Duration(random.ExpFloat64() * float64(callerPause)))
	}
}

func (l *load) ask(ctx context.Context, client *http.Client, random *rand.Rand) {
	front := random.IntN(gateways)
	id := fmt.Sprintf("q%d", l.next.Add(1))
	path := [...]string{"/one/x", "/once/x", "/all/x"}[random.IntN(3)]
	method := http.MethodGet
	var body io.Reader
	if path == "/once/x" {
		method, body = http.MethodPost, strings.NewReader("body of "+id)
	}
	url := fmt.Sprintf("http://%s:%d%s", l.w.cfg.frontIP(front), frontPort, path)
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		l.w.ledger.fault("request not made: %v", err)
		return
	}
	r.Host = host
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.TimeLeftMS, fmt.Sprint(callerLimit.Milliseconds()))
	l.counts.asked.Add(1)
	resp, err := client.Do(r)
	if err != nil {
		l.counts.failed.Add(1)
		l.checkOnce(path, id, 0)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		l.counts.failed.Add(1)
	case resp.StatusCode == http.StatusOK:
		l.counts.served.Add(1)
		l.checkAnswer(path, id, resp.Header, string(got))
	case resp.StatusCode == http.StatusServiceUnavailable:
		l.counts.refused.Add(1)
	default:
		l.counts.failed.Add(1)
		l.checkDenied(resp.StatusCode, id)
	}
	l.checkOnce(path, id, resp.StatusCode)
}

// checkAnswer checks that an answer is a target's whole answer to its request, or
// the greatest records of the parts that it names.
func (l *load) checkAnswer(path, id string, h http.Header, body string) {
	if path != "/all/x" {
		if !strings.HasSuffix(h.Get(names.Signature), "."+id) || body != partBody("single", id) {
			l.w.ledger.fault("request %s got signature %q and body %q", id, h.Get(names.Signature), body)
		}
		return
	}
	parts := strings.Split(h.Get(names.PartSignatures), ", ")
	if fmt.Sprint(shards-len(parts)) != h.Get(names.MissingParts) || len(parts) < shards-1 {
		l.w.ledger.fault("request %s names %d parts and %s missing", id, len(parts), h.Get(names.MissingParts))
	}
	seen := map[string]bool{}
	var all []string
	for _, p := range parts {
		target, of, _ := strings.Cut(p, ".")
		service := l.serviceOf(target)
		if of != id || seen[service] || service == "" {
			l.w.ledger.fault("request %s names the part %q", id, p)
		}
		seen[service] = true
		b := partBody(service, id)
		all = append(all, b[:16], b[16:])
	}
	if body != topOf(all, 3) {
		l.w.ledger.fault("request %s got %q, the parts say %q", id, body, topOf(all, 3))
	}
}

func topOf(records []string, n int) string {
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

func (l *load) serviceOf(target string) string {
	for _, t := range l.w.targets {
		if t.id == target {
			return t.service
		}
	}
	return ""
}

// checkOnce checks that a request that may not be repeated ran at most once, and
// not at all after it was refused as not run.
func (l *load) checkOnce(path, id string, status int) {
	if path != "/once/x" {
		return
	}
	if l.w.cfg.Plant == "twice" && l.next.Load()%200 == 0 {
		l.w.ledger.run(id, "single", "planted")
		l.w.ledger.run(id, "single", "planted")
	}
	runs := l.w.ledger.ran(id, "single")
	if runs > 1 {
		l.w.ledger.fault("request %s ran %d times", id, runs)
	}
	if status == http.StatusServiceUnavailable && runs > 0 {
		l.w.ledger.fault("request %s was refused as not run and ran", id)
	}
}

// checkDenied checks that no proper request is denied.
func (l *load) checkDenied(status int, id string) {
	if status >= 300 && status < 500 {
		l.w.ledger.fault("request %s was denied with %d", id, status)
	}
}
