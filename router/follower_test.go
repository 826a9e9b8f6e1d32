package router

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// fakeMember is a control member whose responses come from its functions. A nil
// response is not sent.
type fakeMember struct {
	pb.DRPCControlUnimplementedServer
	follow func(*pb.FollowRequest) *pb.FollowResponse
	claim  func(*pb.ClaimRequest) *pb.ClaimReply

	mu       sync.Mutex
	requests int
}

func (m *fakeMember) Follow(s pb.DRPCControl_FollowStream) error {
	for {
		q, err := s.Recv()
		if err != nil {
			return err
		}
		m.mu.Lock()
		m.requests++
		m.mu.Unlock()
		if r := m.follow(q); r != nil {
			r.Seq = q.GetSeq()
			if err := s.Send(r); err != nil {
				return err
			}
		}
	}
}

func (m *fakeMember) Claims(s pb.DRPCControl_ClaimsStream) error {
	return rpc.ServeBatches(s.Context(), s, rpc.ClaimCodec,
		func(_ context.Context, q *pb.ClaimRequest, reply func(*pb.ClaimReply)) {
			if r := m.claim(q); r != nil {
				r.Id = q.GetId()
				reply(r)
			}
		})
}

func (m *fakeMember) requestCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.requests
}

func (m *fakeMember) serve(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		_ = rpc.Serve(ctx, l, func(mux drpc.Mux) error { return pb.DRPCRegisterControl(mux, m) })
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func startFollower(t *testing.T, members ...netip.AddrPort) *follower {
	t.Helper()
	f := &follower{
		vm:      topology.VM{Name: "entry-1"},
		members: members, board: board.New(), lease: lease.New(time.Now()),
		log: slog.New(slog.DiscardHandler), leaving: func() bool { return false },
		renewNow: make(chan struct{}, 1), onLeader: func(string) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.run(ctx)
	return f
}

func confirming(index uint64) func(*pb.FollowRequest) *pb.FollowResponse {
	return func(*pb.FollowRequest) *pb.FollowResponse {
		return &pb.FollowResponse{Index: index, Confirmed: true}
	}
}

func neverResponds(*pb.FollowRequest) *pb.FollowResponse { return nil }

func unconfirmed(*pb.FollowRequest) *pb.FollowResponse { return &pb.FollowResponse{Index: 1} }

func outdatedConfirmation(*pb.FollowRequest) *pb.FollowResponse {
	return &pb.FollowResponse{Index: 1, Confirmed: true, ConfirmAgeUs: uint64(lease.Duration.Microseconds())}
}

func waitForLease(t *testing.T, f *follower, timeout time.Duration) bool {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f.lease.Valid(time.Now()) {
			return true
		}
	}
	return false
}

// TestLeaseComesFromConfirmingMember guards against a router that stays with
// a member that grants no lease: the first member is silent, does not confirm, or
// sends an outdated confirmation. The router must get a lease from the second
// member within one lease duration.
func TestLeaseComesFromConfirmingMember(t *testing.T) {
	bad := map[string]func(*pb.FollowRequest) *pb.FollowResponse{
		"silent": neverResponds, "unconfirmed": unconfirmed, "outdated confirmation": outdatedConfirmation,
	}
	for name, follow := range bad {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := &fakeMember{follow: follow}, &fakeMember{follow: confirming(1)}
			f := startFollower(t, first.serve(t), second.serve(t))
			if !waitForLease(t, f, lease.Duration) {
				t.Errorf("no lease; members received %d and %d requests", first.requestCount(), second.requestCount())
			}
		})
	}
}

// TestNoLeaseWithoutConfirmation guards against a lease that rests on an
// unconfirmed response.
func TestNoLeaseWithoutConfirmation(t *testing.T) {
	m := &fakeMember{follow: unconfirmed}
	f := startFollower(t, m.serve(t))
	if waitForLease(t, f, 2*memberTimeout) {
		t.Error("lease granted without a confirmation")
	}
}

// TestClaimIsRetriedWithSameTokenAfterLostReply sends a claim to a follower that
// redirects to the leader, whose first reply is lost. The retry must reach the
// leader with the same token; a new token would claim the key a second time.
func TestClaimIsRetriedWithSameTokenAfterLostReply(t *testing.T) {
	tokens := make(map[uint64]bool)
	lost := 0
	leader := &fakeMember{claim: func(q *pb.ClaimRequest) *pb.ClaimReply {
		tokens[q.GetToken()] = true
		if lost++; lost == 1 {
			return nil
		}
		return &pb.ClaimReply{Status: pb.ClaimStatus_CLAIM_STATUS_GRANTED}
	}}
	leaderAddr := leader.serve(t)
	follower := &fakeMember{claim: func(*pb.ClaimRequest) *pb.ClaimReply {
		return &pb.ClaimReply{
			Status: pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE, LeaderAddr: leaderAddr.String(),
		}
	}}
	c := newClaimClient("entry-1", 1, []netip.AddrPort{follower.serve(t), leaderAddr})
	defer c.close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	claim, err := c.Claim(ctx, "key", 1)
	if err != nil || claim.Status != pb.ClaimStatus_CLAIM_STATUS_GRANTED {
		t.Fatalf("got %v, %v", claim, err)
	}
	if len(tokens) != 1 {
		t.Errorf("the claim was sent with %d different tokens, want 1", len(tokens))
	}
}

// TestClaimIsUnavailableWhenNothingWasSent guards against an unknown outcome
// for a claim that never left the process because the member refuses
// connections.
func TestClaimIsUnavailableWhenNothingWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	c := newClaimClient("entry-1", 1, []netip.AddrPort{addr})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	claim, err := c.Claim(ctx, "key", 1)
	if err != nil || claim.Status != pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE {
		t.Fatalf("got %v, %v", claim, err)
	}
}
