package forward

import (
	"math"
	"time"

	"github.com/peridotmux/peridotmux/capacity"
	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/internal/connpool"
	"github.com/peridotmux/peridotmux/outlier"
	"github.com/peridotmux/peridotmux/route"
)

const (
	// minSampleWeight is the minimum weight of a new service time in a target's
	// slowness. The weight grows with the time since the previous sample.
	minSampleWeight = 0.25
	// sampleTimeConstant is the gap between samples at which the new sample has a
	// weight of 1-1/e (about two thirds).
	sampleTimeConstant = time.Second
	// maxSlowness bounds the slowness that a single service time can indicate.
	maxSlowness = 30
	// failureSampleWeight is the weight of a new outcome in a target's failure
	// rate.
	failureSampleWeight = 0.2
	// failureTimeConstant is the time in which a target's failure rate decays to
	// 1/e (about a third).
	failureTimeConstant = 5 * time.Second
	// ownSampleTTL is how long this router's own service times take precedence over
	// the findings of all routers.
	ownSampleTTL = 400 * time.Millisecond
	// connLimitBackoff is how long a target that refused a new connection is used
	// only over connections that are already open.
	connLimitBackoff = 500 * time.Millisecond
)

// backend is this router's state of one target. The fleet's mutex guards all fields
// but id, service and pool, which don't change.
type backend struct {
	id      discovery.TargetID
	service route.ServiceName
	// target is the target's entry in the newest list.
	target *discovery.Target
	pool   *connpool.Pool
	// inFlight maps each of this router's requests in flight at the target to its
	// start time.
	inFlight map[*selection]time.Time

	// load is the target's latest load report and inFlightAtLoad the number of this
	// router's requests in flight when it arrived.
	load           Load
	inFlightAtLoad int
	// slowness is the moving average of service times relative to the route's
	// median (1 is normal), as of slownessAt.
	slowness   float64
	slownessAt time.Time
	// failureRate is the moving average of failed attempts, from 0 to 1, as of
	// failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// shared is what all routers together found about the target, zero if nothing.
	shared outlier.Outlier
	// probeAt is the earliest time at which this router probes the target although
	// other routers found it to be an outlier.
	probeAt time.Time

	// listColdUntil and healthColdUntil are the ends of the target's cold start
	// according to the target list and to its own health responses. The list lags
	// behind, so it doesn't override the health responses.
	listColdUntil, healthColdUntil time.Time
	// suspect means that the target may have restarted. It gets no requests until a
	// health check has reached it.
	suspect bool
	// silent means that the target's host didn't acknowledge a request in time and that
	// nothing was heard from the target since. It gets requests only if the service's
	// other targets are silent, too.
	silent bool
	// heardAt is when the target last answered a request.
	heardAt time.Time
	// checking means that a health check is in progress.
	checking bool
	// nextCheckAt is the earliest time of the next health check.
	nextCheckAt time.Time
	// unhealthy means that the last health check reported a failure.
	unhealthy bool
	// connLimitedUntil is the time until which the target is assumed to refuse new
	// connections.
	connLimitedUntil time.Time
	// crowdedAt is when the target last reset a connection above its limit.
	crowdedAt time.Time
	// connsScarce means that the routers need more connections than the service's
	// targets can readily accept, connsDealt that therefore each router keeps
	// connections by assignment, and keepsConnection that it keeps one to this target.
	connsScarce     bool
	connsDealt      bool
	keepsConnection bool
	// neededAt is when the kept connection was assigned or the target last chosen.
	neededAt time.Time
	// openAt is the earliest time at which a missing kept connection is opened.
	openAt time.Time
	// key is the target's key in the learned capacity, 0 if not known yet. figureAt is
	// when the target last sent a figure, and knownSlow means that it is known to be
	// slow.
	key       capacity.Key
	figureAt  time.Time
	knownSlow bool
	// replaced means that another target answered at the address.
	replaced bool
	// leaving means that the target said that it is about to stop. No list undoes it.
	leaving bool
	// backOffUntil is until when the target wants no requests from this router.
	backOffUntil time.Time
	// limit is the rate limit in the target's latest response.
	limit targetLimit
}

// selection is the choice of a target for one attempt, with the data that it was
// based on. It counts as in flight at the target until the attempt ends.
type selection struct {
	backend   *backend
	candidate candidate
	cost      time.Duration
	// median is the median service time of the route's requests.
	median time.Duration
	// reportedSlowness is the slowness that was reported to other routers while the
	// attempt was in flight, 0 if none.
	reportedSlowness float64
	// hedge means that the attempt is a hedge.
	hedge bool
	// limited means that the target had a rate limit when it was chosen.
	limited bool
	// key identifies the target's incarnation.
	key capacity.Key
	// rollout identifies the counts of a rollout that the attempt adds to.
	rollout rolloutCount
}

func newBackend(t *discovery.Target, pool *connpool.Pool) *backend {
	return &backend{
		id: t.ID, service: t.Service, target: t, pool: pool, inFlight: make(map[*selection]time.Time),
		slowness: 1, listColdUntil: t.ColdUntil,
	}
}

