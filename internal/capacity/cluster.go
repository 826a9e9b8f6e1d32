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

// clusterShape is the size of a simulated cluster. The ratio of targets to
// routers is that of the projected demand.
type clusterShape struct {
	routers int
	// replicas is the number of replicas per shard.
	replicas int
}

func (s clusterShape) targets() int { return projectedReplicas * s.routers / projectedNodes }

func (s clusterShape) shards() int { return s.targets() / s.replicas }

// dcName returns the data centre of the router or target with index i; they are
// distributed round-robin.
func dcName(i int) topology.DataCentre {
	return topology.DataCentre(fmt.Sprintf("dc-%d", i%projectedDCs))
}

// routerName returns the name of the router with index i.
func routerName(i int) topology.VMName { return topology.VMName(fmt.Sprintf("entry-%03d", i)) }

// deployment returns a deployment of this shape, in groups of at most 210
// shards.
func (s clusterShape) deployment() *topology.Deployment {
	d := &topology.Deployment{Name: "ahead", Region: "ch-mittelland", HedgeBudget: 0.02, RetryBudget: 0.1}
	for i := range projectedDCs {
		d.DataCentres = append(d.DataCentres, dcName(i))
	}
	d.Kinds = []topology.Kind{{
		Name: "price-sweep", Weight: 1, Policy: topology.PolicyCoverage, Deadline: 2 * time.Second, Idempotent: true,
	}}
	for i := range s.shards() {
		if i%projectedFanOut == 0 {
			d.Groups = append(d.Groups, topology.Group{
				Name:  topology.GroupName(fmt.Sprintf("archive-%02d", i/projectedFanOut)),
				Slots: 6, Connections: 110, ConnectCost: time.Millisecond, ColdLimit: 1, WarmAfter: 5 * time.Second,
			})
		}
		s.addShard(d, &d.Groups[len(d.Groups)-1], i)
	}
	return d
}

// addShard adds the shard with index i and its targets to g and d. Each target
// has an address of its own.
func (s clusterShape) addShard(d *topology.Deployment, g *topology.Group, i int) {
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

// placementInput returns the input of the first placement, without assignments.
func (s clusterShape) placementInput(d *topology.Deployment) placement.Input {
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

// SetupError reports that control's state refused a command while a measurement
// was prepared.
type SetupError struct{ Step string }

// Error names the refused command.
func (e *SetupError) Error() string { return "control refused " + e.Step }

// proposeFunc applies a command to a state, directly or through a log, and
// returns its result, or the log's error.
type proposeFunc func(c state.Command) any

// configure submits and confirms the intent to use the deployment d. number is
// the command's number.
func configure(propose proposeFunc, number string, d *topology.Deployment) error {
	return submitAndConfirm(propose, number, api.IntentSpec{Kind: api.IntentConfigure, Deployment: d})
}

// submitAndConfirm submits and confirms an intent.
func submitAndConfirm(propose proposeFunc, number string, spec api.IntentSpec) error {
	_, err := submitAndConfirmID(propose, number, spec)
	return err
}

// submitAndConfirmID submits an intent with all overrides, confirms its plan,
// and returns the intent's id. It returns a *SetupError if the state refuses
// either command.
func submitAndConfirmID(propose proposeFunc, number string, spec api.IntentSpec) (string, error) {
	spec.Overrides = []api.PlanReason{api.PlanNoReplica, api.PlanInsufficientCapacity, api.PlanNoRouter}
	r, ok := propose(state.Command{Number: number, Submit: &state.Submit{Spec: spec}}).(*state.Result)
	if !ok || r.Intent == nil || r.Intent.Plan == nil {
		return "", &SetupError{Step: "intent " + number}
	}
	confirm := &state.Confirm{Plan: r.Intent.Plan.ID, Base: r.Intent.Plan.Base}
	r, ok = propose(state.Command{Number: number + "-confirm", Confirm: confirm}).(*state.Result)
	if !ok || r.Refusal != nil {
		return "", &SetupError{Step: "the confirmation of " + number}
	}
	return r.Intent.ID, nil
}

// settleIntent records that an intent is in force at the routers and then that
// it is settled, with one command each as control does.
func settleIntent(propose proposeFunc, id string, routers []topology.VMName) {
	for _, settled := range []bool{false, true} {
		propose(state.Command{Progress: &state.Progress{Intent: id, Settled: settled, InForce: routers}})
	}
}

func (s clusterShape) routerNames() []topology.VMName {
	names := make([]topology.VMName, s.routers)
	for i := range names {
		names[i] = routerName(i)
	}
	return names
}

// fill adds the deployment, the routers and the assignments of this shape to a
// state.
func (s clusterShape) fill(propose proposeFunc) error {
	d := s.deployment()
	first, err := submitAndConfirmID(propose, "first", api.IntentSpec{Kind: api.IntentConfigure, Deployment: d})
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
		propose(state.Command{Assign: toAssigns(moves)})
		applyMoves(&in, moves)
	}
	return nil
}

// toAssigns converts moves to the assignments of a command.
func toAssigns(moves []placement.Move) []state.Assign {
	out := make([]state.Assign, len(moves))
	for i, m := range moves {
		out[i] = state.Assign{Target: m.Target, Owner: m.To}
	}
	return out
}

// directProposer returns a function that applies each command to s at the next
// index.
func directProposer(s *state.State) proposeFunc {
	return func(c state.Command) any {
		return s.Apply(s.Index()+1, c.Encode(time.Now()))
	}
}
