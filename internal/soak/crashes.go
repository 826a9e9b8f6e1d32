package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/internal/wait"
)

const (
	// crashWord is in the path of requests that crash the targets that run them.
	crashWord = "crash"
	// crashesToLearn is the number of crashes after which a request must be known, and
	// maxCrashRetries how many targets it may reach later than contactTime after that.
	crashesToLearn  = 3
	maxCrashRetries = 3
)

// crashes records what requests that crash targets reach. Its methods may be called
// concurrently.
type crashes struct {
	mu     sync.Mutex
	byPath map[string]*crashing
}

// crashing is what one such request reached.
type crashing struct {
	count int
	// learnedAt is the time of the last crash that gateways may need to learn, and late are
	// the ids of requests that reached targets too long after it.
	learnedAt time.Time
	late      []string
}

// arrive records that a request reaches a target, and returns a violation, "" if there is
// none. excused reports whether a disruption since a time excuses the sender.
func (c *crashes) arrive(path, id string, excused func(since time.Time) bool) string {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.byPath[path]
	if x == nil {
		x = &crashing{}
		c.byPath[path] = x
	}
	x.count++
	if x.count == crashesToLearn {
		x.learnedAt = now
	}
	if x.count <= crashesToLearn || now.Sub(x.learnedAt) < contactTime || excused(now.Add(-contactTime)) {
		return ""
	}
	if slices.Contains(x.late, id) {
		return ""
	}
	x.late = append(x.late, id)
	if len(x.late) != maxCrashRetries+1 {
		return ""
	}
	return fmt.Sprintf("request %s, which crashes targets, reached some as %v more than %v after it had crashed %d", path, x.late, contactTime, crashesToLearn)
}

// disruptByCrashes sends requests that crash the targets that run them, again and again
// through any gateway, beside the other disruptions, until cfg.Duration has passed or ctx
// ends. Its random numbers are its own, so that the other disruptions of a seed don't
// depend on it.
func (r *runner) disruptByCrashes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cluster.cfg.Duration)
	defer cancel()
	rng := rand.New(rand.NewPCG(r.cluster.cfg.Seed, 29)) //nolint:gosec // Not a secret.
	client, end := newClient()
	defer end()
	for n := 0; ctx.Err() == nil; n++ {
		path := fmt.Sprintf("%s%s-%d", [...]string{"/one/", "/all/"}[rng.IntN(2)], crashWord, n)
		r.printf("request %s crashes targets", path)
		for until := time.Now().Add(contactTime + time.Duration(2+rng.IntN(6))*time.Second); time.Now().Before(until) && ctx.Err() == nil; {
			r.load.sendCrashing(ctx, client, rng, path)
			wait.For(ctx, time.Duration(50+rng.IntN(300))*time.Millisecond)
		}
		wait.For(ctx, time.Duration(rng.IntN(4000))*time.Millisecond)
	}
}

// sendCrashing sends one request that crashes targets. No answer is owed to it.
func (l *callerLoad) sendCrashing(ctx context.Context, client *http.Client, rng *rand.Rand, path string) {
	gateway := rng.IntN(l.cluster.cfg.Gateways)
	id := fmt.Sprintf("q%d", l.requestSeq.Add(1))
	r, err := l.newRequest(ctx, gateway, path, id, keyOf(steadyWorkspace))
	if err != nil {
		l.cluster.ledger.addViolation("request not made: %v", err)
		return
	}
	all := strings.HasPrefix(path, "/all/")
	route := "/one/x"
	if all {
		route = "/all/x"
	}
	l.cluster.ledger.notices.addEntry(id, gateway, !all || l.cluster.cfg.Shards < dividedShards)
	l.cluster.ledger.traffic.addSentAt(l.cluster.servicesOf(route), time.Now())
	l.cluster.ledger.identities.add(id, steadyWorkspace)
	resp, err := client.Do(r)
	l.cluster.ledger.notices.endEntry(id)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < http.StatusInternalServerError {
		l.cluster.ledger.addViolation("request %s, which crashes targets, was answered with %d, signature %q", id, resp.StatusCode, resp.Header.Get(headers.Signature))
	}
}

// crash ends all connections of the target if the request crashes it.
func (t *standinTarget) crash(w http.ResponseWriter, r *http.Request, id string) bool {
	if !t.crashesOn(r, id) {
		return false
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = c.(*net.TCPConn).Close()
	}
	t.server.CloseClientConnections()
	return true
}

// crashesOn reports whether a request that arrives now crashes the target, and checks that
// it may still arrive.
func (t *standinTarget) crashesOn(r *http.Request, id string) bool {
	if !strings.Contains(r.URL.Path, crashWord) {
		return false
	}
	gateway, known := t.ledger.notices.sender(id)
	excused := func(since time.Time) bool { return !known || t.ledger.excused(t, gateway, since) }
	if text := t.ledger.crashes.arrive(r.URL.Path, id, excused); text != "" {
		t.ledger.addViolation("%s", text)
	}
	t.ledger.recordRun(id, t.service, t.id)
	time.Sleep(workTime)
	return true
}
