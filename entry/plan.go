package entry

import (
	"context"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/query"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// learnShare bounds the time to ask for unknown index versions, as a share
	// of the query's time.
	learnShare = 0.5
	// maxReplans bounds how often a query is planned anew.
	maxReplans = 3
)

// plan fixes the owners and the index version of a query.
func (s *Server) plan(ctx context.Context, req *request, routes *query.Routes) (query.Plan, *api.Refusal) {
	plan := s.draft(req, routes)
	if unknown := query.ShardsWithUnknownVersions(plan.Shards); len(unknown) > 0 {
		s.learn(ctx, req, plan.Shards, unknown)
		plan = s.draft(req, routes)
	}
	if plan.Version != 0 {
		return plan, nil
	}
	for i := range plan.Shards {
		if plan.Shards[i].Missing == "" {
			return plan, refuse(api.CodeNoSnapshot, "no index version is known that the shards can answer from")
		}
	}
	return plan, refuse(api.CodeCoverage, "no target of the asked shards may be used")
}

// draft plans from what is known.
func (s *Server) draft(req *request, routes *query.Routes) query.Plan {
	plan := query.Plan{Shards: make([]query.ShardPlan, len(req.shards))}
	for i, id := range req.shards {
		r := routes.Route(id)
		plan.Shards[i] = query.ShardPlan{
			Route:      r,
			Missing:    r.Missing,
			Candidates: query.Candidates(r, s.learned),
		}
	}
	plan.Version = query.ChooseVersion(plan.Shards)
	return plan
}

// learn asks the owners of shards for the index versions they can serve.
func (s *Server) learn(ctx context.Context, req *request, shards []query.ShardPlan, unknown []int) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(learnShare*float64(req.limit)))
	defer cancel()
	var wg sync.WaitGroup
	for _, i := range unknown {
		for _, c := range shards[i].Candidates {
			wg.Go(func() { s.learnOne(ctx, req, shards[i].Route.Shard, c.Owner) })
		}
	}
	wg.Wait()
}

func (s *Server) learnOne(ctx context.Context, req *request, shard topology.ShardID, owner topology.VMName) {
	defer func() {
		if cause := recover(); cause != nil {
			s.counters.Panics.Add(1)
			s.cfg.Log.Error("question for versions failed by a panic", "request", req.id, "cause", cause)
		}
	}()
	q := &pb.SubRequest{
		Shard:     string(shard),
		Kind:      string(req.kind.Name),
		RequestId: req.id,
		BudgetUs:  uint64(req.limit.Microseconds()),
	}
	reply, err := s.cfg.Owners.Call(ctx, owner, q)
	now := time.Now()
	if err != nil {
		s.learned.MarkUnreachable(shard, owner, now)
		return
	}
	s.learned.RecordReply(shard, owner, reply, false, now)
}
