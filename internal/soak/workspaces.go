package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/platform/fake"
)

// The workspaces of all configurations. The callers' load belongs to the first one, which
// has no quota. The key of the last one changes with each configuration.
const (
	steadyWorkspace   = "steady"
	limitedWorkspace  = "limited"
	rotatingWorkspace = "rotating"
	// keyMark is in all keys, so that targets find one in any header.
	keyMark = "-secret-key"
	// spoofedWorkspace is what some callers claim to be.
	spoofedWorkspace = "spoofed"
	// keyedCallers send requests with other keys than the callers' load, keyedPause apart
	// on average: several times the quota.
	keyedCallers = 2
	keyedPause   = 20 * time.Millisecond
)

// The quota of limitedWorkspace, and what the settings state on quotas.
const (
	quotaRate    = 10
	quotaBurst   = 10
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

func keyOf(workspace string) string { return workspace + keyMark }

// rotatingKey returns the key of rotatingWorkspace in the configuration of a version.
func rotatingKey(version uint64) string { return fmt.Sprint(keyOf(rotatingWorkspace), "-", version) }

// workspaces returns the workspaces of the configuration of a version.
func workspaces(version uint64) []fake.Workspace {
	return []fake.Workspace{
		{Name: steadyWorkspace, Key: keyOf(steadyWorkspace)},
		{Name: limitedWorkspace, Key: keyOf(limitedWorkspace), RatePerS: quotaRate, Burst: quotaBurst},
		{Name: rotatingWorkspace, Key: rotatingKey(version)},
	}
}

// keyedRequest is a request of a workspace, empty if its key must be refused.
type keyedRequest struct {
	workspace string
	sentAt    time.Time
	// arrivedAt is when it first reached a target, zero if it didn't.
	arrivedAt time.Time
}

// identities records which workspace requests belong to, and checks what targets learn of
// it. Its methods may be called concurrently.
type identities struct {
	mu       sync.Mutex
	requests map[string]*keyedRequest
}

func newIdentities() *identities { return &identities{requests: map[string]*keyedRequest{}} }

// add records that a request is sent now for a workspace.
func (s *identities) add(id, workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[id] = &keyedRequest{workspace: workspace, sentAt: time.Now()}
}

// arrive records that a request reached a target with a header, and returns the violation,
// "" if there is none.
func (s *identities) arrive(id, target string, h http.Header, now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.requests[id]
	if q == nil {
		return ""
	}
	if q.arrivedAt.IsZero() {
		q.arrivedAt = now
	}
	for name, values := range h {
		if name == http.CanonicalHeaderKey(headers.Key) || strings.Contains(strings.Join(values, ","), keyMark) {
			return fmt.Sprintf("request %s reached %s with a key in the header %s", id, target, name)
		}
	}
	if got := h.Values(headers.Workspace); q.workspace == "" || !slices.Equal(got, []string{q.workspace}) {
		return fmt.Sprintf("request %s reached %s for the workspaces %q, not %q", id, target, got, q.workspace)
	}
	return ""
}

// worstWindow describes the window in which most requests of limitedWorkspace were sent
// and arrived. over is whether its quota allows fewer.
func (s *identities) worstWindow() (text string, over bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*keyedRequest
	for _, q := range s.requests {
		if q.workspace == limitedWorkspace && !q.arrivedAt.IsZero() {
			list = append(list, q)
		}
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	most := 0
	for _, first := range list {
		n := 0
		for _, q := range list {
			if !q.sentAt.Before(first.sentAt) && !q.arrivedAt.After(first.sentAt.Add(quotaWindow)) {
				n++
			}
		}
		if n > most {
			most, text = n, fmt.Sprintf("%d requests of %s were sent and arrived within %v from %s, allowed %.0f",
				n, limitedWorkspace, quotaWindow, first.sentAt.Format("15:04:05.000"), allowed)
		}
	}
	return text, float64(most) > allowed
}

// runKeyed sends requests of limitedWorkspace beyond its quota, and some with keys that
// must be refused.
func (l *callerLoad) runKeyed(ctx context.Context, i int, gatewayVersion func(context.Context, int) uint64, sentBefore func(uint64) uint64) {
	rng := rand.New(rand.NewPCG(l.cluster.cfg.Seed, 1000+uint64(i))) //nolint:gosec // Not a secret.
	client, end := newClient()
	defer end()
	for ctx.Err() == nil {
		gateway := rng.IntN(l.cluster.cfg.Gateways)
		switch rng.IntN(10) {
		case 0:
			l.sendKeyed(ctx, client, rng, gateway, [...]string{"", "unknown" + keyMark, keyOf(steadyWorkspace) + "x"}[rng.IntN(3)], "")
		case 1:
			// The version in force at the gateway may be newer by now, but never older.
			if before := sentBefore(gatewayVersion(ctx, gateway)); before > 0 {
				l.withdrawnKeys.Add(1)
				l.sendKeyed(ctx, client, rng, gateway, rotatingKey(before), "")
			}
		default:
			l.sendKeyed(ctx, client, rng, gateway, keyOf(limitedWorkspace), limitedWorkspace)
		}
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(keyedPause)))
	}
}

// sendKeyed sends a request with a key for a workspace, empty if the key must be refused,
// and checks the status.
func (l *callerLoad) sendKeyed(ctx context.Context, client *http.Client, rng *rand.Rand, gateway int, key, workspace string) {
	path := [...]string{"/one/x", "/once/x"}[rng.IntN(2)]
	id := fmt.Sprintf("k%d", l.requestSeq.Add(1))
	r, err := l.newRequest(ctx, gateway, path, id, key)
	if err != nil {
		l.cluster.ledger.addViolation("request not made: %v", err)
		return
	}
	l.cluster.ledger.identities.add(id, workspace)
	l.cluster.ledger.notices.addEntry(id, gateway, true)
	sentAt, status := time.Now(), 0
	resp, err := client.Do(r)
	l.cluster.ledger.notices.endEntry(id)
	if err == nil {
		status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body) // The status is enough.
		_ = resp.Body.Close()
	}
	refused := status == http.StatusTooManyRequests || status == http.StatusUnauthorized
	if !refused {
		l.cluster.ledger.traffic.addSentAt(l.cluster.servicesOf(path), sentAt)
	}
	if workspace == "" && (status == http.StatusOK || status == http.StatusTooManyRequests) {
		l.cluster.ledger.addViolation("request %s of gateway %d with the wrong key %q got %d", id, gateway, key, status)
	}
	if workspace != "" && status >= 300 && status < 500 && status != http.StatusTooManyRequests {
		l.cluster.ledger.addViolation("request %s of gateway %d with a key of %s got %d", id, gateway, workspace, status)
	}
	l.checkRanOnce(path, id, status)
}
