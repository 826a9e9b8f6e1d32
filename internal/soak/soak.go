package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// startTime bounds the time until the system serves.
const startTime = 15 * time.Second

// Result is what a soak found.
type Result struct {
	Violations                    []string
	Sent, Served, Refused, Failed int64
	Disruptions                   int
}

// runner is one soak.
type runner struct {
	w        *world
	load     *load
	operator *operator
	random   *rand.Rand
	harms    int
	result   Result
	// restarts waits for what harm does beside others.
	restarts sync.WaitGroup
}

// Run soaks and returns what it found. The error says that it couldn't begin.
func Run(ctx context.Context, c Config) (*Result, error) {
	w, err := newWorld(c)
	if err != nil {
		return nil, err
	}
	defer w.close()
	r := &runner{
		w: w, load: &load{w: w}, operator: newOperator(w),
		random: rand.New(rand.NewPCG(c.Seed, 1)), //nolint:gosec // Not a secret.
	}
	r.begin(ctx)
	work, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { r.load.run(work) })
	wg.Go(func() { r.operator.watch(work) })
	for until := time.Now().Add(c.Duration); time.Now().Before(until) && ctx.Err() == nil; {
		r.harm(ctx)
		r.collect()
		time.Sleep(time.Duration(500+r.random.IntN(1500)) * time.Millisecond)
	}
	r.restarts.Wait()
	r.recover(ctx)
	stop()
	wg.Wait()
	r.collect()
	for _, p := range append(w.control, w.fronts...) {
		if n := p.unwantedEnds(); n > 0 {
			r.result.Violations = append(r.result.Violations, fmt.Sprintf("%s ended %d times by itself", p.name, n))
		}
	}
	n := &r.load.counts
	r.result.Sent, r.result.Served, r.result.Refused, r.result.Failed = n.asked.Load(), n.served.Load(), n.refused.Load(), n.failed.Load()
	r.result.Disruptions = r.harms
	return &r.result, nil
}

func (r *runner) say(format string, args ...any) {
	_, _ = fmt.Fprintf(r.w.cfg.Out, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
}

func (r *runner) collect() {
	for _, f := range r.w.ledger.taken() {
		r.say("BROKEN %s", f)
		r.result.Violations = append(r.result.Violations, f)
	}
}

// begin waits until the first configuration is acknowledged and served.
func (r *runner) begin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if !r.operator.change(ctx) {
		r.w.ledger.fault("the first configuration wasn't acknowledged in %v", startTime)
		return
	}
	for i := range gateways {
		if !r.ready(ctx, i) {
			r.w.ledger.fault("gateway %d isn't ready after %v", i, startTime)
		}
	}
}

func (r *runner) ready(ctx context.Context, i int) bool {
	url := fmt.Sprintf("http://%s:%d/", r.w.cfg.frontIP(i), readyPort)
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

// harm does one harm and, where it lasts, undoes it later beside others.
func (r *runner) harm(ctx context.Context) {
	r.harms++
	lasts := time.Duration(500+r.random.IntN(3000)) * time.Millisecond
	kinds := []func(context.Context, time.Duration){
		r.killControl, r.freezeControl, r.wipeControl, r.harmControlLink, r.killGateway, r.freezeGateway,
		r.stopGateway, r.hangUp, r.harmTarget, r.harmTargetLink, r.change, r.quiet, r.killAll, r.resetAll,
	}
	kinds[r.random.IntN(len(kinds))](ctx, lasts)
}

// later undoes a harm after a while.
func (r *runner) later(d time.Duration, undo func()) {
	r.restarts.Go(func() {
		time.Sleep(d)
		undo()
	})
}

func (r *runner) restart(p *process) {
	if err := p.start(); err != nil {
		r.w.ledger.fault("%s not started: %v", p.name, err)
	}
}

func (r *runner) killControl(_ context.Context, _ time.Duration) {
	p := r.w.control[r.random.IntN(controls)]
	r.say("kill %s", p.name)
	p.kill()
	r.restart(p)
}

func (r *runner) freezeControl(_ context.Context, d time.Duration) {
	p := r.w.control[r.random.IntN(controls)]
	r.say("freeze %s for %v", p.name, d)
	p.signal(syscall.SIGSTOP)
	r.later(d, func() { p.signal(syscall.SIGCONT) })
}

// wipeControl takes a member's disk while all others are whole, and gives the
// group time to replace it.
func (r *runner) wipeControl(ctx context.Context, _ time.Duration) {
	r.restarts.Wait()
	i := r.random.IntN(controls)
	p := r.w.control[i]
	if !r.all(ctx) {
		return
	}
	r.say("wipe %s", p.name)
	p.kill()
	err := wipe(r.w.dataDir(i))
	if err == nil {
		err = r.w.controlSettings(i, false)
	}
	if err != nil {
		r.w.ledger.fault("%s not wiped: %v", p.name, err)
	}
	r.restart(p)
	if !r.all(ctx) {
		r.w.ledger.fault("%s wasn't taken in again", p.name)
	}
}

// all reports whether every member answers reads, which each can only as a member.
func (r *runner) all(ctx context.Context) bool {
	until := time.Now().Add(recoveryTime)
	for i := 0; i < controls && time.Now().Before(until); {
		if r.operator.read(ctx, i) {
			i++
			continue
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Now().Before(until)
}

func (r *runner) harmControlLink(_ context.Context, d time.Duration) {
	i := r.random.IntN(controls)
	mode := linkMode(1 + r.random.IntN(4)) //nolint:gosec // Below 5.
	r.say("link to control-%d: mode %d for %v", i, mode, d)
	r.w.links[i].set(mode)
	r.later(d, func() { r.w.links[i].set(linkPass); r.w.links[i].reset() })
}

func (r *runner) killGateway(_ context.Context, _ time.Duration) {
	p := r.w.fronts[r.random.IntN(gateways)]
	r.say("kill %s", p.name)
	p.kill()
	r.restart(p)
}

func (r *runner) freezeGateway(_ context.Context, d time.Duration) {
	p := r.w.fronts[r.random.IntN(gateways)]
	r.say("freeze %s for %v", p.name, d)
	p.signal(syscall.SIGSTOP)
	r.later(d, func() { p.signal(syscall.SIGCONT) })
}

// stopGateway ends a gateway in order while callers go on to use their
// connections.
func (r *runner) stopGateway(_ context.Context, _ time.Duration) {
	p := r.w.fronts[r.random.IntN(gateways)]
	r.say("stop %s", p.name)
	p.signal(syscall.SIGTERM)
	r.restarts.Go(func() {
		begun := time.Now()
		p.wait(graceTime + 5*time.Second)
		if took := time.Since(begun); took > graceTime+time.Second {
			r.say("%s took %v to stop", p.name, took)
		}
		r.restart(p)
	})
	time.Sleep(graceTime)
}

func (r *runner) hangUp(context.Context, time.Duration) {
	r.say("hang up on all")
	for _, p := range append(append([]*process(nil), r.w.fronts...), r.w.control...) {
		p.signal(syscall.SIGHUP)
	}
}

func (r *runner) harmTarget(_ context.Context, d time.Duration) {
	t := r.w.targets[r.random.IntN(len(r.w.targets))]
	mode := targetMode(1 + r.random.IntN(3))
	r.say("target %s: mode %d for %v", t.id, mode, d)
	t.set(mode)
	r.later(d, func() { t.set(targetOK) })
}

func (r *runner) harmTargetLink(_ context.Context, d time.Duration) {
	t := r.w.targets[r.random.IntN(len(r.w.targets))]
	mode := linkMode(1 + r.random.IntN(4)) //nolint:gosec // Below 5.
	r.say("link to target %s: mode %d for %v", t.id, mode, d)
	t.proxy.set(mode)
	r.later(d, func() { t.proxy.set(linkPass) })
}

func (r *runner) change(ctx context.Context, _ time.Duration) {
	r.say("change the configuration")
	r.restarts.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, recoveryTime)
		defer cancel()
		r.operator.change(ctx)
	})
}

