package forward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/peridotmux/peridotmux/route"
)

const (
	// lastHedgeFactor is the number of late service times before the objective at
	// which shards are hedged that the budget didn't allow to be hedged earlier.
	lastHedgeFactor = 1
	// lingerTime is how long attempts still in flight continue after the response
	// is written, so that their connections can be reused.
	lingerTime = 400 * time.Millisecond
)

// gathering is one request to all shards of a route.
type gathering struct {
	server *Server
	req    *request
	// calls and parts are indexed by shard. A part is nil until it is received.
	calls []*call
	parts []*result
	// received is the number of parts received.
	received int
	// late is the service time above which an attempt counts as late.
	late time.Duration
	// runs is the number of attempts that targets may have run.
	runs    int
	results chan *result
}

// gather answers a request that goes to one target of each shard.
func (s *Server) gather(w http.ResponseWriter, r *http.Request, req *request) {
	if now := time.Now(); s.fleet.countUsable(req.route.Gather.Shards, now) < req.route.Gather.MinParts() {
		s.refuse(w, r, req, &refusal{
			status: http.StatusServiceUnavailable, reason: reasonNoTarget,
			retryAfter: s.fleet.timeUntilUsable(req.route.Gather.Shards, req.route.Gather.MinParts(), now),
		})
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), req.deadline)
	stop := context.AfterFunc(r.Context(), cancel)
	g := s.newGathering(req)
	g.startAll(ctx)
	why := g.await(ctx)
	callerPresent := stop()
	time.AfterFunc(lingerTime, cancel)
	if !callerPresent {
		s.logCallerLeft(req)
		return
	}
	if g.received < req.route.Gather.MinParts() {
		g.refuse(w, r, why)
		return
	}
	g.writeResponse(w)
	s.logAnswered(req, nil, g)
}

func (s *Server) newGathering(req *request) *gathering {
	shards := req.route.Gather.Shards
	median, late := s.serviceTimes.get(req.route)
	req.trace.reserve(len(shards))
	g := &gathering{
		server: s, req: req, late: late,
		calls: make([]*call, len(shards)), parts: make([]*result, len(shards)),
		results: make(chan *result, len(shards)*(req.route.Attempts+maxRejections+1)),
	}
	for i, service := range shards {
		g.calls[i] = &call{server: s, req: req, service: service, median: median}
	}
	return g
}

func (g *gathering) startAll(ctx context.Context) {
	for i, c := range g.calls {
		c.start(ctx, i, g.results, urgencyHigh, false)
	}
}

// await collects parts until all are received or more aren't worth waiting for:
// after the objective the minimum coverage is enough. The returned reason applies
// if too few parts were received.
func (g *gathering) await(ctx context.Context) reason {
	objective := g.req.received.Add(g.req.route.Objective - g.req.allowance - fanOutTime(len(g.calls), g.server.cfg.LinkBitsPerSecond))
	objectiveTimer := time.NewTimer(time.Until(objective))
	defer objectiveTimer.Stop()
	deadline := time.NewTimer(time.Until(g.req.deadline))
	defer deadline.Stop()
	hedge := time.NewTimer(g.calls[0].hedgeDelay(g.late))
	defer hedge.Stop()
	minParts := g.req.route.Gather.MinParts()
	lastHedge := objective.Add(-lastHedgeFactor * g.late)
	objectivePassed := false
	for g.received < len(g.parts) && g.anyInFlight() && g.possibleParts() >= minParts {
		if objectivePassed && g.received >= minParts {
			return reasonNone
		}
		select {
		case r := <-g.results:
			g.handleResult(ctx, r)
		case <-hedge.C:
			g.hedgeAll(ctx, urgencyLow)
			hedge.Reset(time.Until(lastHedge))
			if !time.Now().Before(lastHedge) {
				g.hedgeAll(ctx, urgencyMedium)
				hedge.Stop()
			}
		case <-objectiveTimer.C:
			objectivePassed = true
		case <-deadline.C:
			return reasonDeadline
		case <-ctx.Done():
			return reasonCallerLeft
		}
	}
	return reasonCoverage
}

