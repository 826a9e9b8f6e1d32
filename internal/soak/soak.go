package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/peridotmux/peridotmux/internal/endless"
	"github.com/peridotmux/peridotmux/internal/wait"
)

// startTimeout bounds the time until the first configuration is acknowledged and
// all gateways are ready.
const startTimeout = 15 * time.Second

// Result is the outcome of a soak.
type Result struct {
	// Violations describes each guarantee that was found violated.
	Violations []string
	// Sent is the number of requests that callers sent. Served counts the 200
	// responses to them, Refused the 503 responses, and Failed all others and the
	// requests without a response.
	Sent, Served, Refused, Failed int64
	// Disruptions is the number of disruptions drawn, including those skipped
	// because not all members answered first.
	Disruptions int
}

// runner runs one soak.
type runner struct {
	cluster  *cluster
	load     *callerLoad
	operator *operator
	rng      *rand.Rand
	// variants draws how a disruption is done, so that the order of those of a seed
	// doesn't depend on it.
	variants    *rand.Rand
	disruptions int
	result      Result
	// background counts disruptions that are still in progress, such as pending
	// undos and restarts.
	background sync.WaitGroup
	// mostMemoryMB is the most memory that a process was seen to use, in MiB. Only
	// watchMemory uses it while it runs.
	mostMemoryMB int
	// outMu guards cfg.Out.
	outMu sync.Mutex
}

// Run starts a cluster, disrupts it at random for cfg.Duration under load, checks
// that it recovers, and stops it. Violated guarantees are in the result; the
// error is set only if the cluster could not be started.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	cfg.Gateways, cfg.Shards = cmp.Or(cfg.Gateways, defaultGateways), cmp.Or(cfg.Shards, defaultShards)
	c, err := newCluster(cfg)
	if err != nil {
		return nil, err
	}
	defer c.close()
	r := &runner{
		cluster: c, load: &callerLoad{cluster: c}, operator: newOperator(c),
		rng:      rand.New(rand.NewPCG(cfg.Seed, 1)),  //nolint:gosec // Not a secret.
		variants: rand.New(rand.NewPCG(cfg.Seed, 13)), //nolint:gosec // Not a secret.
	}
	r.waitServing(ctx)
	work, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { r.load.run(work) })
	for i := range keyedCallers {
		wg.Go(func() { r.load.runKeyed(work, i, r.gatewayVersion, r.operator.sentBefore) })
	}
	wg.Go(func() { r.operator.pollConfig(work) })
	wg.Go(func() { r.disruptResponses(work) })
	wg.Go(func() { r.disruptInputs(work) })
	wg.Go(func() { r.watchMemory(work) })
	var beside sync.WaitGroup
	beside.Go(func() { r.disruptByNotices(work) })
	beside.Go(func() { r.rollOut(work) })
	beside.Go(func() { r.disruptByCrowds(work) })
	beside.Go(func() { r.disruptByLimits(work) })
	beside.Go(func() { r.disruptByCrashes(work) })
	for until := time.Now().Add(cfg.Duration); time.Now().Before(until) && ctx.Err() == nil; {
		r.disrupt(ctx)
		r.collectViolations()
		time.Sleep(time.Duration(500+r.rng.IntN(1500)) * time.Millisecond)
	}
	beside.Wait()
	r.background.Wait()
	r.checkRecovery(ctx)
	stop()
	wg.Wait()
	r.printNotices()
	r.printf("no process used more than %d MiB of memory", r.mostMemoryMB)
	r.checkTraffic()
	r.collectViolations()
	for _, p := range c.processes() {
		if n := p.unexpectedExits(); n > 0 {
			r.result.Violations = append(r.result.Violations, fmt.Sprintf("%s ended %d times by itself", p.name, n))
		}
	}
	n := &r.load.counts
	r.result.Sent, r.result.Served, r.result.Refused, r.result.Failed = n.sent.Load(), n.served.Load(), n.refused.Load(), n.failed.Load()
	r.result.Disruptions = r.disruptions
	return &r.result, nil
}

