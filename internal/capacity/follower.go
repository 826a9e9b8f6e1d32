package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/control/controltest"
	"github.com/peridotmux/peridotmux/control/service"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// renewalsPerFollower is the number of renewals of each follower in a
// measurement.
const renewalsPerFollower = 20

// controlMember is a control member with its own log in memory, and followers
// that are connected over loopback.
type controlMember struct {
	state *state.State
	log   *controltest.Log
	// bytes counts the traffic with the followers, in both directions.
	bytes     *atomic.Int64
	addr      netip.AddrPort
	followers []pb.DRPCControl_FollowClient
	conns     []drpc.Conn
	stop      context.CancelFunc
	ctx       context.Context
}

// newControlMember starts a member whose state is filled with the given shape.
func newControlMember(sh clusterShape) (*controlMember, error) {
	st := state.New(state.DefaultLimits())
	group := controltest.New(st)
	m := &controlMember{state: st, log: group.Member(0)}
	m.ctx, m.stop = context.WithCancel(context.Background())
	if err := sh.fill(m.propose); err != nil {
		return nil, err
	}
	l, err := listen()
	if err != nil {
		return nil, err
	}
	m.bytes, m.addr = l.bytes, netip.MustParseAddrPort(l.Addr().String())
	group.SetAddr(0, m.addr.String())
	svc := service.New(service.Config{
		Member: "a", State: st, Log: m.log, Logger: slog.New(slog.DiscardHandler),
	})
	go func() {
		_ = rpc.Serve(m.ctx, l, func(x drpc.Mux) error { return pb.DRPCRegisterControl(x, svc) })
	}()
	return m, nil
}

// propose commits and applies c; it is a proposeFunc.
func (m *controlMember) propose(c state.Command) any {
	result, err := m.log.Propose(context.Background(), c.Encode(time.Now()))
	if err != nil {
		return err
	}
	return result
}

func (m *controlMember) close() {
	m.stop()
	for _, c := range m.conns {
		_ = c.Close()
	}
}

// addFollower connects router i, which reports all records as applied.
func (m *controlMember) addFollower(i int) error {
	conn, err := rpc.Dial(m.ctx, m.addr)
	if err != nil {
		return err
	}
	m.conns = append(m.conns, conn)
	stream, err := pb.NewDRPCControlClient(conn).Follow(m.ctx)
	if err != nil {
		return err
	}
	m.followers = append(m.followers, stream)
	return m.renew(stream, i, 1)
}

// renew sends renewal seq of router i and waits for the response to it.
func (m *controlMember) renew(s pb.DRPCControl_FollowClient, i, seq int) error {
	err := s.Send(&pb.FollowRequest{
		Vm: string(routerName(i)), Incarnation: uint64(i) + 1, Seq: uint64(seq), Applied: m.state.Index(),
		DataCentre: string(dcName(i)), RpcAddr: "10.1.1.1:7000", HttpAddr: "10.1.1.1:8000",
	})
	if err != nil {
		return err
	}
	for {
		r, err := s.Recv()
		if err != nil || r.GetSeq() == uint64(seq) {
			return err
		}
	}
}

// fitRenewals measures the processor time and the bytes of one renewal of each
// follower.
func fitRenewals(out *measurements) error {
	processor := Slope{
		Key: "renewal-processor", Title: "One renewal of each follower: processor time, both ends",
		XLabel: "followers", YLabel: "milliseconds",
	}
	bytes := Slope{
		Key: "renewal-bytes", Title: "One renewal of each follower: bytes both ways",
		XLabel: "followers", YLabel: "bytes",
	}
	sizes := []int{25, 100, 200, 400}
	perSize := make(map[int]float64)
	var err error
	processor, err = measureSizes(processor, sizes, func(n int) (float64, error) {
		ms, sent, err := measureRenewals(n)
		perSize[n] = sent
		return ms, err
	})
	if err != nil {
		return err
	}
	bytes, err = measureSizes(bytes, sizes, func(n int) (float64, error) { return perSize[n], nil })
	out.RenewalProcessor, out.RenewalBytes = processor, bytes
	return err
}

