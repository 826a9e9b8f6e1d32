package server_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/control/admin"
	"github.com/peridotmux/peridotmux/control/controltest"
	"github.com/peridotmux/peridotmux/control/server"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// startGroup runs n members on a fake log. The first member leads.
func startGroup(t *testing.T, n int) (*controltest.Group, []admin.Peer) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	states := make([]control.StateMachine, n)
	for i := range states {
		states[i] = &lateState{ready: make(chan struct{})}
	}
	group := controltest.New(states...)
	var peers []admin.Peer
	var configs []server.Config
	for i := range n {
		c := server.Config{
			Member: string(rune('a' + i)), RPC: listen(t), HTTP: listen(t),
			Limits: state.DefaultLimits(), Logger: slog.New(slog.DiscardHandler),
			Group: func(_ context.Context, sm control.StateMachine) (*server.Group, error) {
				late := states[i].(*lateState)
				late.StateMachine = sm
				close(late.ready)
				return &server.Group{Log: group.Member(i)}, nil
			},
		}
		group.SetAddr(i, c.RPC.Addr().String())
		peers = append(peers, admin.Peer{ID: c.Member, RPC: c.RPC.Addr().String(), HTTP: c.HTTP.Addr().String()})
		configs = append(configs, c)
	}
	done := make(chan error, n)
	for _, c := range configs {
		c.Peers = peers
		go func() { done <- server.Run(ctx, c) }()
	}
	t.Cleanup(func() {
		cancel()
		for range n {
			if err := <-done; err != nil {
				t.Errorf("member: %v", err)
			}
		}
	})
	return group, peers
}

// lateState is a state machine that is provided when its member starts. Entries
// applied earlier wait until then, since other members may start first.
type lateState struct {
	control.StateMachine
	ready chan struct{}
}

func (s *lateState) Apply(index uint64, data []byte) any {
	<-s.ready
	return s.StateMachine.Apply(index, data)
}

func call(t *testing.T, method, addr, path string, body, answer any) int {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	q, err := http.NewRequestWithContext(t.Context(), method, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if err := json.NewDecoder(r.Body).Decode(answer); err != nil {
		t.Fatal(err)
	}
	return r.StatusCode
}

func follow(t *testing.T, addr, vm, dc string) pb.DRPCControl_FollowClient {
	t.Helper()
	conn, err := rpc.Dial(t.Context(), netip.MustParseAddrPort(addr))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	stream, err := pb.NewDRPCControlClient(conn).Follow(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	err = stream.Send(&pb.FollowRequest{
		Vm: vm, Incarnation: 1, Seq: 1, DataCentre: dc, RpcAddr: "127.0.0.1:1", HttpAddr: "127.0.0.1:2",
	})
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

// A deployment that is submitted through a follower must reach the routers of
// every member: first the member's records without a lease, then a confirmed
// response, then assignments to both routers.
func TestDeploymentReachesRoutersOfEachMember(t *testing.T) {
	_, peers := startGroup(t, 2)
	var in api.Intent
	status := call(t, http.MethodPost, peers[1].HTTP, api.PathIntents, &api.Submission{
		Command: "c1",
		Intent: api.IntentSpec{
			Kind: api.IntentConfigure, Deployment: controltest.Deployment(4, 3, "bern-a", "olten-b"),
		},
	}, &in)
	if status != http.StatusOK || in.State != api.IntentPlanned {
		t.Fatalf("submission: %d %+v", status, in)
	}
	path := "/v1/intents/" + in.Plan.ID + "/confirm"
	var confirmed api.Intent
	status = call(t, http.MethodPost, peers[1].HTTP, path, &api.Confirmation{Command: "c2", Base: in.Plan.Base}, &confirmed)
	if status != http.StatusOK || confirmed.Outcome.ConfigVersion != 1 {
		t.Fatalf("confirmation: %d %+v", status, confirmed)
	}
	for i, vm := range []string{"vm-1", "vm-2"} {
		stream := follow(t, peers[i].RPC, vm, []string{"bern-a", "olten-b"}[i])
		// The member sends its records at once, without a lease, and then the
		// response.
		initial, err := stream.Recv()
		if err != nil || initial.GetSeq() != 0 || initial.GetConfirmed() || !initial.GetSnapshot() || len(initial.GetRecords()) == 0 {
			t.Fatalf("%s: %v %v", vm, initial, err)
		}
		r, err := stream.Recv()
		if err != nil || r.GetSeq() != 1 || !r.GetConfirmed() || r.GetIndex() < initial.GetIndex() {
			t.Fatalf("%s: %v %v", vm, r, err)
		}
		defer func() { _ = stream.Close() }()
		if i == 1 {
			waitForAssignments(t, stream)
		}
	}
	var s api.Status
	call(t, http.MethodGet, peers[1].HTTP, api.PathStatus, nil, &s)
	if len(s.Routers) != 2 || s.UnassignedTargets != 0 || s.Stale {
		t.Fatalf("status: %+v", s)
	}
	if s.Routers[0].ConfigVersion != 0 || s.Routers[1].ConfigVersion != 1 {
		t.Errorf("want vm-1 without an applied deployment and vm-2 with version 1: %+v", s.Routers)
	}
}

// waitForAssignments receives records until both routers own targets.
func waitForAssignments(t *testing.T, stream pb.DRPCControl_FollowClient) {
	t.Helper()
	owners := make(map[string]bool)
	seq := uint64(1)
	deadline := time.Now().Add(10 * time.Second)
	for len(owners) < 2 && time.Now().Before(deadline) {
		r, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		for _, rec := range r.GetRecords() {
			if a := rec.GetAssignment(); a != nil {
				owners[a.GetOwner()] = true
			}
		}
		seq++
		_ = stream.Send(&pb.FollowRequest{
			Vm: "vm-2", Incarnation: 1, Seq: seq, Applied: r.GetIndex(),
			DataCentre: "olten-b", RpcAddr: "127.0.0.1:1", HttpAddr: "127.0.0.1:2",
		})
	}
	if len(owners) != 2 {
		t.Fatalf("owners: %v", owners)
	}
}
