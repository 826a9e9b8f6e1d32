package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/internal/wait"
)

const (
	// dividedShards is the number of shards from which gateways may divide a request.
	dividedShards = 24
	// leavingTime is how long a target that leaves can still be reached: longer than
	// drainTime, so that requests that come too late are seen.
	leavingTime = drainTime + 2*time.Second
	// goneTime is the time from a target's withdrawal from the list until it ends.
	goneTime = listLag + time.Second
)

// pick draws one of some targets.
func pick(rng *rand.Rand, targets []*standinTarget) *standinTarget {
	return targets[rng.IntN(len(targets))]
}

// disruptByNotices lets targets leave, and lets them ask for no requests for a while,
// beside the other disruptions, until cfg.Duration has passed or ctx ends. Its random
// numbers are its own, so that the other disruptions of a seed don't depend on it.
func (r *runner) disruptByNotices(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cluster.cfg.Duration)
	defer cancel()
	rng := rand.New(rand.NewPCG(r.cluster.cfg.Seed, 17)) //nolint:gosec // Not a secret.
	var pending sync.WaitGroup
	defer pending.Wait()
	for ctx.Err() == nil {
		t := pick(rng, r.cluster.targetsInUse())
		if rng.IntN(3) == 0 {
			r.printf("target %s leaves", t.id)
			pending.Go(func() { r.leave(t) })
		} else {
			wave := time.Duration(200+rng.IntN(1500)) * time.Millisecond
			backOff := time.Duration(700+rng.IntN(2500)) * time.Millisecond
			r.printf("target %s asks for no requests for %v, for %v", t.id, backOff, wave)
			t.setBackOff(backOff)
			pending.Go(func() {
				time.Sleep(wave)
				t.setBackOff(0)
			})
		}
		wait.For(ctx, time.Duration(rng.IntN(2500))*time.Millisecond)
	}
}

// leave lets a target say that it leaves, and replaces it after leavingTime.
func (r *runner) leave(t *standinTarget) {
	t.setLeaving()
	time.Sleep(leavingTime)
	next, err := r.cluster.successor(t)
	if err != nil {
		r.cluster.ledger.addViolation("no successor of target %s: %v", t.id, err)
		return
	}
	if !r.cluster.replaceTargets([]*standinTarget{t}, []*standinTarget{next}) {
		next.close()
		return
	}
	time.Sleep(goneTime)
	t.close()
}

// printNotices prints how often the checks of notices could have failed.
func (r *runner) printNotices() {
	n := r.cluster.ledger.notices
	n.mu.Lock()
	defer n.mu.Unlock()
	r.printf("%d arrivals after a notice of leaving, %d while a target backed off", n.leftChecks, n.backOffChecks)
	l := r.cluster.ledger.rateLimits
	l.mu.Lock()
	defer l.mu.Unlock()
	r.printf("%d arrivals counted against a target's rate limit", l.checks)
	x := r.cluster.ledger.crashes
	x.mu.Lock()
	defer x.mu.Unlock()
	for path, c := range x.byPath {
		r.printf("request %s crashed %d targets", path, c.count)
	}
}

// mayMissNotice reports whether a disruption since a time of a gateway, or of its link to
// a target, explains that the gateway doesn't know what the target said.
func (c *cluster) mayMissNotice(t *standinTarget, gateway int, since time.Time) bool {
	return t.proxy.disturbedSince(since) || c.gateways[gateway].disturbedSince(since) || c.restartedSince(gateway, since)
}

// restartedSince reports whether a gateway was started since a time.
func (c *cluster) restartedSince(gateway int, since time.Time) bool {
	p := c.gateways[gateway]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startedAt.After(since)
}

// baseID returns the part of the target's id that its successors have in common.
func (t *standinTarget) baseID() string {
	base, _, _ := strings.Cut(t.id, ".")
	return base
}

func (t *standinTarget) setLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

func (t *standinTarget) setBackOff(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backOff = d
}

// sayNotices adds to a response what the target says of itself.
func (t *standinTarget) sayNotices(w http.ResponseWriter, id string) {
	t.sayLeaving(w, id)
	t.sayRateLimit(w)
}

// sayLeaving adds to a response that the target leaves, if it does.
func (t *standinTarget) sayLeaving(w http.ResponseWriter, id string) {
	t.mu.Lock()
	leaving := t.leaving
	t.mu.Unlock()
	if leaving {
		w.Header().Set(headers.Leaving, "1")
		t.ledger.notices.addLeaving(t.id, id)
	}
}

// leavingLine is the header line by which the target says that it leaves, empty if it
// doesn't.
func (t *standinTarget) leavingLine() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leaving {
		return ""
	}
	return headers.Leaving + ": 1\r\n"
}

// checkArrival checks that a request that arrives now is allowed after what the target
// said, and that it names its workspace.
func (t *standinTarget) checkArrival(id string, h http.Header) {
	if text := t.ledger.identities.arrive(id, t.id, h, time.Now()); text != "" {
		t.ledger.addViolation("%s", text)
	}
	excused := func(gateway int, since time.Time) bool { return t.ledger.excused(t, gateway, since) }
	t.checkRateLimit(id)
	for _, text := range t.ledger.notices.arrive(t.id, id, time.Now(), excused, t.ledger.restarted) {
		t.ledger.addViolation("%s", text)
	}
}

// answerBackOff rejects a request if the target asks for none now.
func (t *standinTarget) answerBackOff(w http.ResponseWriter, r *http.Request, id string) bool {
	t.mu.Lock()
	d := t.backOff
	t.mu.Unlock()
	if d == 0 {
		return false
	}
	t.ledger.traffic.addArrival(t.service, id, t.id, false)
	w.Header().Set(headers.NotRun, "1")
	w.Header().Set(headers.RetryAfter, strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	if r.Context().Err() == nil {
		t.ledger.notices.addBackOff(t.id, id, d, time.Now())
	}
	return true
}
