package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/internal/wait"
	"github.com/peridotmux/peridotmux/platform/fake"
)

const (
	// rolloutRampS is the time of a rollout in seconds.
	rolloutRampS = 16
	rolloutRamp  = rolloutRampS * time.Second
	// maxExposedShare and maxExposedSlack bound the requests that a bad version may get, and
	// rollbackTime the time of the last one after the rollback.
	maxExposedShare = 0.1
	maxExposedSlack = 50
	rollbackTime    = 5 * time.Second
	// maxLateness bounds how late a rollout ends while processes are disrupted: a gateway
	// that is lost delays the end by 10.5 s (docs/design/rollouts.md).
	maxLateness = 10500*time.Millisecond + recoveryTimeout
	// oldTargetsWatched is how long old targets are watched after a completion.
	oldTargetsWatched = 3 * time.Second
	// latestFault bounds when a version turns bad: a fault shortly before the completion
	// can't be found.
	latestFault = 9 * time.Second
	// linkEffect is how long a disrupted link may hold requests back.
	linkEffect = 4 * time.Second
)

// rollout is one rollout of a new version of the service "single".
type rollout struct {
	runner  *runner
	version string
	// mode is that of the new targets from badAfter on, targetOK for a good version.
	mode     targetMode
	badAfter time.Duration
	new      []*standinTarget
	// orderedAt is when the order was first sent, and acked whether it was acknowledged.
	orderedAt time.Time
	acked     bool
	// state is the last one read, and endedAt when a read first showed an end.
	state   string
	endedAt time.Time
}

// rollOut orders one rollout after another, of good and bad versions, beside the
// disruptions, until cfg.Duration has passed or ctx ends. Its random numbers are its own,
// so that the disruptions of a seed don't depend on it.
func (r *runner) rollOut(ctx context.Context) {
	until := time.Now().Add(r.cluster.cfg.Duration)
	rng := rand.New(rand.NewPCG(r.cluster.cfg.Seed, 19)) //nolint:gosec // Not a secret.
	for i := 2; time.Now().Before(until) && ctx.Err() == nil; i++ {
		x := &rollout{runner: r, version: fmt.Sprint("v", i)}
		switch rng.IntN(6) {
		case 0:
			x.mode = targetFailing
		case 1:
			x.mode = targetSlow
		case 2:
			x.mode, x.badAfter = targetFailing, time.Duration(rng.Int64N(int64(latestFault)))
		}
		x.run(ctx)
		wait.For(ctx, time.Duration(rng.IntN(3000))*time.Millisecond)
	}
}

// run starts the new targets, orders the rollout, follows it and checks its end.
func (x *rollout) run(ctx context.Context) {
	c := x.runner.cluster
	for j := range replicas {
		t, err := c.startTarget(fmt.Sprintf("%s-%d", x.version, j), c.serviceName(c.cfg.Shards), dataCentreOf(j), x.version)
		if err != nil {
			c.ledger.addViolation("no target of version %s: %v", x.version, err)
			return
		}
		x.new = append(x.new, t)
	}
	x.runner.printf("roll out %s: mode %d after %v", x.version, x.mode, x.badAfter)
	x.orderedAt = time.Now()
	if x.badAfter == 0 {
		setModes(x.new, x.mode)
	}
	fault := time.AfterFunc(x.badAfter, func() { setModes(x.new, x.mode) })
	c.setCandidates(x.new)
	x.order(ctx)
	x.follow(ctx)
	fault.Stop()
	x.runner.printf("rollout of %s: acknowledged %v, state %q after %v", x.version, x.acked, x.state, time.Since(x.orderedAt))
	if x.state == "completed" {
		x.finishCompleted(ctx)
		return
	}
	x.finishRolledBack(ctx)
}

