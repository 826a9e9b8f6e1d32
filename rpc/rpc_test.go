package rpc_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

type echoOwner struct {
	pb.DRPCOwnerUnimplementedServer
}

func (*echoOwner) Exchange(s pb.DRPCOwner_ExchangeStream) error {
	return rpc.ServeBatches(s.Context(), s, rpc.OwnerCodec,
		func(_ context.Context, q *pb.SubRequest, reply func(*pb.SubReply)) {
			if q.GetShard() == "silent" {
				return
			}
			go reply(&pb.SubReply{Id: q.GetId(), Body: q.GetBody()})
		})
}

func startEcho(t *testing.T) (netip.AddrPort, context.CancelFunc) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		_ = rpc.Serve(ctx, l, func(m drpc.Mux) error { return pb.DRPCRegisterOwner(m, &echoOwner{}) })
	}()
	return netip.MustParseAddrPort(l.Addr().String()), cancel
}

type ownerCaller = rpc.Caller[*pb.SubRequest, *pb.SubReply, *pb.SubRequestBatch, *pb.SubReplyBatch]

func dialEcho(t *testing.T, addr netip.AddrPort) *ownerCaller {
	t.Helper()
	conn, err := rpc.Dial(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	stream, err := pb.NewDRPCOwnerClient(conn).Exchange(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return rpc.NewCaller(addr.String(), stream, rpc.OwnerCodec)
}

func TestCallsOverOneStreamGetTheirOwnReplies(t *testing.T) {
	addr, _ := startEcho(t)
	c := dialEcho(t, addr)
	defer c.Close()
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			r, err := c.Call(t.Context(), &pb.SubRequest{Body: []byte{byte(i)}}, nil)
			if err != nil || r.GetBody()[0] != byte(i) {
				t.Errorf("call %d: got %v, %v", i, r, err)
			}
		})
	}
	wg.Wait()
}

func TestCallEndsWithItsContext(t *testing.T) {
	addr, _ := startEcho(t)
	c := dialEcho(t, addr)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := c.Call(ctx, &pb.SubRequest{Shard: "silent"}, nil)
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v", err)
	}
}

func TestLostConnectionSaysThatTheCallWasSent(t *testing.T) {
	addr, stop := startEcho(t)
	c := dialEcho(t, addr)
	defer c.Close()
	if _, err := c.Call(t.Context(), &pb.SubRequest{Body: []byte{1}}, nil); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(20*time.Millisecond, stop)
	_, err := c.Call(t.Context(), &pb.SubRequest{Shard: "silent"}, nil)
	var lost *rpc.ConnectionLostError
	if !errors.As(err, &lost) || !lost.Sent {
		t.Fatalf("got %v", err)
	}
	if _, err := c.Call(t.Context(), &pb.SubRequest{}, nil); !errors.As(err, &lost) || lost.Sent {
		t.Fatalf("a call after the loss: got %v", err)
	}
}
