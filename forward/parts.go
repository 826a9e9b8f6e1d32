package forward

import (
	"context"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/quarantine"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/workspace"
)

// maxSharedParts bounds the shards that this router asks for other routers at the same
// time. More are refused at once, so that another helper or the entry asks them.
const maxSharedParts = 1024

// reasons for which shards of another router are refused.
const (
	refusedLeaving  = "shutting down"
	refusedNoTable  = "no routes or targets known"
	refusedResumed  = "resumed from a pause"
	refusedOldTable = "a service isn't in the routes known"
	refusedBusy     = "too many shards in progress"
	refusedBadAsk   = "the message makes no sense"
)

// PartsServer sends sub-requests for other routers.
type PartsServer struct{ server *Server }

// Parts returns the service for other routers.
func (s *Server) Parts() *PartsServer { return &PartsServer{server: s} }

// Exchange serves one router until the stream ends.
func (p *PartsServer) Exchange(stream pb.DRPCParts_ExchangeStream) error {
	x := &partsExchange{server: p.server, active: make(map[uint64]*sharedRequest)}
	return rpc.ServeBatches(stream.Context(), stream, rpc.PartsCodec, x.handle)
}

// partsExchange holds the requests in progress of one stream.
type partsExchange struct {
	server *Server

	mu sync.Mutex
	// active holds the requests in progress by their ids.
	active map[uint64]*sharedRequest
}

// sharedRequest is a request of another router that is in progress.
type sharedRequest struct {
	// stop withdraws it, and proceed, when closed, allows all attempts.
	stop    context.CancelFunc
	proceed chan struct{}
}

func (x *partsExchange) handle(ctx context.Context, q *pb.PartsRequest, reply func(*pb.PartsReply)) {
	switch {
	case q.GetCancel():
		x.stop(q.GetId())
		return
	case q.GetProceed():
		x.proceed(q.GetId())
		return
	}
	received := time.Now()
	if reason := x.server.refuseParts(q, received); reason != "" {
		x.server.cfg.Metrics.PartsRefused(reason)
		x.server.cfg.Log.Debug("parts refused", "request", q.GetRequestId(), "entry", q.GetEntry(), "reason", reason)
		reply(&pb.PartsReply{Id: q.GetId(), Status: pb.PartsStatus_PARTS_STATUS_REFUSED, Reason: reason})
		return
	}
	reply(&pb.PartsReply{Id: q.GetId(), Status: pb.PartsStatus_PARTS_STATUS_ACCEPTED})
	x.server.sharedParts.Add(int64(len(q.GetShards())))
	ctx, stop := context.WithCancel(ctx)
	proceed := make(chan struct{})
	x.mu.Lock()
	x.active[q.GetId()] = &sharedRequest{stop: stop, proceed: proceed}
	x.mu.Unlock()
	x.server.workers.run(func() {
		defer x.server.sharedParts.Add(-int64(len(q.GetShards())))
		defer x.stop(q.GetId())
		x.server.serveParts(ctx, q, received, proceed, reply)
	})
}

// stop withdraws a request. It does nothing if the request isn't in progress.
func (x *partsExchange) stop(id uint64) {
	x.mu.Lock()
	r := x.active[id]
	delete(x.active, id)
	x.mu.Unlock()
	if r != nil {
		r.stop()
	}
}

// proceed allows all attempts of a request. It does nothing if the request isn't in
// progress or has them already.
func (x *partsExchange) proceed(id uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r := x.active[id]; r != nil && r.proceed != nil {
		close(r.proceed)
		r.proceed = nil
	}
}

// refuseParts returns why the shards of another router are refused, "" if they are
// accepted.
func (s *Server) refuseParts(q *pb.PartsRequest, now time.Time) string {
	table := s.table.Load()
	switch {
	case len(q.GetShards()) == 0 || q.GetTop() == 0 || q.GetTimeLeftUs() == 0 || q.GetAttempts() == 0 || q.GetAttemptsAtOnce() == 0:
		return refusedBadAsk
	case s.noKeepAlives.Load():
		return refusedLeaving
	case table == nil || !s.Ready():
		return refusedNoTable
	case s.resume.resumedLately(now):
		return refusedResumed
	case s.sharedParts.Load()+int64(len(q.GetShards())) > maxSharedParts:
		return refusedBusy
	}
	for _, name := range q.GetShards() {
		if _, known := table.Services[route.ServiceName(name)]; !known {
			return refusedOldTable
		}
	}
	return ""
}

// serveParts sends a request to some shards and replies with their parts: once with
// those received when the entry needs them, and then with each one as it comes.
// proceed is closed when the entry allows all attempts.
func (s *Server) serveParts(stop context.Context, q *pb.PartsRequest, received time.Time, proceed <-chan struct{}, reply func(*pb.PartsReply)) {
	s.active.Add(1)
	defer s.active.Add(-1)
	req := s.partsRequest(q, received)
	defer req.end()
	if !q.GetRepeat() {
		s.budget.recordRequests(req.route.Gather.Shards, received)
	}
	work, cancel := context.WithDeadline(context.WithoutCancel(stop), req.deadline)
	defer time.AfterFunc(lingerTime, cancel)
	g := s.newGathering(req)
	answerBy := received.Add(time.Duration(q.GetAnswerWithinUs()) * time.Microsecond) //nolint:gosec // Durations of requests.
	g.objective = answerBy
	attempts := min(int(q.GetAttemptsAtOnce()), req.route.Attempts)
	g.holdBack = attempts < req.route.Attempts
	g.startParts(work, attempts, q.GetRepeat())
	g.stream(work, stop, proceed, answerBy, func(status pb.PartsStatus) { reply(g.partsReply(q.GetId(), status)) })
	s.logPartsServed(req, g, q.GetEntry(), q.GetRepeat())
}