// order sends the order to the members in turn until one acknowledges it, for
// recoveryTimeout at most. A conflict means that an order sent before is in force.
func (x *rollout) order(ctx context.Context) {
	body := fake.RolloutOrder("single", x.version, rolloutRampS)
	for i := 0; time.Since(x.orderedAt) < recoveryTimeout && ctx.Err() == nil; i++ {
		status, text, err := x.runner.operator.call(ctx, http.MethodPost, i%controls, fake.PathRollouts, body)
		if err == nil && (status == http.StatusOK || status == http.StatusConflict) {
			x.acked = true
			return
		}
		if err == nil && status < 500 {
			x.runner.cluster.ledger.addViolation("the order of version %s was refused with %d: %s", x.version, status, text)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// follow reads the state until the rollout has ended. An order that wasn't acknowledged
// may have no effect.
func (x *rollout) follow(ctx context.Context) {
	for i := 0; time.Since(x.orderedAt) < rolloutRamp+maxLateness && ctx.Err() == nil; i++ {
		if x.read(ctx, i%controls); x.state != "running" && x.state != "" {
			x.endedAt = time.Now()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	if x.acked {
		x.runner.cluster.ledger.addViolation("the rollout of version %s has the state %q %v after its deadline", x.version, x.state, maxLateness)
	}
}

// read reads the state from a member. It checks that no acknowledged order is lost, and
// that an end stays.
func (x *rollout) read(ctx context.Context, member int) {
	status, body, err := x.runner.operator.call(ctx, http.MethodGet, member, fake.PathRollout("single"), nil)
	if err != nil || status >= 500 {
		return
	}
	state, version := fake.RolloutState(body), fake.RolloutVersion(body)
	known := status == http.StatusOK && version == x.version
	switch {
	case known && x.state != "" && x.state != "running" && state != x.state:
		x.runner.cluster.ledger.addViolation("the rollout of version %s was %s and is %s", x.version, x.state, state)
	case known:
		x.state = state
	case x.acked:
		x.runner.cluster.ledger.addViolation("version %s was ordered, member %d answers %d: %s", x.version, member, status, body)
	}
}

// finishCompleted withdraws the old targets at once, and checks that no request reaches
// them any more and that the version isn't bad.
func (x *rollout) finishCompleted(ctx context.Context) {
	c := x.runner.cluster
	old := c.targetsOf(c.cfg.Shards)
	c.setCandidates(nil)
	for !c.replaceTargets(old, x.new) {
		old = c.targetsOf(c.cfg.Shards) // One of them has left meanwhile.
	}
	if x.mode != targetOK {
		c.ledger.addViolation("the bad version %s was completed", x.version)
		setModes(x.new, targetOK)
	}
	wait.For(ctx, oldTargetsWatched)
	for _, t := range old {
		times := c.ledger.traffic.singleArrivals([]*standinTarget{t}, x.endedAt)
		if len(times) > 0 && !t.proxy.disturbedSince(x.endedAt.Add(-linkEffect)) {
			c.ledger.addViolation("%d requests reached the old target %s after %s was completed, the first one %v after",
				len(times), t.id, x.version, times[0].Sub(x.endedAt))
		}
	}
	x.read(ctx, 0)
	for _, t := range old {
		t.close()
	}
}

// finishRolledBack checks that a version that was rolled back is bad, got no more requests
// than allowed, and gets none any more. Then its targets end.
func (x *rollout) finishRolledBack(ctx context.Context) {
	c := x.runner.cluster
	if x.state == "rolled_back" {
		if x.mode == targetOK {
			c.ledger.addViolation("the good version %s was rolled back", x.version)
		}
		wait.For(ctx, max(time.Until(x.endedAt.Add(rollbackTime+time.Second)), time.Until(x.orderedAt.Add(rolloutRamp))))
		x.checkExposure()
		x.read(ctx, 0)
	}
	c.setCandidates(nil)
	wait.For(ctx, goneTime)
	for _, t := range x.new {
		t.close()
	}
}

// checkExposure checks how many requests reached a version that was rolled back, and when.
func (x *rollout) checkExposure() {
	tr := x.runner.cluster.ledger.traffic
	latest := tr.singleArrivals(x.new, x.orderedAt)
	all := countUntil(tr.singleArrivals(nil, x.orderedAt), x.orderedAt.Add(rolloutRamp))
	allowed := maxExposedShare*float64(all) + maxExposedSlack
	x.runner.printf("%d of %d requests reached %s", len(latest), all, x.version)
	if x.mode != targetOK && float64(len(latest)) > allowed {
		x.runner.cluster.ledger.addViolation("%d of %d requests reached the bad version %s, allowed %.0f", len(latest), all, x.version, allowed)
	}
	if n := len(latest) - countUntil(latest, x.endedAt.Add(rollbackTime)); n > 0 {
		x.runner.cluster.ledger.addViolation("%d requests reached %s later than %v after it was rolled back", n, x.version, rollbackTime)
	}
}

// singleArrivals returns the sorted times of the requests to "single" that reached some
// targets, all of them if it is nil, from a time on.
func (t *traffic) singleArrivals(targets []*standinTarget, from time.Time) []time.Time {
	ids := map[string]bool{}
	for _, x := range targets {
		ids[x.id] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []time.Time
	for _, a := range t.arrivals["single"] {
		if (targets == nil || ids[a.target]) && !a.at.Before(from) {
			out = append(out, a.at)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// countUntil returns how many of some sorted times aren't after a time.
func countUntil(times []time.Time, end time.Time) int {
	n, _ := slices.BinarySearchFunc(times, end.Add(1), time.Time.Compare)
	return n
}
