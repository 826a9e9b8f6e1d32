package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func (r *runner) killGateway(ctx context.Context, _ time.Duration) {
	i := r.rng.IntN(r.cluster.cfg.Gateways)
	p := r.cluster.gateways[i]
	r.printf("kill %s", p.name)
	p.kill()
	r.restartGateway(ctx, i)
}

func (r *runner) freezeGateway(_ context.Context, d time.Duration) {
	p := r.cluster.gateways[r.rng.IntN(r.cluster.cfg.Gateways)]
	r.printf("freeze %s for %v", p.name, d)
	p.signal(syscall.SIGSTOP)
	r.undoAfter(d, func() { p.signal(syscall.SIGCONT) })
}

// stopGateway shuts a gateway down gracefully while callers keep using their
// connections to it, in some cases for requests that take long.
func (r *runner) stopGateway(ctx context.Context, _ time.Duration) {
	i := r.rng.IntN(r.cluster.cfg.Gateways)
	p := r.cluster.gateways[i]
	r.printf("stop %s", p.name)
	single := r.cluster.targetsOf(r.cluster.cfg.Shards)
	longWork := r.variants.IntN(2) == 0
	if longWork {
		setModes(single, targetLong)
	}
	p.signal(syscall.SIGTERM)
	r.background.Go(func() {
		begun := time.Now()
		p.wait(gracePeriod + 5*time.Second)
		if longWork {
			setModes(single, targetOK)
		}
		if took := time.Since(begun); took > gracePeriod+time.Second {
			r.printf("%s took %v to stop", p.name, took)
		}
		r.restartGateway(ctx, i)
	})
	time.Sleep(gracePeriod)
}

// checkGatewayConfig checks that a gateway obeys the newest acknowledged configuration, or
// a newer one, within a time. The check ends if the gateway is disturbed meanwhile.
func (r *runner) checkGatewayConfig(ctx context.Context, i int, within time.Duration) {
	acked := r.operator.newestAcked()
	begun, version := time.Now(), uint64(0)
	for time.Since(begun) < within {
		if version = r.gatewayVersion(ctx, i); version >= acked || r.cluster.gateways[i].disturbedSince(begun) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.cluster.ledger.addViolation("gateway %d obeys version %d after %v, %d was acknowledged", i, version, within, acked)
}

// restartGateway starts a gateway that has ended and checks its configuration beside
// further disruptions.
func (r *runner) restartGateway(ctx context.Context, i int) {
	r.restart(r.cluster.gateways[i])
	r.background.Go(func() { r.checkGatewayConfig(ctx, i, recoveryTimeout) })
}

// gatewayVersion returns the version of the routes in force at a gateway, 0 if it is
// unknown.
func (r *runner) gatewayVersion(ctx context.Context, i int) uint64 {
	url := fmt.Sprintf("http://%s:%d/status", r.cluster.gatewayIP(i), pagesPort)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	page, _ := io.ReadAll(resp.Body) // A part of it has no version.
	_, rest, _ := strings.Cut(string(page), "routes: version ")
	var version uint64
	_, _ = fmt.Sscan(rest, &version) // No number leaves 0.
	return version
}