// quiet takes a data centre out while nothing else is harmed, and checks that its
// targets get nothing after the bound.
func (r *runner) quiet(ctx context.Context, _ time.Duration) {
	r.restarts.Wait()
	if !r.all(ctx) {
		return
	}
	dc := dcOf(r.random.IntN(3))
	r.say("take out %s", dc)
	ctx, cancel := context.WithTimeout(ctx, recoveryTime)
	defer cancel()
	if !r.operator.order(ctx, http.MethodPost, dc) {
		r.w.ledger.fault("%s not taken out in %v", dc, recoveryTime)
		return
	}
	time.Sleep(quietTime)
	since := time.Now()
	if r.w.cfg.Plant == "late" {
		r.w.ledger.run("planted", "single", "t0-"+fmt.Sprint(int(dc[3]-'a')))
	}
	time.Sleep(time.Second)
	for _, t := range r.w.targets {
		r.w.ledger.mu.Lock()
		at := r.w.ledger.arrivals[t.id]
		r.w.ledger.mu.Unlock()
		if t.dc == dc && at.After(since) {
			r.w.ledger.fault("target %s of %s got work %v after it was taken out", t.id, dc, at.Sub(since)+quietTime)
		}
	}
	if !r.operator.order(ctx, http.MethodDelete, dc) {
		r.w.ledger.fault("%s not brought back in %v", dc, recoveryTime)
	}
}

func (r *runner) killAll(context.Context, time.Duration) {
	r.say("kill all of control")
	for _, p := range r.w.control {
		p.kill()
	}
	for _, p := range r.w.control {
		r.restart(p)
	}
}

func (r *runner) resetAll(context.Context, time.Duration) {
	r.say("reset all links")
	for _, p := range r.w.links {
		p.reset()
	}
	for _, t := range r.w.targets {
		t.proxy.reset()
	}
}

// recover checks that all is served again after the harms have ended, and that
// the newest configuration is there.
func (r *runner) recover(ctx context.Context) {
	r.say("all harms ended")
	if !r.all(ctx) {
		r.w.ledger.fault("not every member answers %v after the last harm", recoveryTime)
	}
	ctx, cancel := context.WithTimeout(ctx, recoveryTime)
	defer cancel()
	for i := range gateways {
		if !r.ready(ctx, i) {
			r.w.ledger.fault("gateway %d isn't ready %v after the last harm", i, recoveryTime)
		}
	}
	time.Sleep(2 * time.Second)
	n := &r.load.counts
	asked, served := n.asked.Load(), n.served.Load()
	time.Sleep(2 * time.Second)
	asked, served = n.asked.Load()-asked, n.served.Load()-served
	if asked == 0 || float64(served) < 0.9*float64(asked) {
		r.w.ledger.fault("after all harms %d of %d requests were served", served, asked)
	}
}
