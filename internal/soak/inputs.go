package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/peridotmux/peridotmux/internal/wait"
	"github.com/peridotmux/peridotmux/platform/fake"
)

const (
	// stoppedTurn and runningTurn are how long a starved process stands still and runs
	// in turns, as if others used its processor.
	stoppedTurn = 40 * time.Millisecond
	runningTurn = 10 * time.Millisecond
	// maxAddedRoutes is the number of routes that a large configuration adds, and
	// maxChangesInARow how often it is changed then.
	maxAddedRoutes   = 6000
	maxChangesInARow = 40
)

// disruptInputs starves processes of processor time, sends large configurations in a row,
// lets targets send copies of answers and puts entries of another writer into the target
// list, beside the other disruptions, until cfg.Duration has passed or ctx ends. Its random numbers are its own, so that the
// other disruptions of a seed don't depend on it.
func (r *runner) disruptInputs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cluster.cfg.Duration)
	defer cancel()
	rng := rand.New(rand.NewPCG(r.cluster.cfg.Seed, 11)) //nolint:gosec // Not a secret.
	for ctx.Err() == nil {
		d := time.Duration(500+rng.IntN(2500)) * time.Millisecond
		switch rng.IntN(5) {
		case 0:
			r.starve(ctx, r.cluster.gateways[rng.IntN(len(r.cluster.gateways))], d)
		case 1:
			r.starve(ctx, r.cluster.member(rng.IntN(controls)).process, d)
		case 2:
			r.growConfig(ctx, rng.IntN(maxAddedRoutes), 1+rng.IntN(maxChangesInARow))
		case 3:
			r.copyHealthAnswers(ctx, rng, d)
		default:
			r.oddEntries(ctx, rng, d)
		}
		wait.For(ctx, time.Duration(rng.IntN(1500))*time.Millisecond)
	}
	r.cluster.list.setOdd(nil)
}

// starve lets a process run only a fifth of the time.
func (r *runner) starve(ctx context.Context, p *process, d time.Duration) {
	r.printf("starve %s for %v", p.name, d)
	for until := time.Now().Add(d); time.Now().Before(until) && ctx.Err() == nil; {
		p.signal(syscall.SIGSTOP)
		time.Sleep(stoppedTurn)
		p.signal(syscall.SIGCONT)
		time.Sleep(runningTurn)
	}
}

// growConfig sends configurations with more routes in a row.
func (r *runner) growConfig(ctx context.Context, routes, changes int) {
	r.printf("change a configuration with %d routes more, %d times", routes, changes)
	r.operator.setAddedRoutes(routes)
	for i := 0; i < changes && ctx.Err() == nil; i++ {
		callCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
		r.operator.changeConfig(callCtx)
		cancel()
	}
}

// oddEntries adds entries to the target list that name no target, and of which some claim
// a target that others name.
func (r *runner) oddEntries(ctx context.Context, rng *rand.Rand, d time.Duration) {
	t := pick(rng, r.cluster.targetsInUse())
	odd := fake.OddEntries(t.id, t.proxy.listener.Addr().String(), r.cluster.serviceName(0))
	r.printf("odd list entries, some of %s, for %v", t.id, d)
	r.cluster.list.setOdd([]string{odd[0], odd[1+rng.IntN(len(odd)-1)]})
	wait.For(ctx, d)
	r.cluster.list.setOdd(nil)
}

// checkTraffic reports what reached the targets beyond the limits.
func (r *runner) checkTraffic() {
	if text, over := r.cluster.ledger.identities.worstWindow(); over {
		r.cluster.ledger.addViolation("%s", text)
	} else {
		r.printf("%s", text)
	}
	r.printf("%d requests had a withdrawn key", r.load.withdrawnKeys.Load())
	for _, text := range r.cluster.ledger.traffic.violations() {
		r.cluster.ledger.addViolation("%s", text)
	}
}

// addedRoutes returns routes that no caller uses.
func addedRoutes(n int) []fake.Route {
	out := make([]fake.Route, 0, n)
	for i := range n {
		out = append(out, fake.Route{
			Host: host, Prefix: fmt.Sprintf("/added-%d/", i), Idempotent: true, Services: []string{"single"}, TimeLimitMS: 2000, ObjectiveMS: int(objective.Milliseconds()),
		})
	}
	return out
}