// startParts starts the shards of another router's request, one of them first if the
// request may crash targets, and none if it is known to.
func (g *gathering) startParts(ctx context.Context, attempts int, repeat bool) {
	all := canaryFirst(allShards(len(g.calls)), g.req.id)
	standing := quarantine.Clear
	if g.server.guard.Active() {
		standing, _ = g.server.guard.Standing(g.req.fingerprint(), time.Now())
	}
	switch {
	case standing == quarantine.Quarantined:
	case standing == quarantine.Suspect && len(all) > 1:
		g.startCanary(ctx, all, repeat, func(ctx context.Context) { g.startShards(ctx, all[1:], attempts, repeat) })
	default:
		g.startShards(ctx, all, attempts, repeat)
	}
}

// partsRequest returns the request of another router as one of this router.
func (s *Server) partsRequest(q *pb.PartsRequest, received time.Time) *request {
	gather := &route.Gather{TopK: int(q.GetTop()), MinCoverage: q.GetMinCoverage()}
	for _, name := range q.GetShards() {
		gather.Shards = append(gather.Shards, route.ServiceName(name))
	}
	req := &request{
		id: q.GetRequestId(), method: q.GetMethod(), uri: q.GetUri(), host: q.GetHost(), header: unpackHeaders(q.GetHeaders()),
		body: q.GetBody(), hasBody: q.GetHasBody(), received: received,
		deadline: received.Add(time.Duration(q.GetTimeLeftUs()) * time.Microsecond), //nolint:gosec // Durations of requests.
		table:    s.table.Load(),
		route: &route.Route{
			Name: route.Name(q.GetRoute()), Kind: route.Idempotent, Attempts: int(q.GetAttempts()), Gather: gather,
			Objective: time.Duration(q.GetObjectiveUs()) * time.Microsecond, //nolint:gosec // Durations of requests.
		},
	}
	if name := q.GetWorkspace(); name != "" {
		// The entry identified it. This router's table may not know it yet.
		req.workspace = &workspace.Workspace{Name: workspace.Name(name)}
	}
	return req
}

func allShards(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// stream collects parts and sends them: at answerBy those received so far, after it
// each one as it comes, and the rest when nothing is in flight any more. The end of
// stop means that no more parts are needed, and the closing of proceed that all
// attempts may be used.
func (g *gathering) stream(work, stop context.Context, proceed <-chan struct{}, answerBy time.Time, send func(pb.PartsStatus)) {
	answer := time.NewTimer(time.Until(answerBy))
	defer answer.Stop()
	hedge := time.NewTimer(hedgeDelay(g.req.route, g.late))
	defer hedge.Stop()
	lastHedge := answerBy.Add(-lastHedgeFactor * g.late)
	defer g.free.Stop()
	for g.received < len(g.calls) && g.anyInFlight() {
		g.awaitTargets()
		select {
		case r := <-g.results:
			before := g.received
			g.handleResult(work, r)
			if g.received > before && !time.Now().Before(answerBy) && g.received < len(g.calls) {
				send(pb.PartsStatus_PARTS_STATUS_MORE)
			}
		case <-hedge.C:
			g.hedgeOnTime(work, hedge, lastHedge)
		case <-g.free.C:
			g.retryWaiting(work)
		case <-proceed:
			proceed = nil
			g.allowAttempts(work, g.req.route.Attempts)
		case <-answer.C:
			g.server.answerLag.record(time.Since(answerBy))
			send(pb.PartsStatus_PARTS_STATUS_MORE)
		case <-work.Done():
			send(pb.PartsStatus_PARTS_STATUS_DONE)
			return
		case <-stop.Done():
			return
		}
	}
	send(pb.PartsStatus_PARTS_STATUS_DONE)
}

// partsReply returns a message with the parts received since the last one.
func (g *gathering) partsReply(id uint64, status pb.PartsStatus) *pb.PartsReply {
	m := &pb.PartsReply{Id: id, Status: status, Runs: uint32(g.runs)} //nolint:gosec // Bounded by the attempts.
	if status == pb.PartsStatus_PARTS_STATUS_DONE {
		m.Runs += uint32(g.inFlight()) //nolint:gosec // Bounded by the attempts.
		m.Missing = g.missingDetails()
	}
	for _, shard := range g.fresh {
		m.Shards = append(m.Shards, uint32(shard)) //nolint:gosec // An index.
		m.Signatures = append(m.Signatures, g.signatures[shard])
	}
	m.Records = topRecords(g.bodies, g.req.route.Gather.TopK)
	g.fresh, g.bodies = nil, nil
	return m
}
