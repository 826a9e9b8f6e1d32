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
	// versionFetchShare is the maximum share of the query's time that is spent
	// on fetching unknown index versions.
	versionFetchShare = 0.5
	// maxReplans is the maximum number of times a query is replanned.
	maxReplans = 3
)

// plan determines the owners and the index version of a query. It fetches the
// index versions of shards for which none is known.
func (s *Server) plan(ctx context.Context, req *request, routes *query.Routes) (query.Plan, *api.Refusal) {
	plan := s.planFromKnown(req, routes)
	if unknown := query.ShardsWithUnknownVersions(plan.Shards); len(unknown) > 0 {
		s.fetchVersions(ctx, req, plan.Shards, unknown)
		plan = s.planFromKnown(req, routes)
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

// planFromKnown returns a plan based on the states that owners have reported.
func (s *Server) planFromKnown(req *request, routes *query.Routes) query.Plan {
	plan := query.Plan{Shards: make([]query.ShardPlan, len(req.shards))}
	for i, id := range req.shards {
		r := routes.Route(id)
		plan.Shards[i] = query.ShardPlan{
			Route:      r,
			Missing:    r.Missing,
			Candidates: query.Candidates(r, s.ownerStates),
		}
	}
	plan.Version = query.ChooseVersion(plan.Shards)
	return plan
}

// fetchVersions fetches the index versions of the shards at the given indexes
// from all of their owners.
func (s *Server) fetchVersions(ctx context.Context, req *request, shards []query.ShardPlan, unknown []int) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(versionFetchShare*float64(req.timeout)))
	defer cancel()
	var wg sync.WaitGroup
	for _, i := range unknown {
		for _, c := range shards[i].Candidates {
			wg.Go(func() { s.fetchShardVersions(ctx, req, shards[i].Route.Shard, c.Owner) })
		}
	}
	wg.Wait()
}

// fetchShardVersions sends an owner a sub-request without an index version,
// which isn't run, and records its reply.
func (s *Server) fetchShardVersions(ctx context.Context, req *request, shard topology.ShardID, owner topology.VMName) {
	defer func() {
		if cause := recover(); cause != nil {
			s.counters.Panics.Add(1)
			s.cfg.Log.Error("panic while fetching index versions", "request", req.id, "cause", cause)
		}
	}()
	q := &pb.SubRequest{
		Shard:     string(shard),
		Kind:      string(req.kind.Name),
		RequestId: req.id,
		BudgetUs:  uint64(req.timeout.Microseconds()),
	}
	reply, err := s.cfg.Owners.Call(ctx, owner, q)
	now := time.Now()
	if err != nil {
		s.ownerStates.MarkUnreachable(shard, owner, now)
		return
	}
	s.ownerStates.RecordReply(shard, owner, reply, false, now)
}
