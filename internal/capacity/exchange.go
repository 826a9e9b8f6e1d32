package main

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

const (
	// answerBytes is the size of one shard's answer, bodyBytes that of a
	// query's body.
	answerBytes = 400
	bodyBytes   = 200
	// fanOutOwners is the number of owners in measurements with a varying
	// fan-out.
	fanOutOwners = 12
	// concurrency is the number of queries in flight. It is 1 so that a batch
	// holds sub-requests of one query only, as between two routers of a large
	// deployment.
	concurrency = 1
)

// ownerCaller sends sub-requests over a stream to an owner.
type ownerCaller = rpc.Caller[*pb.SubRequest, *pb.SubReply, *pb.SubRequestBatch, *pb.SubReplyBatch]

// instantOwner is an owner that answers each sub-request at once.
type instantOwner struct {
	pb.DRPCOwnerUnimplementedServer
	batches *atomic.Int64
}

// Exchange serves one stream until it ends.
func (o *instantOwner) Exchange(s pb.DRPCOwner_ExchangeStream) error {
	body := make([]byte, answerBytes)
	return rpc.ServeBatches(s.Context(), countingReplyStream{s, o.batches}, rpc.OwnerCodec,
		func(_ context.Context, q *pb.SubRequest, reply func(*pb.SubReply)) {
			reply(&pb.SubReply{Id: q.GetId(), Status: pb.SubStatus_SUB_STATUS_OK, Body: body})
		})
}

// countingReplyStream counts the messages sent by an owner.
type countingReplyStream struct {
	pb.DRPCOwner_ExchangeStream
	batches *atomic.Int64
}

// Send counts and sends one batch.
func (c countingReplyStream) Send(b *pb.SubReplyBatch) error {
	c.batches.Add(1)
	return c.DRPCOwner_ExchangeStream.Send(b)
}

// countingRequestStream counts the messages sent by an entry.
type countingRequestStream struct {
	pb.DRPCOwner_ExchangeClient
	batches *atomic.Int64
}

// Send counts and sends one batch.
func (c countingRequestStream) Send(b *pb.SubRequestBatch) error {
	c.batches.Add(1)
	return c.DRPCOwner_ExchangeClient.Send(b)
}

// ownerStreams holds one entry's streams to owners in the same process.
type ownerStreams struct {
	callers []*ownerCaller
	// batches counts the messages in both directions, bytes their size on the
	// wire.
	batches atomic.Int64
	bytes   *atomic.Int64
	stop    context.CancelFunc
}

