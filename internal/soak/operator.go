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

// plantedVersions is how much newer than the newest version a planted one is.
const plantedVersions = 100

// objective is that of all routes.
const objective = 300 * time.Millisecond

// operator changes the configuration, evacuates data centres, and reads the
// configuration back from all members.
type operator struct {
	cluster *cluster
	client  *http.Client

	mu sync.Mutex
	// acked is the newest acknowledged version, and ackedAt the time of its
	// acknowledgement.
	acked   uint64
	ackedAt time.Time
	// sent holds the route document of each version sent.
	sent map[uint64][]byte
	// version is the newest version sent, and added the number of routes that no caller
	// uses.
	version uint64
	added   int
}

func newOperator(c *cluster) *operator {
	return &operator{cluster: c, client: &http.Client{Timeout: 1500 * time.Millisecond}, sent: map[uint64][]byte{}, version: 1}
}

// routeDocument returns the configuration of a version: a route to one service
// for idempotent requests, one for non-idempotent requests, and one that fans
// out to all shards.
func (c *cluster) routeDocument(version uint64, added int) []byte {
	shardServices := c.servicesOf("/all/x")
	return fake.WithWorkspaces(fake.RouteDocument(version, append([]fake.Route{
		{Host: host, Prefix: "/one/", Idempotent: true, Services: []string{"single"}, TimeLimitMS: 2000, ObjectiveMS: int(objective.Milliseconds())},
		{Host: host, Prefix: "/once/", Services: []string{"single"}, TimeLimitMS: 2000, ObjectiveMS: int(objective.Milliseconds())},
		{Host: host, Prefix: "/all/", Idempotent: true, Services: shardServices, MaxMissing: 1, TimeLimitMS: 2000, ObjectiveMS: int(objective.Milliseconds()), TopK: c.topK()},
	}, addedRoutes(added)...)), workspaces(version))
}

// changeConfig sends a new version to the members in turn until one acknowledges
// it or ctx is done. It reports whether the version was acknowledged.
func (o *operator) changeConfig(ctx context.Context) bool {
	o.mu.Lock()
	o.version += 1 + o.version%3
	version := o.version
	body := o.cluster.routeDocument(version, o.added)
	o.sent[version] = body
	o.mu.Unlock()
	for i := 0; ctx.Err() == nil; i++ {
		status, _, err := o.call(ctx, http.MethodPut, i%controls, fake.PathConfig, body)
		if err == nil && status == http.StatusOK {
			o.ack(version)
			return true
		}
		if err == nil && status >= 400 && status < 500 {
			o.cluster.ledger.addViolation("version %d was refused with %d", version, status)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// newestAcked returns the newest acknowledged version.
func (o *operator) newestAcked() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cluster.cfg.Plant == "lost" && o.acked > 0 {
		return o.acked + plantedVersions
	}
	return o.acked
}

// sentBefore returns the newest version sent that is older than one, 0 if there is none.
func (o *operator) sentBefore(version uint64) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	newest := uint64(0)
	for v := range o.sent {
		if v < version {
			newest = max(newest, v)
		}
	}
	return newest
}

// setAddedRoutes sets how many routes that no caller uses further configurations have.
func (o *operator) setAddedRoutes(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.added = n
}

func (o *operator) ack(version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version > o.acked {
		o.acked, o.ackedAt = version, time.Now()
	}
}

// evacuate takes a data centre out (POST) or brings it back (DELETE). It retries
// at the members in turn until one acknowledges or ctx is done, and reports
// whether one did.
func (o *operator) evacuate(ctx context.Context, method, dc string) bool {
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
	url := fmt.Sprintf("http://%s:%d%s", o.cluster.memberIP(member), controlPort, path)
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

// pollConfig calls checkRead for random members until ctx is done.
func (o *operator) pollConfig(ctx context.Context) {
	rng := rand.New(rand.NewPCG(o.cluster.cfg.Seed, 99)) //nolint:gosec // Not a secret.
	for ctx.Err() == nil {
		o.checkRead(ctx, rng.IntN(controls))
		time.Sleep(150 * time.Millisecond)
	}
}

// checkRead reads the configuration from one member and reports whether the
// member answered. The configuration must be one that was sent, and must not be
// older than a version that was acknowledged more than applyBound ago.
func (o *operator) checkRead(ctx context.Context, member int) bool {
	acked := o.newestAcked()
	o.mu.Lock()
	mustApply := time.Since(o.ackedAt) > applyBound
	o.mu.Unlock()
	status, got, err := o.call(ctx, http.MethodGet, member, fake.PathConfig, nil)
	if err != nil || status != http.StatusOK {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	version, found := uint64(0), false
	for v, body := range o.sent {
		if bytes.Equal(body, got) {
			version, found = v, true
		}
	}
	if !found {
		o.cluster.ledger.addViolation("member %d gave a configuration that was never sent", member)
	}
	if mustApply && version < acked {
		o.cluster.ledger.addViolation("member %d gave version %d, %d was acknowledged", member, version, acked)
	}
	return true
}
