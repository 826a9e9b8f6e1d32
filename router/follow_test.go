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

// fakeMember is a control member that answers as its functions say.
type fakeMember struct {
	pb.DRPCControlUnimplementedServer
	follow func(*pb.FollowRequest) *pb.FollowResponse
	claim  func(*pb.ClaimRequest) *pb.ClaimReply

	mu   sync.Mutex
	seen int
}

func (m *fakeMember) Follow(s pb.DRPCControl_FollowStream) error {
	for {
		q, err := s.Recv()
		if err != nil {
			return err
		}
		m.mu.Lock()
		m.seen++
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

func (m *fakeMember) asked() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seen
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

func confirms(index uint64) func(*pb.FollowRequest) *pb.FollowResponse {
	return func(*pb.FollowRequest) *pb.FollowResponse {
		return &pb.FollowResponse{Index: index, Confirmed: true}
	}
}

func silent(*pb.FollowRequest) *pb.FollowResponse { return nil }

func unconfirmed(*pb.FollowRequest) *pb.FollowResponse { return &pb.FollowResponse{Index: 1} }

func old(*pb.FollowRequest) *pb.FollowResponse {
	return &pb.FollowResponse{Index: 1, Confirmed: true, ConfirmAgeUs: uint64(lease.Duration.Microseconds())}
}

func awaitLease(t *testing.T, f *follower, patience time.Duration) bool {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f.lease.Valid(time.Now()) {
			return true
		}
	}
	return false
}

// TestLeaseComesFromAMemberThatConfirms puts members that give no lease beside
// one that does. A lease must be had within its own duration.
func TestLeaseComesFromAMemberThatConfirms(t *testing.T) {
	bad := map[string]func(*pb.FollowRequest) *pb.FollowResponse{
		"silent": silent, "unconfirmed": unconfirmed, "old confirmation": old,
	}
	for name, follow := range bad {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := &fakeMember{follow: follow}, &fakeMember{follow: confirms(1)}
			f := startFollower(t, first.serve(t), second.serve(t))
			if !awaitLease(t, f, lease.Duration) {
				t.Errorf("no lease; asked %d and %d times", first.asked(), second.asked())
			}
		})
	}
}

func TestNoLeaseWithoutConfirmation(t *testing.T) {
	m := &fakeMember{follow: unconfirmed}
	f := startFollower(t, m.serve(t))
	if awaitLease(t, f, 2*memberSilence) {
		t.Error("a lease without a confirmation")
	}
}

func TestClaimGoesToTheLeaderAndSurvivesALostReply(t *testing.T) {
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
	c := newClaims("entry-1", 1, []netip.AddrPort{follower.serve(t), leaderAddr})
	defer c.close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	claim, err := c.Claim(ctx, "key", 1)
	if err != nil || claim.Status != pb.ClaimStatus_CLAIM_STATUS_GRANTED {
		t.Fatalf("got %v, %v", claim, err)
	}
	if len(tokens) != 1 {
		t.Errorf("the claim was sent with %d tokens", len(tokens))
	}
}

func TestClaimIsUnavailableWhereNothingWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	c := newClaims("entry-1", 1, []netip.AddrPort{addr})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	claim, err := c.Claim(ctx, "key", 1)
	if err != nil || claim.Status != pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE {
		t.Fatalf("got %v, %v", claim, err)
	}
}
