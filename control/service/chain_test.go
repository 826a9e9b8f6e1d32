package service_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

const (
	chainFollowers = 800
	chainFanOut    = 10
)

// relay hands records on to the followers behind it. It gives no leases.
type relay struct {
	pb.DRPCControlUnimplementedServer
	addr netip.AddrPort

	mu    sync.Mutex
	tails []chan *pb.FollowResponse
}

func (r *relay) Follow(s pb.DRPCControl_FollowStream) error {
	tail := make(chan *pb.FollowResponse, 100)
	r.mu.Lock()
	r.tails = append(r.tails, tail)
	r.mu.Unlock()
	for {
		select {
		case <-s.Context().Done():
			return s.Context().Err()
		case response := <-tail:
			if err := s.Send(response); err != nil {
				return err
			}
		}
	}
}

func (r *relay) forward(response *pb.FollowResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, tail := range r.tails {
		tail <- &pb.FollowResponse{Snapshot: response.GetSnapshot(), Records: response.GetRecords(), Index: response.GetIndex()}
	}
}

func startRelay(t *testing.T, ctx context.Context) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{addr: netip.MustParseAddrPort(l.Addr().String())}
	go func() {
		_ = rpc.Serve(ctx, l, func(m drpc.Mux) error { return pb.DRPCRegisterControl(m, r) })
	}()
	return r
}

// TestChain prints bytes at the member, and the delay until the last follower
// has a change, with and without followers that hand records on.
func TestChain(t *testing.T) {
	if !*slope {
		t.Skip("a measurement; run it with -slope")
	}
	for _, chained := range []bool{false, true} {
		l := startLeader(t)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		var nodes []*node
		var heads []*relay
		for i := range chainFollowers {
			n, addr := &node{}, l.addr
			switch {
			case chained && i%chainFanOut == 0:
				r := startRelay(t, ctx)
				n.forward = r.forward
				heads = append(heads, r)
			case chained:
				addr = heads[len(heads)-1].addr
			}
			nodes = append(nodes, n)
			wg.Go(func() { _ = n.follow(ctx, addr, fmt.Sprintf("vm-%04d", i)) })
		}
		time.Sleep(2 * time.Second)
		// Followers that joined a relay late have the next whole deployment.
		l.change(t, 500, true)
		wait(t, nodes, l.state.RecordsIndex())
		for _, whole := range []bool{false, true} {
			var bytes int64
			var worst, sum time.Duration
			for i := range slopeChanges {
				before := l.meter.out.Load()
				l.change(t, i, whole)
				took := wait(t, nodes, l.state.RecordsIndex())
				bytes += l.meter.out.Load() - before
				worst, sum = max(worst, took), sum+took
			}
			fmt.Printf("chained %t, whole deployment %t: %d KB a change at the member, last follower after %v mean, %v worst\n",
				chained, whole, bytes/slopeChanges/1000, (sum / slopeChanges).Round(time.Millisecond), worst.Round(time.Millisecond))
		}
		cancel()
		wg.Wait()
	}
}
