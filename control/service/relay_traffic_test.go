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
	relayFollowers = 800
	// relayFanOut is the number of followers for each relay, including the one
	// that feeds the relay.
	relayFanOut = 10
)

// relay forwards records to the followers connected to it. It confirms no
// leases.
type relay struct {
	pb.DRPCControlUnimplementedServer
	addr netip.AddrPort

	mu        sync.Mutex
	followers []chan *pb.FollowResponse
}

func (r *relay) Follow(s pb.DRPCControl_FollowStream) error {
	follower := make(chan *pb.FollowResponse, 100)
	r.mu.Lock()
	r.followers = append(r.followers, follower)
	r.mu.Unlock()
	for {
		select {
		case <-s.Context().Done():
			return s.Context().Err()
		case response := <-follower:
			if err := s.Send(response); err != nil {
				return err
			}
		}
	}
}

func (r *relay) forward(response *pb.FollowResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, follower := range r.followers {
		follower <- &pb.FollowResponse{Snapshot: response.GetSnapshot(), Records: response.GetRecords(), Index: response.GetIndex()}
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

// Prints the bytes sent by the member, and the delay until the last follower
// has a change, with and without followers that relay records. It checks
// nothing and runs only with -slope.
func TestRelayTraffic(t *testing.T) {
	if !*measureTraffic {
		t.Skip("a measurement; run it with -slope")
	}
	for _, relayed := range []bool{false, true} {
		l := startLeader(t)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		var nodes []*node
		var relays []*relay
		for i := range relayFollowers {
			n, addr := &node{}, l.addr
			switch {
			case relayed && i%relayFanOut == 0:
				r := startRelay(t, ctx)
				n.forward = r.forward
				relays = append(relays, r)
			case relayed:
				addr = relays[len(relays)-1].addr
			}
			nodes = append(nodes, n)
			wg.Go(func() { _ = n.follow(ctx, addr, fmt.Sprintf("vm-%04d", i)) })
		}
		time.Sleep(2 * time.Second)
		// The next deployment also reaches followers that connected to a relay
		// late.
		l.change(t, 500, true)
		waitApplied(t, nodes, l.state.RecordsIndex())
		for _, whole := range []bool{false, true} {
			var bytes int64
			var worst, sum time.Duration
			for i := range trafficChanges {
				before := l.meter.out.Load()
				l.change(t, i, whole)
				took := waitApplied(t, nodes, l.state.RecordsIndex())
				bytes += l.meter.out.Load() - before
				worst, sum = max(worst, took), sum+took
			}
			fmt.Printf("relayed %t, whole deployment %t: %d KB per change at the member, last follower after %v mean, %v worst\n",
				relayed, whole, bytes/trafficChanges/1000, (sum / trafficChanges).Round(time.Millisecond), worst.Round(time.Millisecond))
		}
		cancel()
		wg.Wait()
	}
}
