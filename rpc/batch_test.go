package rpc_test

import (
	"context"
	"io"
	"runtime"
	"sync"
	"testing"

	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// loopStream replies to each batch of requests with one batch of replies.
type loopStream struct {
	replies chan *pb.SubReplyBatch
	once    sync.Once
	done    chan struct{}
	// sent is the number of batches. Only the caller's send loop writes it.
	sent int
}

func newLoopStream() *loopStream {
	return &loopStream{replies: make(chan *pb.SubReplyBatch, 1024), done: make(chan struct{})}
}

func (s *loopStream) Send(b *pb.SubRequestBatch) error {
	s.sent++
	out := &pb.SubReplyBatch{}
	for _, q := range b.GetRequests() {
		out.Replies = append(out.Replies, &pb.SubReply{Id: q.GetId()})
	}
	s.replies <- out
	return nil
}

func (s *loopStream) Recv() (*pb.SubReplyBatch, error) {
	select {
	case b := <-s.replies:
		return b, nil
	case <-s.done:
		return nil, io.EOF
	}
}

func (s *loopStream) Close() error {
	s.once.Do(func() { close(s.done) })
	return nil
}

// TestConcurrentCallsShareBatches guards against a sender that sends each
// request by itself. With one processor, concurrent calls must share batches.
func TestConcurrentCallsShareBatches(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const calls, mostBatches = 210, 21
	s := newLoopStream()
	c := rpc.NewCaller("loop", s, rpc.OwnerCodec)
	defer c.Close()
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			if _, err := c.Call(context.Background(), &pb.SubRequest{}, nil); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if s.sent > mostBatches {
		t.Fatalf("%d batches for %d calls", s.sent, calls)
	}
}