func (r *runner) printf(format string, args ...any) {
	r.outMu.Lock()
	defer r.outMu.Unlock()
	_, _ = fmt.Fprintf(r.cluster.cfg.Out, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
}

// collectViolations moves new violations to the result and prints them.
func (r *runner) collectViolations() {
	for _, f := range r.cluster.ledger.takeViolations() {
		r.printf("BROKEN %s", f)
		r.result.Violations = append(r.result.Violations, f)
	}
}

// waitServing sends the first configuration and waits until it is acknowledged
// and all gateways are ready.
func (r *runner) waitServing(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if !r.operator.changeConfig(ctx) {
		r.cluster.ledger.addViolation("the first configuration wasn't acknowledged in %v", startTimeout)
		return
	}
	for i := range r.cluster.cfg.Gateways {
		if !r.waitReady(ctx, i) {
			r.cluster.ledger.addViolation("gateway %d isn't ready after %v", i, startTimeout)
		}
	}
}

// waitReady polls gateway i's readiness and reports whether it became ready
// before ctx was done.
func (r *runner) waitReady(ctx context.Context, i int) bool {
	url := fmt.Sprintf("http://%s:%d/", r.cluster.gatewayIP(i), readinessPort)
	for ctx.Err() == nil {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return false
		}
		resp, err := http.DefaultClient.Do(q)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// disrupt starts one random disruption. Those that last are undone in the
// background, so that several can overlap.
func (r *runner) disrupt(ctx context.Context) {
	r.disruptions++
	duration := time.Duration(500+r.rng.IntN(3000)) * time.Millisecond
	actions := []func(context.Context, time.Duration){
		r.killControl, r.freezeControl, r.loseDisk, r.disruptControlLink, r.killGateway, r.freezeGateway,
		r.stopGateway, r.reloadAll, r.disruptTarget, r.disruptTargetLink, r.changeConfig, r.takeOutDataCentre, r.killAllControl, r.resetAllLinks,
	}
	actions[r.rng.IntN(len(actions))](ctx, duration)
}

// undoAfter calls undo in the background after d.
func (r *runner) undoAfter(d time.Duration, undo func()) {
	r.background.Go(func() {
		time.Sleep(d)
		undo()
	})
}

func (r *runner) restart(p *process) {
	if err := p.start(); err != nil {
		r.cluster.ledger.addViolation("%s not started: %v", p.name, err)
	}
}

func (r *runner) killControl(_ context.Context, _ time.Duration) {
	p := r.cluster.member(r.rng.IntN(controls)).process
	r.printf("kill %s", p.name)
	p.kill()
	r.restart(p)
}

func (r *runner) freezeControl(_ context.Context, d time.Duration) {
	p := r.cluster.member(r.rng.IntN(controls)).process
	r.printf("freeze %s for %v", p.name, d)
	p.signal(syscall.SIGSTOP)
	r.undoAfter(d, func() { p.signal(syscall.SIGCONT) })
}

// waitAllMembers waits up to recoveryTimeout and reports whether every member
// has answered a read. A process answers reads only while it is a member of the
// group.
func (r *runner) waitAllMembers(ctx context.Context) bool {
	until := time.Now().Add(recoveryTimeout)
	for i := 0; i < controls && time.Now().Before(until); {
		if r.operator.checkRead(ctx, i) {
			i++
			continue
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Now().Before(until)
}

func (r *runner) disruptControlLink(_ context.Context, d time.Duration) {
	i := r.rng.IntN(controls)
	mode := linkMode(1 + r.rng.IntN(4)) //nolint:gosec // Below 5.
	r.printf("link to control-%d: mode %d for %v", i, mode, d)
	p := r.cluster.member(i).proxy
	p.setMode(mode)
	r.undoAfter(d, func() { p.setMode(linkPass); p.resetAll() })
}

// reloadAll makes all processes reload their settings.
func (r *runner) reloadAll(context.Context, time.Duration) {
	r.printf("hang up on all")
	for _, p := range r.cluster.processes() {
		p.signal(syscall.SIGHUP)
	}
}

func (r *runner) disruptTarget(_ context.Context, d time.Duration) {
	t := pick(r.rng, r.cluster.targetsInUse())
	mode := targetMode(1 + r.rng.IntN(3))
	r.printf("target %s: mode %d for %v", t.id, mode, d)
	t.setMode(mode)
	r.undoAfter(d, func() { t.setMode(targetOK) })
}

// disruptResponses lets one target after another send bytes without end for a while,
// beside the other disruptions, until cfg.Duration has passed or ctx ends. Its random
// numbers are its own, so that the other disruptions of a seed don't depend on it.
func (r *runner) disruptResponses(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cluster.cfg.Duration)
	defer cancel()
	rng := rand.New(rand.NewPCG(r.cluster.cfg.Seed, 7)) //nolint:gosec // Not a secret.
	for ctx.Err() == nil {
		t := pick(rng, r.cluster.targetsInUse())
		form := endless.Forms[rng.IntN(len(endless.Forms))]
		r.printf("target %s: endless %s", t.id, form)
		t.setEndless(form)
		wait.For(ctx, time.Duration(500+rng.IntN(1500))*time.Millisecond)
		t.setEndless("")
		wait.For(ctx, time.Duration(rng.IntN(2000))*time.Millisecond)
	}
}

func (r *runner) disruptTargetLink(_ context.Context, d time.Duration) {
	t := pick(r.rng, r.cluster.targetsInUse())
	mode := linkMode(1 + r.rng.IntN(4)) //nolint:gosec // Below 5.
	r.printf("link to target %s: mode %d for %v", t.id, mode, d)
	t.proxy.setMode(mode)
	r.undoAfter(d, func() { t.proxy.setMode(linkPass) })
}

func (r *runner) changeConfig(ctx context.Context, _ time.Duration) {
	r.printf("change the configuration")
	r.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
		defer cancel()
		r.operator.changeConfig(ctx)
	})
}

// takeOutDataCentre takes a data centre out while no other disruption is active,
// checks that its targets get no request from quietBound on for one second, and
// brings it back.
func (r *runner) takeOutDataCentre(ctx context.Context, _ time.Duration) {
	r.background.Wait()
	if !r.waitAllMembers(ctx) {
		return
	}
	dc := dataCentreOf(r.rng.IntN(3))
	r.printf("take out %s", dc)
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	if !r.operator.evacuate(ctx, http.MethodPost, dc) {
		r.cluster.ledger.addViolation("%s not taken out in %v", dc, recoveryTimeout)
		return
	}
	time.Sleep(quietBound)
	since := time.Now()
	if r.cluster.cfg.Plant == "late" {
		r.cluster.ledger.recordRun("planted", "single", r.cluster.targetsInUse()[dc[3]-'a'].id)
	}
	time.Sleep(time.Second)
	for _, t := range r.cluster.listedTargets() {
		r.cluster.ledger.mu.Lock()
		at := r.cluster.ledger.lastArrivals[t.id]
		r.cluster.ledger.mu.Unlock()
		if t.dc == dc && at.After(since) {
			r.cluster.ledger.addViolation("target %s of %s got work %v after it was taken out", t.id, dc, at.Sub(since)+quietBound)
		}
	}
	if !r.operator.evacuate(ctx, http.MethodDelete, dc) {
		r.cluster.ledger.addViolation("%s not brought back in %v", dc, recoveryTimeout)
	}
}

func (r *runner) killAllControl(context.Context, time.Duration) {
	r.printf("kill all of control")
	for i := range controls {
		r.cluster.member(i).process.kill()
	}
	for i := range controls {
		r.restart(r.cluster.member(i).process)
	}
}

func (r *runner) resetAllLinks(context.Context, time.Duration) {
	r.printf("reset all links")
	for i := range controls {
		r.cluster.member(i).proxy.resetAll()
	}
	for _, t := range r.cluster.targetsInUse() {
		t.proxy.resetAll()
	}
}

// checkRecovery checks that, after all disruptions have ended, all members answer,
// all gateways become ready, and at least 90% of the requests are served.
func (r *runner) checkRecovery(ctx context.Context) {
	r.printf("all harms ended")
	if !r.waitAllMembers(ctx) {
		r.cluster.ledger.addViolation("not every member answers %v after the last harm", recoveryTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for i := range r.cluster.cfg.Gateways {
		if !r.waitReady(ctx, i) {
			r.cluster.ledger.addViolation("gateway %d isn't ready %v after the last harm", i, recoveryTimeout)
		}
	}
	for i := range r.cluster.cfg.Gateways {
		r.checkGatewayConfig(ctx, i, applyBound)
	}
	time.Sleep(2 * time.Second)
	n := &r.load.counts
	asked, served := n.sent.Load(), n.served.Load()
	time.Sleep(2 * time.Second)
	asked, served = n.sent.Load()-asked, n.served.Load()-served
	if asked == 0 || float64(served) < 0.9*float64(asked) {
		r.cluster.ledger.addViolation("after all harms %d of %d requests were served", served, asked)
	}
}