// possibleParts returns the number of parts that are received or may still be.
func (g *gathering) possibleParts() int {
	n := 0
	for i, c := range g.calls {
		if g.parts[i] != nil || c.inFlight > 0 {
			n++
		}
	}
	return n
}

// anyInFlight reports whether an attempt is in flight.
func (g *gathering) anyInFlight() bool {
	for _, c := range g.calls {
		if c.inFlight > 0 {
			return true
		}
	}
	return false
}

// handleResult keeps the part of a successful attempt and retries a failed one if
// it may be.
func (g *gathering) handleResult(ctx context.Context, r *result) {
	c := g.calls[r.shard]
	retry := c.countResult(r)
	if r.outcome.Verdict != NotRun {
		g.runs++
	}
	if g.parts[r.shard] != nil {
		return
	}
	if r.outcome.Success() && isListable(r.outcome.Header.Get(g.server.cfg.Headers.Signature)) {
		g.parts[r.shard] = r
		g.received++
		return
	}
	if retry {
		c.start(ctx, r.shard, g.results, g.retryUrgency(), false)
	}
}

// isListable reports whether a signature can be part of a comma-separated list.
func isListable(signature string) bool {
	return signature != "" && !strings.ContainsAny(signature, ", ")
}

// hedgeAll hedges the requests to the shards without a part.
func (g *gathering) hedgeAll(ctx context.Context, level urgency) {
	if g.received < g.req.route.Gather.MinParts() && level != urgencyLow {
		level = urgencyHigh
	}
	for i, c := range g.calls {
		if g.parts[i] == nil {
			c.hedge(ctx, i, g.results, level)
		}
	}
}

// retryUrgency returns the urgency of another attempt after one failed.
func (g *gathering) retryUrgency() urgency {
	if g.possibleParts() < g.req.route.Gather.MinParts() {
		return urgencyHigh
	}
	return urgencyMedium
}

// missingDetails describes the shards without a part, for the log.
func (g *gathering) missingDetails() []string {
	var out []string
	for i, c := range g.calls {
		if g.parts[i] != nil {
			continue
		}
		text := string(c.service) + " tried=" + strconv.Itoa(len(c.tried)) + " out=" + strconv.Itoa(c.inFlight) + " rejected=" + strconv.Itoa(c.rejections)
		if c.budgetDenied {
			text += " denied"
		}
		out = append(out, text)
	}
	return out
}

func (g *gathering) missing() int { return len(g.parts) - g.received }

// writeResponse merges the parts into one response.
func (g *gathering) writeResponse(w http.ResponseWriter) {
	d := &g.server.cfg.Headers
	signatures := make([]string, 0, g.received)
	bodies := make([][]byte, 0, g.received)
	for _, p := range g.parts {
		if p == nil {
			continue
		}
		signatures = append(signatures, p.outcome.Header.Get(d.Signature))
		bodies = append(bodies, p.outcome.Body)
	}
	h := w.Header()
	h.Set(d.RequestID, g.req.id)
	h.Set(d.PartSignatures, strings.Join(signatures, ", "))
	h.Set(d.MissingParts, strconv.Itoa(g.missing()))
	h.Set("Content-Type", "application/octet-stream")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(topRecords(bodies, g.req.route.Gather.TopK))
}

// refuse answers a request for which too few parts were received.
func (g *gathering) refuse(w http.ResponseWriter, r *http.Request, why reason) {
	f := &refusal{status: http.StatusBadGateway, reason: why, missing: g.missingDetails()}
	switch {
	case g.runs == 0 && !g.anyInFlight():
		f.status = http.StatusServiceUnavailable
		f.reason = reasonNoTarget
		f.retryAfter = g.server.fleet.timeUntilUsable(g.missingServices(), len(g.missingServices())-len(g.calls)+g.req.route.Gather.MinParts(), time.Now())
	case why == reasonDeadline:
		f.status = http.StatusGatewayTimeout
	}
	g.server.refuse(w, r, g.req, f)
}

// missingServices lists the services without a part.
func (g *gathering) missingServices() []route.ServiceName {
	var out []route.ServiceName
	for i, c := range g.calls {
		if g.parts[i] == nil {
			out = append(out, c.service)
		}
	}
	return out
}