// newOwnerStreams starts the owners and opens a stream to each.
func newOwnerStreams(owners int) (*ownerStreams, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &ownerStreams{stop: cancel, bytes: new(atomic.Int64)}
	for range owners {
		if err := s.addOwner(ctx); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// addOwner starts an owner on a free loopback port and opens a stream to it.
func (s *ownerStreams) addOwner(ctx context.Context) error {
	l, err := listen()
	if err != nil {
		return err
	}
	l.bytes = s.bytes
	go func() {
		_ = rpc.Serve(ctx, l, func(x drpc.Mux) error {
			return pb.DRPCRegisterOwner(x, &instantOwner{batches: &s.batches})
		})
	}()
	addr := netip.MustParseAddrPort(l.Addr().String())
	conn, err := rpc.Dial(ctx, addr)
	if err != nil {
		return err
	}
	stream, err := pb.NewDRPCOwnerClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	s.callers = append(s.callers, rpc.NewCaller(addr.String(), countingRequestStream{stream, &s.batches}, rpc.OwnerCodec))
	return nil
}

func (s *ownerStreams) close() {
	for _, c := range s.callers {
		c.Close()
	}
	s.stop()
}

// query sends fanOut sub-requests of one query, distributed round-robin over
// the owners, and waits for all replies. It returns the first error.
func (s *ownerStreams) query(fanOut int) error {
	body := make([]byte, bodyBytes)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	errs := make(chan error, fanOut)
	for i := range fanOut {
		wg.Go(func() {
			q := &pb.SubRequest{
				Shard: "agent-desk/" + strconv.Itoa(i), Kind: "price-sweep", RequestId: "0123456789abcdef",
				IndexVersion: 1, BudgetUs: 1, Body: body,
			}
			if _, err := s.callers[i%len(s.callers)].Call(ctx, q, nil); err != nil {
				errs <- err
			}
		})
	}
	wg.Wait()
	close(errs)
	return <-errs
}

// exchangeCost is the mean cost of a query's exchange with the owners, at the
// entry and all owners together.
type exchangeCost struct {
	processor time.Duration
	batches   float64
	bytes     float64
}

// measureExchange returns the mean cost over a number of queries, after one
// query that isn't counted.
func measureExchange(owners, fanOut, queries int) (exchangeCost, error) {
	s, err := newOwnerStreams(owners)
	if err != nil {
		return exchangeCost{}, err
	}
	defer s.close()
	if err := s.query(fanOut); err != nil {
		return exchangeCost{}, err
	}
	batches, bytes, start := s.batches.Load(), s.bytes.Load(), processorTime()
	if err := inParallel(concurrency, queries, func() error { return s.query(fanOut) }); err != nil {
		return exchangeCost{}, err
	}
	n := float64(queries)
	return exchangeCost{
		processor: time.Duration(float64(processorTime()-start) / n),
		batches:   float64(s.batches.Load()-batches) / n,
		bytes:     float64(s.bytes.Load()-bytes) / n,
	}, nil
}

// inParallel calls work the given number of times from concurrent workers and
// returns the first error. A worker stops at its first error.
func inParallel(workers, times int, work func() error) error {
	var wg sync.WaitGroup
	var remaining atomic.Int64
	remaining.Store(int64(times))
	errs := make(chan error, workers)
	for range workers {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 {
				if err := work(); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	wg.Wait()
	close(errs)
	return <-errs
}

// fitFanOut measures the cost of a query's exchange with the owners against its
// fan-out.
func fitFanOut(out *measurements) error {
	processor := Slope{
		Key: "fanout-processor", Title: "Owner hop: processor time a query, 12 owners",
		XLabel: "shards asked", YLabel: "microseconds",
	}
	bytes := Slope{
		Key: "fanout-bytes", Title: "Owner hop: bytes a query, 12 owners",
		XLabel: "shards asked", YLabel: "bytes",
	}
	var err error
	processor, err = measureSizes(processor, []int{24, 48, 96, 210}, func(n int) (float64, error) {
		c, err := measureExchange(fanOutOwners, n, 60_000/n)
		return micros(c.processor), err
	})
	if err != nil {
		return err
	}
	bytes, err = measureSizes(bytes, []int{24, 48, 96, 210}, func(n int) (float64, error) {
		c, err := measureExchange(fanOutOwners, n, 50)
		return c.bytes, err
	})
	out.FanOutProcessor, out.FanOutBytes = processor, bytes
	return err
}

// fitOwnerCount measures the cost of a query of 210 shards against the number
// of routers that own them.
func fitOwnerCount(out *measurements) error {
	sizes := []int{6, 12, 35, 70, 105, 210}
	processor := Slope{
		Key: "owners-processor", Title: "Owner hop: processor time a query of 210 shards",
		XLabel: "owners", YLabel: "microseconds",
	}
	batches := Slope{
		Key: "owners-messages", Title: "Owner hop: messages both ways a query of 210 shards",
		XLabel: "owners", YLabel: "messages",
	}
	var err error
	processor, err = measureSizes(processor, sizes, func(n int) (float64, error) {
		c, err := measureExchange(n, projectedFanOut, 250)
		return micros(c.processor), err
	})
	if err != nil {
		return err
	}
	batches, err = measureSizes(batches, sizes, func(n int) (float64, error) {
		c, err := measureExchange(n, projectedFanOut, 50)
		return c.batches, err
	})
	out.OwnersProcessor, out.OwnersMessages = processor, batches
	return err
}

// micros returns d in microseconds.
func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }
