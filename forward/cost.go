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
}

// targetStats is what one router observed of a target.
type targetStats struct{ slowness, failureRate float64 }

// cost estimates the time until the target would answer one more request, increased
// by the risks of failures there.
func cost(c *candidate, median time.Duration) time.Duration {
	usual := float64(median) * max(c.slowness, minSlowness)
	busy := float64(c.inFlight) + c.otherInFlight()
	slots := float64(max(c.slots, 1))
	waiting := max(0, busy+1-slots) / slots
	total := usual * (1 + waiting + occupancyWeight*busy/slots)
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

// otherInFlight estimates the requests of other routers at the target. The weight
// of the load report decreases linearly with its age.
func (c *candidate) otherInFlight() float64 {
	if c.loadAge >= loadReportTTL {
		return 0
	}
	n := max(0, c.load.Running+c.load.Waiting-c.inFlightAtLoad)
	return float64(n) * (1 - float64(c.loadAge)/float64(loadReportTTL))
}
