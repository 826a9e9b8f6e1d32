package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/peridotmux/peridotmux/query"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// replyMargin is set aside of a sub-request's time for the reply's way back.
	replyMargin = 3 * time.Millisecond
	// minBudget is the least time a sub-request is sent with.
	minBudget = time.Millisecond
)

// scatter runs one query's sub-requests.
type scatter struct {
	server  *Server
	req     *request
	plan    query.Plan
	gather  *query.Gather
	usual   query.Quantiles
	results chan query.Result
	// done is closed when nothing takes results any more.
	done    chan struct{}
	cancels map[attemptKey]context.CancelFunc
	sentAt  map[attemptKey]time.Time
	// latencies are those of the replies with a result, by group.
	latencies map[topology.GroupName][]time.Duration
	replies   []query.Result
}

type attemptKey struct{ round, shard, number int }

func keyOf(a query.Attempt) attemptKey { return attemptKey{a.Round, a.Shard, a.Number} }

// scatter sends the plan's sub-requests and gathers replies until the query
// should be answered.
func (s *Server) scatter(ctx context.Context, req *request, plan query.Plan) *scatter {
	now := time.Now()
	sc := &scatter{
		server:    s,
		req:       req,
		plan:      plan,
		results:   make(chan query.Result, len(plan.Shards)),
		done:      make(chan struct{}),
		cancels:   make(map[attemptKey]context.CancelFunc, len(plan.Shards)),
		sentAt:    make(map[attemptKey]time.Time, len(plan.Shards)),
		latencies: make(map[topology.GroupName][]time.Duration),
		replies:   make([]query.Result, 0, len(plan.Shards)),
	}
	top := s.cfg.Board.View().Topology.Deployment
	s.budget.Earn(len(plan.Shards), max(top.HedgeBudget, top.RetryBudget))
	sc.usual = s.quantiles(plan, now)
	gather, actions := query.NewGather(query.Options{
		Draw:        draw,
		Policy:      req.policy,
		MinCoverage: req.minCoverage,
		AtMostOnce:  req.once,
		Start:       now,
		Deadline:    req.deadline(),
		Quantiles:   sc.usual,
		Budget:      s.budget,
	}, plan, now)
	sc.gather = gather
	sc.do(ctx, actions)
	sc.loop(ctx)
	close(sc.done)
	return sc
}

// quantiles returns the usual latencies of the slowest of the plan's groups.
func (s *Server) quantiles(plan query.Plan, now time.Time) query.Quantiles {
	var worst query.Quantiles
	seen := make(map[topology.GroupName]bool, 4)
	for i := range plan.Shards {
		g := plan.Shards[i].Route.Group
		if seen[g] {
			continue
		}
		seen[g] = true
		if q := s.history.Quantiles(g, now); q.P95 > worst.P95 {
			worst = q
		}
	}
	return worst
}

// loop steps the gather until the query should be answered.
func (sc *scatter) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := time.Now()
		actions, next := sc.gather.Tick(now)
		sc.do(ctx, actions)
		if sc.gather.Done(now) {
			return
		}
		timer.Reset(sc.gather.NextWake(next).Sub(now))
		if !sc.drain(ctx, timer) {
			return
		}
	}
}

