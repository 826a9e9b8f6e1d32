package forward

import "time"

const (
	// loadReportTTL is how long a target's load report is taken into account.
	loadReportTTL = 250 * time.Millisecond
	// slownessTimeConstant is the time in which a target's slowness decays to 1/e
	// (about a third).
	slownessTimeConstant = 6 * time.Second
	// overdueFactor is the multiple of the usual service time after which a request
	// in flight indicates that its target is stalled.
	overdueFactor = 2.5
	// occupancyWeight is the cost of a fully occupied target in service times, in
	// addition to its queue.
	occupancyWeight = 0.15
	// failureWeight is the relative cost added to a target that always fails.
	failureWeight = 12
	// newConnectionCost is the cost of a new connection to a target whose
	// connections are scarce.
	newConnectionCost = 15 * time.Millisecond
	// remoteFactor and remoteCost are the additional cost of a target in another
	// data centre: a multiple of its service time and a constant.
	remoteFactor = 1.2
	remoteCost   = 500 * time.Microsecond
)

// candidate holds a target's inputs to the cost function.
type candidate struct {
	// inFlight is the number of this router's requests in flight at the target.
	inFlight int
	// oldest is the age of the oldest of them.
	oldest time.Duration
	// load is the target's latest load report, loadAge its age, and inFlightAtLoad
	// the number of this router's requests in flight when it arrived.
	load           Load
	loadAge        time.Duration
	inFlightAtLoad int
	slots          int
	// slowness is the target's service time relative to the usual one.
	slowness float64
	// failureRate is the recent share of failed requests.
	failureRate float64
	// usesShared means that slowness and failureRate include other routers'
	// findings. own then holds what this router observed itself.
	usesShared     bool
	own            targetStats
	sameDataCentre bool
	// needsConnection means that the request would need a new connection while
	// connections are scarce.
	needsConnection bool
	// unhealthy means that the last health check reported a failure.
	unhealthy bool
	learned   learned
}

// targetStats is what one router observed of a target.
type targetStats struct{ slowness, failureRate float64 }

// cost estimates the time until the target would answer one more request, increased
// by the risks of failures there.
func cost(c *candidate, median time.Duration) time.Duration {
	usual := c.usual(median)
	busy := float64(c.inFlight) + c.otherInFlight(usual)
	slots := c.handled()
	total := usual*(1+occupancyWeight*busy/float64(slots)) + c.wait(usual, slots)
	if c.learned.pressed {
		total += pressedCost * usual
	}
	if c.sameDataCentre && c.learned.worthLeaving(median) {
		total += remoteFactor * float64(median)
	}
	if float64(c.oldest) > overdueFactor*usual {
		total += float64(c.oldest)
	}
	total *= 1 + failureWeight*c.failureRate
	if c.unhealthy {
		total *= 1 + failureWeight
	}
	if !c.sameDataCentre {
		total += remoteFactor*usual + float64(remoteCost)
	}
	if c.needsConnection {
		total += float64(newConnectionCost)
	}
	return time.Duration(total)
}

// minSlowness bounds how much faster than usual a target may count.
const minSlowness = 0.5

// otherInFlight estimates the requests of other routers at the target. While the
// target has free slots others keep coming, so the weight of the load report decreases
// linearly with its age. A queue longer than that is worked off at the target's pace.
func (c *candidate) otherInFlight(usual float64) float64 {
	reported := float64(max(0, c.load.Running+c.load.Waiting-c.inFlightAtLoad))
	if reported == 0 {
		return 0
	}
	fading := reported * max(0, 1-float64(c.loadAge)/float64(loadReportTTL))
	queued := reported - float64(c.loadAge)/max(usual, 1)*float64(max(c.slots, 1))
	return max(fading, queued, 0)
}

// usual returns the time in which the target handles a request without a queue.
func (c *candidate) usual(median time.Duration) float64 {
	return float64(median) * max(c.slowness, minSlowness)
}

// handled returns the number of requests that the target handles at once without
// slowing down.
func (c *candidate) handled() int {
	slots := max(c.slots, 1)
	if limit := c.learned.estimate.Limit; limit > 0 {
		return min(limit, slots)
	}
	return slots
}

// wait estimates how long a request waits at the target if it runs n at once.
func (c *candidate) wait(usual float64, n int) float64 {
	slots := float64(n)
	return usual * max(0, float64(c.inFlight)+c.otherInFlight(usual)+1-slots) / slots
}

// overrun reports whether one more request would wait at the target until it is late
// although the target could answer it in time without the queue. If it couldn't, the
// queue may be one request a slot long. left is the time until the objective. It
// answers the load on the last targets of a shard, which would otherwise answer all
// requests late instead of some in time. A learned limit doesn't count here, since the
// target still works above it.
func (c *candidate) overrun(median, left time.Duration) bool {
	usual := c.usual(median)
	return c.wait(usual, max(c.slots, 1)) > max(float64(left)-usual, usual)
}