// measureRenewals returns the processor time in milliseconds and the bytes of
// one renewal of each follower.
func measureRenewals(followers int) (ms, bytes float64, err error) {
	m, err := newControlMember(clusterShape{projectedDCs, threeReplicas})
	if err != nil {
		return 0, 0, err
	}
	defer m.close()
	for i := range followers {
		if err := m.addFollower(i); err != nil {
			return 0, 0, err
		}
	}
	before, start := m.bytes.Load(), processorTime()
	for seq := range renewalsPerFollower {
		for i, s := range m.followers {
			if err := m.renew(s, i, seq+2); err != nil {
				return 0, 0, err
			}
		}
	}
	ms = micros(processorTime()-start) / 1e3 / renewalsPerFollower
	return ms, float64(m.bytes.Load()-before) / renewalsPerFollower, nil
}

// fitDelta measures the bytes that a follower receives after targets have
// moved.
func fitDelta(out *measurements) error {
	s := Slope{
		Key: "delta-bytes", Title: "Bytes to one follower after targets moved",
		XLabel: "targets moved", YLabel: "bytes",
	}
	var err error
	out.DeltaBytes, err = measureSizes(s, []int{1, 6, 60, 600}, func(n int) (float64, error) {
		m, err := newControlMember(clusterShape{projectedNodes, threeReplicas})
		if err != nil {
			return 0, err
		}
		defer m.close()
		if err := m.addFollower(1); err != nil {
			return 0, err
		}
		before := m.bytes.Load()
		m.propose(state.Command{Assign: reassign(m.state, n)})
		_, err = m.followers[0].Recv()
		return float64(m.bytes.Load() - before), err
	})
	return err
}

// reassign returns assignments of the first n targets to other owners.
func reassign(s *state.State, n int) []state.Assign {
	out := make([]state.Assign, 0, n)
	for _, t := range s.View().Topology.Deployment.Targets[:n] {
		owner := routerName(0)
		if s.View().Assignments[t.ID].Owner == owner {
			owner = routerName(1)
		}
		out = append(out, state.Assign{Target: t.ID, Owner: owner})
	}
	return out
}

// fitSnapshotSizes measures the size of all records, which a router without any
// receives, and that of the deployment's record among them.
func fitSnapshotSizes(out *measurements) error {
	whole := Slope{
		Key: "whole-bytes", Title: "All records for a new follower, routers and targets in ratio",
		XLabel: "routers", YLabel: "KiB",
	}
	deployment := Slope{
		Key: "deployment-bytes", Title: "The record of a deployment",
		XLabel: "targets", YLabel: "KiB",
	}
	for _, n := range []int{101, 202, 405, projectedNodes} {
		sh := clusterShape{n, threeReplicas}
		st := state.New(state.DefaultLimits())
		if err := sh.fill(directProposer(st)); err != nil {
			return err
		}
		d := st.Delta(0)
		all := proto.Size(&pb.FollowResponse{Snapshot: true, Records: d.Records, Index: d.Index})
		whole.Points = append(whole.Points, Point{float64(n), float64(all) / 1024})
		deployment.Points = append(deployment.Points, Point{float64(sh.targets()), deploymentSize(d.Records) / 1024})
	}
	whole.fit()
	deployment.fit()
	out.WholeBytes, out.DeploymentBytes = whole, deployment
	return nil
}

// deploymentSize returns the encoded size of the deployment's record in bytes,
// or 0 if there is none.
func deploymentSize(records []*pb.Record) float64 {
	for _, r := range records {
		if r.GetDeployment() != nil {
			return float64(proto.Size(r))
		}
	}
	return 0
}

// targetAt returns the id of the target at index i, modulo the number of
// targets.
func targetAt(d *topology.Deployment, i int) topology.TargetID {
	return d.Targets[i%len(d.Targets)].ID
}

// numbered returns a command number made of name and i.
func numbered(name string, i int) string { return fmt.Sprintf("%s-%d", name, i) }