// drain takes results until the timer fires or the query is done. It returns
// false if the caller went away.
func (sc *scatter) drain(ctx context.Context, timer *time.Timer) bool {
	for {
		select {
		case r := <-sc.results:
			sc.take(ctx, r)
			if sc.gather.Done(time.Now()) {
				return true
			}
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// take steps the gather by one result.
func (sc *scatter) take(ctx context.Context, r query.Result) {
	now := time.Now()
	s := sc.server
	if r.Attempt.Round == sc.round() {
		sc.learn(r, now)
	}
	sc.replies = append(sc.replies, r)
	actions := sc.gather.Step(r, now)
	if actions.Replan && sc.replan(ctx, &actions, now) {
		s.cfg.Log.Info("query planned anew", "request", sc.req.id, "version", sc.plan.Version)
	}
	sc.do(ctx, actions)
}

func (sc *scatter) round() int { return sc.gather.Counts.Replans }

func (sc *scatter) learn(r query.Result, now time.Time) {
	s := sc.server
	route := sc.plan.Shards[r.Attempt.Shard].Route
	if r.Reply == nil {
		if !r.ContextEnded {
			s.learned.MarkUnreachable(route.Shard, r.Attempt.Owner, now)
		}
		return
	}
	took := now.Sub(sc.sentAt[keyOf(r.Attempt)])
	s.learned.RecordReply(route.Shard, r.Attempt.Owner, r.Reply, took <= sc.usual.P95, now)
	if r.Reply.GetStatus() == pb.SubStatus_SUB_STATUS_OK {
		// Counted from the shard's first attempt: what a hedge cut short was
		// at least as late.
		first := keyOf(r.Attempt)
		first.number = 0
		sc.latencies[route.Group] = append(sc.latencies[route.Group], now.Sub(sc.sentAt[first]))
	}
}

// replan plans the query anew at another index version, if time is left.
func (sc *scatter) replan(ctx context.Context, actions *query.Actions, now time.Time) bool {
	if sc.gather.Counts.Replans >= maxReplans || ctx.Err() != nil {
		return false
	}
	plan := sc.server.draft(sc.req, sc.server.currentRoutes())
	if plan.Version == 0 || plan.Version == sc.plan.Version {
		return false
	}
	sc.plan = plan
	*actions = sc.gather.Replan(plan, now)
	return true
}

// do carries out what a step asks for.
func (sc *scatter) do(ctx context.Context, actions query.Actions) {
	sc.cancelAll(actions.Cancel)
	for _, a := range actions.Late {
		sc.server.learned.MarkLate(sc.plan.Shards[a.Shard].Route.Shard, a.Owner, time.Now())
	}
	for _, a := range actions.Send {
		sc.send(ctx, a)
	}
}

func (sc *scatter) cancelAll(attempts []query.Attempt) {
	for _, a := range attempts {
		if cancel := sc.cancels[keyOf(a)]; cancel != nil {
			cancel()
		}
	}
}

func (sc *scatter) send(ctx context.Context, a query.Attempt) {
	now := time.Now()
	budget := max(sc.req.deadline().Sub(now)-replyMargin, minBudget)
	q := &pb.SubRequest{
		Shard:        string(sc.plan.Shards[a.Shard].Route.Shard),
		Kind:         string(sc.req.kind.Name),
		RequestId:    sc.req.id,
		IndexVersion: a.Version,
		BudgetUs:     uint64(budget.Microseconds()),
		Body:         sc.req.body,
		Once:         sc.req.once,
		Hedge:        a.Hedge,
		Insist:       a.Insist,
	}
	if a.ExcludeTarget != "" {
		q.Exclude = []string{a.ExcludeTarget}
	}
	ctx, cancel := context.WithCancel(ctx)
	sc.cancels[keyOf(a)] = cancel
	sc.sentAt[keyOf(a)] = now
	go sc.call(ctx, cancel, a, q)
}

// call makes one attempt and hands its result to the gather.
func (sc *scatter) call(ctx context.Context, cancel context.CancelFunc, a query.Attempt, q *pb.SubRequest) {
	defer cancel()
	r := query.Result{Attempt: a, MaybeSent: true}
	defer func() {
		if cause := recover(); cause != nil {
			sc.server.counters.Panics.Add(1)
			r.Reply = nil
		}
		select {
		case sc.results <- r:
		case <-sc.done:
			sc.server.late(r)
		}
	}()
	reply, err := sc.server.cfg.Owners.Call(ctx, a.Owner, q)
	if err != nil {
		r.MaybeSent, r.ContextEnded = sentDespite(err), ctx.Err() != nil
		return
	}
	r.Reply = sc.server.own(q, reply)
}

// late counts a reply that came after the query was answered.
func (s *Server) late(r query.Result) {
	if r.Reply != nil {
		s.counters.Dropped.Add(1)
	}
}

// sentDespite reports whether a call that failed may have been handed over.
// Errors that know better have a method NotSent.
func sentDespite(err error) bool {
	var known interface{ NotSent() bool }
	return !errors.As(err, &known) || !known.NotSent()
}

// own returns the reply if it belongs to the sub-request and is JSON, else one that says
// that no usable answer came.
func (s *Server) own(q *pb.SubRequest, reply *pb.SubReply) *pb.SubReply {
	if reply.GetStatus() != pb.SubStatus_SUB_STATUS_OK {
		return reply
	}
	top := s.cfg.Board.View().Topology
	t := top.Target(topology.TargetID(reply.GetTarget()))
	if t != nil && string(t.Shard) == q.GetShard() && reply.GetIndexVersion() == q.GetIndexVersion() &&
		json.Valid(reply.GetBody()) {
		return reply
	}
	s.counters.Dropped.Add(1)
	return &pb.SubReply{
		Id:      reply.GetId(),
		Status:  pb.SubStatus_SUB_STATUS_UNKNOWN,
		Reason:  pb.SubReason_SUB_REASON_BAD_ANSWER,
		Started: reply.GetStarted(),
	}
}
