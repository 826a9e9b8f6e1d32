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
	// lastHedgeTimes is how many late service times before the objective a shard is
	// hedged that the budget didn't allow to be hedged earlier.
	lastHedgeTimes = 1
	// leftoverTime is how long attempts that are out when an answer is written go
	// on, so that their connections can be used again.
	leftoverTime = 400 * time.Millisecond
)

// gathering is one request to all shards of a route.
type gathering struct {
	s     *Server
	q     *request
	calls []*call
	parts []*result
	got   int
	late  time.Duration
	// runs is the number of attempts that targets may have run.
	runs    int
	results chan *result
}

// gather answers a request that goes to one target of each shard.
func (s *Server) gather(w http.ResponseWriter, r *http.Request, q *request) {
	if now := time.Now(); s.fleet.available(q.route.Gather.Shards, now) < q.route.Gather.MinParts() {
		s.refuse(w, r, q, &refusal{
			status: http.StatusServiceUnavailable, reason: reasonNoTarget,
			retryAfter: s.fleet.usableIn(q.route.Gather.Shards, q.route.Gather.MinParts(), now),
		})
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), q.deadline)
	stop := context.AfterFunc(r.Context(), cancel)
	g := s.newGathering(q)
	g.startAll(ctx)
	why := g.await(ctx)
	left := stop()
	time.AfterFunc(leftoverTime, cancel)
	if !left {
		s.logCallerLeft(q)
		return
	}
	if g.got < q.route.Gather.MinParts() {
		g.fail(w, r, why)
		return
	}
	g.write(w)
	s.logAnswered(q, nil, g)
}

func (s *Server) newGathering(q *request) *gathering {
	shards := q.route.Gather.Shards
	median, late := s.typical.get(q.route)
	q.trail.expect(len(shards))
	g := &gathering{
		s: s, q: q, late: late,
		calls: make([]*call, len(shards)), parts: make([]*result, len(shards)),
		results: make(chan *result, len(shards)*(q.route.Attempts+maxRejections+1)),
	}
	for i, service := range shards {
		g.calls[i] = &call{s: s, q: q, service: service, median: median}
	}
	return g
}

func (g *gathering) startAll(ctx context.Context) {
	for i, c := range g.calls {
		c.start(ctx, i, g.results, needed, false)
	}
}

// await takes parts until all are in, or waiting for more isn't worth while.
func (g *gathering) await(ctx context.Context) reason {
	objective := g.q.received.Add(g.q.route.Objective - g.q.allowance - burstTime(len(g.calls), g.s.cfg.LinkBitsPerSecond))
	enough := time.NewTimer(time.Until(objective))
	defer enough.Stop()
	deadline := time.NewTimer(time.Until(g.q.deadline))
	defer deadline.Stop()
	hedge := time.NewTimer(g.calls[0].hedgeAfter(g.late))
	defer hedge.Stop()
	least := g.q.route.Gather.MinParts()
	lastHedge := objective.Add(-lastHedgeTimes * g.late)
	late := false
	for g.got < len(g.parts) && g.out() && g.possible() >= least {
		if late && g.got >= least {
			return reasonNone
		}
		select {
		case r := <-g.results:
			g.take(ctx, r)
		case <-hedge.C:
			g.hedgeAll(ctx, early)
			hedge.Reset(time.Until(lastHedge))
			if !time.Now().Before(lastHedge) {
				g.hedgeAll(ctx, useful)
				hedge.Stop()
			}
		case <-enough.C:
			late = true
		case <-deadline.C:
			return reasonDeadline
		case <-ctx.Done():
			return reasonCallerLeft
		}
	}
	return reasonCoverage
}

// possible returns the number of parts that are in or may still come.
func (g *gathering) possible() int {
	n := 0
	for i, c := range g.calls {
		if g.parts[i] != nil || c.out > 0 {
			n++
		}
	}
	return n
}

// out reports whether an attempt is out.
func (g *gathering) out() bool {
	for _, c := range g.calls {
		if c.out > 0 {
			return true
		}
	}
	return false
}

func (g *gathering) take(ctx context.Context, r *result) {
	c := g.calls[r.shard]
	again := c.took(r)
	if r.outcome.Verdict != NotRun {
		g.runs++
	}
	if g.parts[r.shard] != nil {
		return
	}
	if r.outcome.Success() && isPart(r.outcome.Header.Get(g.s.cfg.Headers.Signature)) {
		g.parts[r.shard] = r
		g.got++
		return
	}
	if again {
		c.start(ctx, r.shard, g.results, g.retryUrgency(), false)
	}
}

// isPart reports whether a signature can be named in a list.
func isPart(signature string) bool { return signature != "" && !strings.ContainsAny(signature, ", ") }

// hedgeAll sends the shards that are late to other targets.
func (g *gathering) hedgeAll(ctx context.Context, why urgency) {
	if g.got < g.q.route.Gather.MinParts() && why != early {
		why = needed
	}
	for i, c := range g.calls {
		if g.parts[i] == nil {
			c.hedge(ctx, i, g.results, why)
		}
	}
}

// retryUrgency tells what another attempt is worth after one failed.
func (g *gathering) retryUrgency() urgency {
	if g.possible() < g.q.route.Gather.MinParts() {
		return needed
	}
	return useful
}

// lacking describes the shards without a part, for the log.
func (g *gathering) lacking() []string {
	var out []string
	for i, c := range g.calls {
		if g.parts[i] != nil {
			continue
		}
		text := string(c.service) + " tried=" + strconv.Itoa(len(c.tried)) + " out=" + strconv.Itoa(c.out) + " rejected=" + strconv.Itoa(c.rejections)
		if c.denied {
			text += " denied"
		}
		out = append(out, text)
	}
	return out
}

func (g *gathering) missing() int { return len(g.parts) - g.got }

// write joins the parts.
func (g *gathering) write(w http.ResponseWriter) {
	d := &g.s.cfg.Headers
	signatures := make([]string, 0, g.got)
	bodies := make([][]byte, 0, g.got)
	for _, p := range g.parts {
		if p == nil {
			continue
		}
		signatures = append(signatures, p.outcome.Header.Get(d.Signature))
		bodies = append(bodies, p.outcome.Body)
	}
	h := w.Header()
	h.Set(d.RequestID, g.q.id)
	h.Set(d.PartSignatures, strings.Join(signatures, ", "))
	h.Set(d.MissingParts, strconv.Itoa(g.missing()))
	h.Set("Content-Type", "application/octet-stream")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(greatest(bodies, g.q.route.Gather.TopK))
}

// fail answers a gathering with too few parts.
func (g *gathering) fail(w http.ResponseWriter, r *http.Request, why reason) {
	f := &refusal{status: http.StatusBadGateway, reason: why, lacking: g.lacking()}
	switch {
	case g.runs == 0 && !g.out():
		f.status = http.StatusServiceUnavailable
		f.reason = reasonNoTarget
		f.retryAfter = g.s.fleet.usableIn(g.unserved(), len(g.unserved())-len(g.calls)+g.q.route.Gather.MinParts(), time.Now())
	case why == reasonDeadline:
		f.status = http.StatusGatewayTimeout
	}
	g.s.refuse(w, r, g.q, f)
}

// unserved lists the services without a part.
func (g *gathering) unserved() []route.ServiceName {
	var out []route.ServiceName
	for i, c := range g.calls {
		if g.parts[i] == nil {
			out = append(out, c.service)
		}
	}
	return out
}
