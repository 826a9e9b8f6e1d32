package service_test

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/controltest"
	"github.com/peridotmux/peridotmux/control/service"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// measureTraffic enables the traffic measurements, which take long and check
// nothing.
var measureTraffic = flag.Bool("slope", false, "measure the traffic of 8 to 800 followers and print it")

const (
	// idleTime is how long the idle traffic is measured, and trafficChanges the
	// number of changes for each kind of change.
	idleTime        = 5 * time.Second
	trafficChanges  = 4
	trafficShards   = 470
	trafficReplicas = 10
)

// trafficLoads is what a router with four groups reports.
var trafficLoads = []*pb.GroupLoad{
	{Group: "agent-desk", Busy: 7.31, Open: 18},
	{Group: "coop-portal", Busy: 3.77, Open: 24},
	{Group: "archive-reader", Busy: 9.13, Open: 12},
	{Group: "notice-mailer", Busy: 0.41, Open: 6},
}

// meter counts the bytes and writes on the connections of a listener.
type meter struct {
	net.Listener
	in, out, writes atomic.Int64
}

func (m *meter) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	return &meteredConn{c, m}, err
}

type meteredConn struct {
	net.Conn
	m *meter
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.m.in.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.m.out.Add(int64(n))
	c.m.writes.Add(1)
	return n, err
}

// node is a follower over TCP. If forward is set, it is called with each
// response that has records.
type node struct {
	applied  atomic.Uint64
	messages atomic.Int64
	forward  func(*pb.FollowResponse)
}

