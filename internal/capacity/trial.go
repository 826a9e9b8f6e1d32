package main

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/placement"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/topology"
)

// shape is the size of a trial: routers and targets in the ratio of two years
// ahead, with the given number of replicas a shard.
type shape struct {
	routers  int
	replicas int
}

func (s shape) targets() int { return replicasAhead * s.routers / nodesAhead }

func (s shape) shards() int { return s.targets() / s.replicas }

func dcName(i int) topology.DataCentre {
	return topology.DataCentre(fmt.Sprintf("dc-%d", i%dcsAhead))
}

func routerName(i int) topology.VMName { return topology.VMName(fmt.Sprintf("entry-%03d", i)) }

// deployment returns a deployment of the shape, in groups of 210 shards at most.
func (s shape) deployment() *topology.Deployment {
	d := &topology.Deployment{Name: "ahead", Region: "ch-mittelland", HedgeBudget: 0.02, RetryBudget: 0.1}
	for i := range dcsAhead {
		d.DataCentres = append(d.DataCentres, dcName(i))
	}
	d.Kinds = []topology.Kind{{
		Name: "price-sweep", Weight: 1, Policy: topology.PolicyCoverage, Deadline: 2 * time.Second, Idempotent: true,
	}}
	for i := range s.shards() {
		if i%fanOutAhead == 0 {
			d.Groups = append(d.Groups, topology.Group{
				Name:  topology.GroupName(fmt.Sprintf("archive-%02d", i/fanOutAhead)),
				Slots: 6, Connections: 110, ConnectCost: time.Millisecond, ColdLimit: 1, WarmAfter: 5 * time.Second,
			})
		}
		s.addShard(d, &d.Groups[len(d.Groups)-1], i)
	}
	return d
}

func (s shape) addShard(d *topology.Deployment, g *topology.Group, i int) {
	id := topology.ShardID(fmt.Sprintf("%s/%04d", g.Name, i))
	g.Shards = append(g.Shards, id)
	for r := range s.replicas {
		n := i*s.replicas + r
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 21000)
		d.Targets = append(d.Targets, topology.Target{
			ID:    topology.TargetID(fmt.Sprintf("%s@%s", id, addr)),
			Shard: id, Group: g.Name, DataCentre: dcName(n), Addr: addr,
		})
	}
}

// placementInput returns what placement decides on before any assignment.
func (s shape) placementInput(d *topology.Deployment) placement.Input {
	in := placement.Input{
		Current: make(map[topology.TargetID]topology.VMName),
		Budget:  len(d.Targets),
	}
	for i := range s.routers {
		in.Routers = append(in.Routers, placement.Router{Name: routerName(i), DataCentre: dcName(i)})
	}
	x := topology.NewIndex(d)
	for _, id := range x.Shards() {
		shard := placement.Shard{ID: id}
		for _, t := range x.Replicas(id) {
			shard.Targets = append(shard.Targets, t.ID)
		}
		in.Shards = append(in.Shards, shard)
	}
	return in
}

// TrialError says that control's state refused a step of a trial.
type TrialError struct{ Step string }

// Error describes the failure.
func (e *TrialError) Error() string { return "control refused " + e.Step }

// proposer applies commands to a state, directly or through a log.
type proposer func(c state.Command) any

// configure states and confirms a deployment.
func configure(propose proposer, number string, d *topology.Deployment) error {
	return intend(propose, number, api.IntentSpec{Kind: api.IntentConfigure, Deployment: d})
}

// intend states and confirms an intent.
func intend(propose proposer, number string, spec api.IntentSpec) error {
	_, err := intendID(propose, number, spec)
	return err
}

// intendID states and confirms an intent and returns its id.
func intendID(propose proposer, number string, spec api.IntentSpec) (string, error) {
	spec.Overrides = []api.PlanReason{api.PlanNoReplica, api.PlanInsufficientCapacity, api.PlanNoRouter}
	r, ok := propose(state.Command{Number: number, Submit: &state.Submit{Spec: spec}}).(*state.Result)
	if !ok || r.Intent == nil || r.Intent.Plan == nil {
		return "", &TrialError{Step: "intent " + number}
	}
	confirm := &state.Confirm{Plan: r.Intent.Plan.ID, Base: r.Intent.Plan.Base}
	r, ok = propose(state.Command{Number: number + "-confirm", Confirm: confirm}).(*state.Result)
	if !ok || r.Refusal != nil {
		return "", &TrialError{Step: "the confirmation of " + number}
	}
	return r.Intent.ID, nil
}

// settleIntent records that an intent is in force at all routers, as control does in
// two steps.
func settleIntent(propose proposer, id string, routers []topology.VMName) {
	for _, settled := range []bool{false, true} {
		propose(state.Command{Progress: &state.Progress{Intent: id, Settled: settled, InForce: routers}})
	}
}

func (s shape) routerNames() []topology.VMName {
	names := make([]topology.VMName, s.routers)
	for i := range names {
		names[i] = routerName(i)
	}
	return names
}

// fill gives a state the shape's deployment, routers and assignments.
func (s shape) fill(propose proposer) error {
	d := s.deployment()
	first, err := intendID(propose, "first", api.IntentSpec{Kind: api.IntentConfigure, Deployment: d})
	if err != nil {
		return err
	}
	settleIntent(propose, first, s.routerNames())
	for i := range s.routers {
		propose(state.Command{Router: &state.Router{
			VM: routerName(i), DataCentre: dcName(i), Incarnation: uint64(i) + 1,
			RPCAddr: fmt.Sprintf("10.1.%d.%d:7000", i>>8, i&255), HTTPAddr: fmt.Sprintf("10.1.%d.%d:8000", i>>8, i&255),
		}})
	}
	in := s.placementInput(d)
	for moves := placement.NextMoves(in); len(moves) > 0; moves = placement.NextMoves(in) {
		propose(state.Command{Assign: assigns(moves)})
		apply(&in, moves)
	}
	return nil
}

func assigns(moves []placement.Move) []state.Assign {
	out := make([]state.Assign, len(moves))
	for i, m := range moves {
		out[i] = state.Assign{Target: m.Target, Owner: m.To}
	}
	return out
}

// direct applies commands to a state at the next index.
func direct(s *state.State) proposer {
	return func(c state.Command) any {
		return s.Apply(s.Index()+1, c.Encode(time.Now()))
	}
}
