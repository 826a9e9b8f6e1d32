package rpc_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// partsEcho replies to a request with one message for each shard, the last of them
// being the final one, and counts withdrawn requests.
type partsEcho struct{ withdrawn chan uint64 }

func (e *partsEcho) Exchange(s pb.DRPCParts_ExchangeStream) error {
	return rpc.ServeBatches(s.Context(), s, rpc.PartsCodec, func(_ context.Context, q *pb.PartsRequest, reply func(*pb.PartsReply)) {
		if q.GetCancel() {
			e.withdrawn <- q.GetId()
			return
		}
		for i := range q.GetShards() {
			status := pb.PartsStatus_PARTS_STATUS_MORE
			if i == len(q.GetShards())-1 && q.GetTop() == 0 {
				status = pb.PartsStatus_PARTS_STATUS_DONE
			}
			reply(&pb.PartsReply{Id: q.GetId(), Status: status, Runs: uint32(i)})
		}
	})
}

func startPartsEcho(t *testing.T) (*rpc.PartsLink, *partsEcho) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	echo := &partsEcho{withdrawn: make(chan uint64, 1)}
	go func() { _ = rpc.Serve(ctx, l, func(m drpc.Mux) error { return pb.DRPCRegisterParts(m, echo) }) }()
	link := rpc.NewPartsLink(netip.MustParseAddrPort(l.Addr().String()))
	t.Cleanup(link.Close)
	return link, echo
}

// An exchange must deliver all replies in order, those of others none, and the other
// process must learn that a request was withdrawn.
func TestExchangeDeliversSeveralReplies(t *testing.T) {
	link, echo := startPartsEcho(t)
	ctx := t.Context()
	first, err := link.Open(ctx, &pb.PartsRequest{Shards: make([]string, 5)}, 5)
	if err != nil {
		t.Fatal(err)
	}
	second, err := link.Open(ctx, &pb.PartsRequest{Shards: make([]string, 2), Top: 1}, 2)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		if r := <-first.Replies; r.GetRuns() != uint32(i) || rpc.PartsCodec.More(r) != (i < 4) {
			t.Fatalf("reply %d: %v", i, r)
		}
	}
	first.Finish()
	<-second.Replies
	second.Send(&pb.PartsRequest{Cancel: true})
	second.Finish()
	select {
	case <-echo.withdrawn:
	case <-time.After(5 * time.Second):
		t.Fatal("the withdrawal didn't arrive")
	}
}

// A process that sends more replies than expected must not block those to others.
func TestExcessRepliesAreDropped(t *testing.T) {
	link, _ := startPartsEcho(t)
	if _, err := link.Open(t.Context(), &pb.PartsRequest{Shards: make([]string, 50), Top: 1}, 3); err != nil {
		t.Fatal(err)
	}
	other, err := link.Open(t.Context(), &pb.PartsRequest{Shards: make([]string, 1)}, 1)
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-other.Replies:
	case <-time.After(5 * time.Second):
		t.Fatal("blocked by another exchange")
	}
}

// The loss of the connection must end an exchange, and one to a process that isn't
// there must fail without having been sent.
func TestExchangeEndsWithConnection(t *testing.T) {
	link, _ := startPartsEcho(t)
	e, err := link.Open(t.Context(), &pb.PartsRequest{Shards: make([]string, 1), Top: 1}, 3)
	if err != nil {
		t.Fatal(err)
	}
	<-e.Replies
	link.Close()
	select {
	case <-e.Lost:
	case <-time.After(5 * time.Second):
		t.Fatal("the exchange goes on")
	}
	nowhere := rpc.NewPartsLink(netip.MustParseAddrPort("127.0.0.1:1"))
	if _, err := nowhere.Open(t.Context(), &pb.PartsRequest{}, 1); err == nil {
		t.Fatal("opened without a process")
	}
}