// refresh applies a new list entry of the same target. It returns false if the
// entry has another service, address or start time and thus is another backend.
func (b *backend) refresh(t *discovery.Target) bool {
	if t.Service != b.service || t.Addr != b.target.Addr || t.BornUnixMS != b.target.BornUnixMS {
		return false
	}
	b.target = t
	b.listColdUntil = mergeColdUntil(b.listColdUntil, t.ColdUntil)
	return true
}

// newColdStartThreshold is how much later than before the list must place the end
// of a cold start to indicate a new cold start.
const newColdStartThreshold = time.Second

// mergeColdUntil returns the end of a cold start from the known end and the one in
// the current list. The list lags by an unknown time, so each reading is the true
// end or later: the earliest one is the most accurate.
func mergeColdUntil(known, listed time.Time) time.Time {
	if listed.IsZero() {
		return listed
	}
	if known.IsZero() || listed.Before(known) || listed.Sub(known) > newColdStartThreshold {
		return listed
	}
	return known
}

// coldUntil returns the end of the target's cold start.
func (b *backend) coldUntil() time.Time {
	if b.healthColdUntil.After(b.listColdUntil) {
		return b.healthColdUntil
	}
	return b.listColdUntil
}

// connLimitReached reports whether one more request would need a new connection
// while the target refuses those.
func (b *backend) connLimitReached(now time.Time) bool {
	return b.connLimitedUntil.After(now) && len(b.inFlight) >= b.pool.NumOpen()
}

// candidate returns the target's inputs to the cost function.
func (b *backend) candidate(now time.Time, sameDataCentre bool) candidate {
	c := candidate{
		inFlight: len(b.inFlight), load: b.load, loadAge: loadReportTTL, inFlightAtLoad: b.inFlightAtLoad,
		slots: b.target.Slots, sameDataCentre: sameDataCentre, unhealthy: b.unhealthy,
		needsConnection: b.connsScarce && b.pool.NumIdle() == 0,
		slowness:        1 + (b.slowness-1)*decay(now.Sub(b.slownessAt), slownessTimeConstant),
		failureRate:     b.failureRate * decay(now.Sub(b.failureRateAt), failureTimeConstant),
	}
	if b.shared != (outlier.Outlier{}) && now.Sub(b.slownessAt) > ownSampleTTL {
		c.own = targetStats{slowness: c.slowness, failureRate: c.failureRate}
		c.slowness = max(c.slowness, b.shared.Slowness)
		c.failureRate = max(c.failureRate, b.shared.FailureRate)
		c.usesShared = true
	}
	if !b.load.At.IsZero() {
		c.loadAge = now.Sub(b.load.At)
	}
	for _, at := range b.inFlight {
		c.oldest = max(c.oldest, now.Sub(at))
	}
	return c
}

// decay returns the remaining weight of an observation of the given age.
func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(timeConstant))
}

// recordServiceTime adds one service time to the target's slowness.
func (b *backend) recordServiceTime(serviceTime, median time.Duration, now time.Time) {
	ratio := min(float64(serviceTime)/float64(median), maxSlowness)
	gap := now.Sub(b.slownessAt)
	old := 1 + (b.slowness-1)*decay(gap, slownessTimeConstant)
	weight := max(minSampleWeight, 1-decay(gap, sampleTimeConstant))
	b.slowness = old + weight*(ratio-old)
	b.slownessAt = now
}

// recordOutcome applies the outcome of one attempt. median is the median service
// time of the route's requests.
func (b *backend) recordOutcome(o *Outcome, median time.Duration, now time.Time) {
	if o.Status != 0 {
		b.silent, b.heardAt = false, now
	}
	b.applyNotices(o, now)
	if o.Withdrawn {
		// Connecting took long, which says little about the target.
		return
	}
	if o.Cancelled {
		// The target would have taken longer still.
		if float64(o.ServiceTime) > overdueFactor*float64(median)*max(b.slowness, 1) {
			b.recordServiceTime(o.ServiceTime, median, now)
		}
		return
	}
	failed := 1.0
	if o.noServerError() {
		failed = 0
	}
	b.failureRate = b.failureRate * decay(now.Sub(b.failureRateAt), failureTimeConstant)
	b.failureRate += failureSampleWeight * (failed - b.failureRate)
	b.failureRateAt = now
	if !o.Load.At.IsZero() {
		b.load, b.inFlightAtLoad = o.Load, len(b.inFlight)
	}
	if o.Success() && median > 0 {
		b.recordServiceTime(o.ServiceTime, median, now)
	}
	switch {
	case o.WrongTarget:
		b.replaced = true
	case o.OverConnectionLimit:
		b.connLimitedUntil, b.crowdedAt = now.Add(connLimitBackoff), now
	case o.ConnectFailed, o.ConnectionLost, b.pool.RestartSuspected():
		b.suspect = true
		b.pool.CloseIdle()
	case o.TimedOut:
		b.pool.CloseIdle()
	}
}
