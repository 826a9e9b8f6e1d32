package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/platform/fake"
)

// operator changes the configuration and reads it back at any member.
type operator struct {
	w      *world
	client *http.Client

	mu sync.Mutex
	// acked is the newest acknowledged version and when it was.
	acked   uint64
	ackedAt time.Time
	sent    map[uint64][]byte
	version uint64
}

func newOperator(w *world) *operator {
	return &operator{w: w, client: &http.Client{Timeout: 1500 * time.Millisecond}, sent: map[uint64][]byte{}, version: 1}
}

func document(version uint64) []byte {
	var all []string
	for i := range shards {
		all = append(all, serviceName(i))
	}
	return fake.RouteDocument(version, []fake.Route{
		{Host: host, Prefix: "/one/", Idempotent: true, Services: []string{"single"}, TimeLimitMS: 2000, ObjectiveMS: 300},
		{Host: host, Prefix: "/once/", Services: []string{"single"}, TimeLimitMS: 2000, ObjectiveMS: 300},
		{Host: host, Prefix: "/all/", Idempotent: true, Services: all, MaxMissing: 1, TimeLimitMS: 2000, ObjectiveMS: 300, TopK: 3},
	})
}

// change sends a new version until it is acknowledged or ctx ends.
func (o *operator) change(ctx context.Context) bool {
	o.mu.Lock()
	o.version += 1 + o.version%3
	version := o.version
	body := document(version)
	o.sent[version] = body
	o.mu.Unlock()
	for i := 0; ctx.Err() == nil; i++ {
		status, _, err := o.call(ctx, http.MethodPut, i%controls, fake.PathConfig, body)
		if err == nil && status == http.StatusOK {
			o.ack(version)
			return true
		}
		if err == nil && status >= 400 && status < 500 {
			o.w.ledger.fault("version %d was refused with %d", version, status)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (o *operator) ack(version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version > o.acked {
		o.acked, o.ackedAt = version, time.Now()
	}
}

// order takes a data centre out or brings it back.
func (o *operator) order(ctx context.Context, method, dc string) bool {
	for i := 0; ctx.Err() == nil; i++ {
		status, _, err := o.call(ctx, method, i%controls, fake.PathEvacuation(dc), nil)
		if err == nil && status == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (o *operator) call(ctx context.Context, method string, member int, path string, body []byte) (int, []byte, error) {
	url := fmt.Sprintf("http://%s:%d%s", o.w.cfg.controlIP(member), controlPort, path)
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := o.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return resp.StatusCode, got, err
}

// watch reads the configuration at any member and checks that it is never older
// than what was acknowledged before.
func (o *operator) watch(ctx context.Context) {
	random := rand.New(rand.NewPCG(o.w.cfg.Seed, 99)) //nolint:gosec // Not a secret.
	for ctx.Err() == nil {
		o.read(ctx, random.IntN(controls))
		time.Sleep(150 * time.Millisecond)
	}
}

// read reads at one member; it reports whether the member answered.
func (o *operator) read(ctx context.Context, member int) bool {
	o.mu.Lock()
	acked := o.acked
	if o.w.cfg.Plant == "lost" && acked > 0 {
		acked += 100
	}
	due := time.Since(o.ackedAt) > applyTime
	o.mu.Unlock()
	status, got, err := o.call(ctx, http.MethodGet, member, fake.PathConfig, nil)
	if err != nil || status != http.StatusOK {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	version, known := uint64(0), false
	for v, body := range o.sent {
		if bytes.Equal(body, got) {
			version, known = v, true
		}
	}
	if !known {
		o.w.ledger.fault("member %d gave a configuration that was never sent", member)
	}
	if due && version < acked {
		o.w.ledger.fault("member %d gave version %d, %d was acknowledged", member, version, acked)
	}
	return true
}