func (n *node) follow(ctx context.Context, addr netip.AddrPort, vm string) error {
	conn, err := rpc.Dial(ctx, addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	s, err := pb.NewDRPCControlClient(conn).Follow(ctx)
	if err != nil {
		return err
	}
	go func() {
		tick := time.NewTicker(lease.RenewInterval)
		defer tick.Stop()
		for seq := uint64(1); ; seq++ {
			err := s.Send(&pb.FollowRequest{
				Vm: vm, Incarnation: 1 << 60, Seq: seq, Applied: n.applied.Load(), DataCentre: "dc-a",
				RpcAddr: "127.0.0.1:20001", HttpAddr: "127.0.0.1:20002", Loads: trafficLoads,
			})
			if err != nil {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	}()
	for {
		r, err := s.Recv()
		if err != nil {
			return err
		}
		n.messages.Add(1)
		if n.forward != nil && len(r.GetRecords()) > 0 {
			n.forward(r)
		}
		n.applied.Store(r.GetIndex())
	}
}

// leader is a member with its own listener and a full deployment.
type leader struct {
	state *state.State
	group *controltest.Group
	meter *meter
	addr  netip.AddrPort
	base  *topology.Deployment
}

func startLeader(t *testing.T) *leader {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	st := state.New(state.DefaultLimits())
	out := &leader{
		state: st, group: controltest.New(st), meter: &meter{Listener: l},
		addr: netip.MustParseAddrPort(l.Addr().String()),
		base: controltest.Deployment(trafficShards, trafficReplicas, "dc-a", "dc-b", "dc-c", "dc-d"),
	}
	svc := service.New(service.Config{
		Member: "a", State: st, Log: out.group.Member(0), Logger: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		_ = rpc.Serve(ctx, out.meter, func(m drpc.Mux) error { return pb.DRPCRegisterControl(m, svc) })
	}()
	out.accept(t, api.IntentSpec{Kind: api.IntentConfigure, Deployment: out.base})
	return out
}

func (l *leader) accept(t *testing.T, spec api.IntentSpec) {
	t.Helper()
	do := func(c state.Command) *state.Result {
		out, err := l.group.Member(0).Propose(t.Context(), c.Encode(time.Now()))
		if err != nil {
			t.Fatal(err)
		}
		return out.(*state.Result)
	}
	in := do(state.Command{Submit: &state.Submit{Spec: spec}}).Intent
	if r := do(state.Command{Confirm: &state.Confirm{Plan: in.Plan.ID, Base: in.Plan.Base}}); r.Refusal != nil {
		t.Fatalf("refused: %v", r.Refusal)
	}
}

// change changes the deployment if deployment is true, and otherwise makes
// target n quiet.
func (l *leader) change(t *testing.T, n int, deployment bool) {
	t.Helper()
	if !deployment {
		l.accept(t, api.IntentSpec{Kind: api.IntentTakeOut, Targets: []topology.TargetID{l.base.Targets[n].ID}})
		return
	}
	d := *l.base
	d.HedgeBudget = float64(n+1) / 1000
	l.accept(t, api.IntentSpec{Kind: api.IntentConfigure, Deployment: &d})
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// waitApplied waits until all nodes have applied index, and returns how long
// that took.
func waitApplied(t *testing.T, nodes []*node, index uint64) time.Duration {
	t.Helper()
	start := time.Now()
	for _, n := range nodes {
		for n.applied.Load() < index {
			if time.Since(start) > time.Minute {
				t.Fatal("a follower doesn't get the records")
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start)
}

// Prints a table of the traffic at a member. The followers run in the same
// process, so the processor time covers both ends. It checks nothing and runs
// only with -slope.
func TestFollowTraffic(t *testing.T) {
	if !*measureTraffic {
		t.Skip("a measurement; run it with -slope")
	}
	fmt.Println("followers  idle B/s in+out per follower  writes/s per follower  cpu ms/s per follower (both ends)  " +
		"B per quiet change and follower  B per deployment and follower  last follower has a quiet change / deployment after  heap MB")
	for _, count := range []int{8, 80, 200, 400, 800} {
		l := startLeader(t)
		nodes, stop := l.followers(count)
		waitApplied(t, nodes, l.state.RecordsIndex())
		time.Sleep(time.Second)
		in, out, writes, cpu := l.meter.in.Load(), l.meter.out.Load(), l.meter.writes.Load(), processorTime()
		time.Sleep(idleTime)
		per := func(n int64) float64 { return float64(n) / idleTime.Seconds() / float64(count) }
		idle := per(l.meter.in.Load() - in + l.meter.out.Load() - out)
		w, c := per(l.meter.writes.Load()-writes), per(int64(processorTime()-cpu))/1e6
		quietBytes, quietDelay := l.changeCost(t, nodes, idle, false)
		wholeBytes, wholeDelay := l.changeCost(t, nodes, idle, true)
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		fmt.Printf("%9d  %.0f  %.1f  %.3f  %.0f  %.0f  %v / %v  %d\n", count, idle, w, c,
			quietBytes, wholeBytes, quietDelay.Round(time.Millisecond), wholeDelay.Round(time.Millisecond), m.HeapInuse>>20)
		stop()
	}
}

// followers starts count followers and returns them with a function that stops
// them.
func (l *leader) followers(count int) ([]*node, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var nodes []*node
	for i := range count {
		n := &node{}
		nodes = append(nodes, n)
		wg.Go(func() { _ = n.follow(ctx, l.addr, fmt.Sprintf("vm-%04d", i)) })
	}
	return nodes, func() {
		cancel()
		wg.Wait()
	}
}

// changeCost makes changes and returns the bytes of one change per follower,
// without idle traffic, and the longest delay until the last follower had it.
func (l *leader) changeCost(t *testing.T, nodes []*node, idle float64, deployment bool) (float64, time.Duration) {
	t.Helper()
	start, before := time.Now(), l.meter.in.Load()+l.meter.out.Load()
	worst := time.Duration(0)
	for i := range trafficChanges {
		l.change(t, i, deployment)
		worst = max(worst, waitApplied(t, nodes, l.state.RecordsIndex()))
	}
	total := float64(l.meter.in.Load()+l.meter.out.Load()-before) / float64(len(nodes))
	return (total - idle*time.Since(start).Seconds()) / trafficChanges, worst
}
