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
	// answerBytes is the size of one shard's answer, bodyBytes of a query's body.
	answerBytes = 400
	bodyBytes   = 200
	// exchangeOwners is the number of owners while the fan-out varies.
	exchangeOwners = 12
	// exchangeWorkers is the number of queries at once: one, so that a batch
	// holds sub-requests of one query, as between two routers of very many.
	exchangeWorkers = 1
)

type ownerCaller = rpc.Caller[*pb.SubRequest, *pb.SubReply, *pb.SubRequestBatch, *pb.SubReplyBatch]

// instantOwner answers each sub-request at once.
type instantOwner struct {
	pb.DRPCOwnerUnimplementedServer
	batches *atomic.Int64
}

// Exchange answers one stream.
func (o *instantOwner) Exchange(s pb.DRPCOwner_ExchangeStream) error {
	body := make([]byte, answerBytes)
	return rpc.ServeBatches(s.Context(), countedReplies{s, o.batches}, rpc.OwnerCodec,
		func(_ context.Context, q *pb.SubRequest, reply func(*pb.SubReply)) {
			reply(&pb.SubReply{Id: q.GetId(), Status: pb.SubStatus_SUB_STATUS_OK, Body: body})
		})
}

type countedReplies struct {
	pb.DRPCOwner_ExchangeStream
	batches *atomic.Int64
}

// Send counts one message.
func (c countedReplies) Send(b *pb.SubReplyBatch) error {
	c.batches.Add(1)
	return c.DRPCOwner_ExchangeStream.Send(b)
}

type countedRequests struct {
	pb.DRPCOwner_ExchangeClient
	batches *atomic.Int64
}

// Send counts one message.
func (c countedRequests) Send(b *pb.SubRequestBatch) error {
	c.batches.Add(1)
	return c.DRPCOwner_ExchangeClient.Send(b)
}

// mesh is one entry with streams to owners in the same process.
type mesh struct {
	callers []*ownerCaller
	// batches counts the messages both ways, bytes what they weigh.
	batches atomic.Int64
	bytes   *atomic.Int64
	stop    context.CancelFunc
}

func newMesh(owners int) (*mesh, error) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &mesh{stop: cancel, bytes: new(atomic.Int64)}
	for range owners {
		if err := m.addOwner(ctx); err != nil {
			m.close()
			return nil, err
		}
	}
	return m, nil
}

func (m *mesh) addOwner(ctx context.Context) error {
	l, err := listen()
	if err != nil {
		return err
	}
	l.bytes = m.bytes
	go func() {
		_ = rpc.Serve(ctx, l, func(x drpc.Mux) error {
			return pb.DRPCRegisterOwner(x, &instantOwner{batches: &m.batches})
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
	m.callers = append(m.callers, rpc.NewCaller(addr.String(), countedRequests{stream, &m.batches}, rpc.OwnerCodec))
	return nil
}

func (m *mesh) close() {
	for _, c := range m.callers {
		c.Close()
	}
	m.stop()
}

// query sends one query's sub-requests, dealt over the owners in turn.
func (m *mesh) query(fanOut int) error {
	body := make([]byte, bodyBytes)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	failed := make(chan error, fanOut)
	for i := range fanOut {
		wg.Go(func() {
			q := &pb.SubRequest{
				Shard: "agent-desk/" + strconv.Itoa(i), Kind: "price-sweep", RequestId: "0123456789abcdef",
				IndexVersion: 1, BudgetUs: 1, Body: body,
			}
			if _, err := m.callers[i%len(m.callers)].Call(ctx, q, nil); err != nil {
				failed <- err
			}
		})
	}
	wg.Wait()
	close(failed)
	return <-failed
}

// exchangeCost is what one query costs on its way to owners and back, at the
// entry and all owners together.
type exchangeCost struct {
	processor time.Duration
	batches   float64
	bytes     float64
}

func measureExchange(owners, fanOut, queries int) (exchangeCost, error) {
	m, err := newMesh(owners)
	if err != nil {
		return exchangeCost{}, err
	}
	defer m.close()
	if err := m.query(fanOut); err != nil {
		return exchangeCost{}, err
	}
	batches, bytes, begun := m.batches.Load(), m.bytes.Load(), processorTime()
	if err := inParallel(exchangeWorkers, queries, func() error { return m.query(fanOut) }); err != nil {
		return exchangeCost{}, err
	}
	n := float64(queries)
	return exchangeCost{
		processor: time.Duration(float64(processorTime()-begun) / n),
		batches:   float64(m.batches.Load()-batches) / n,
		bytes:     float64(m.bytes.Load()-bytes) / n,
	}, nil
}

// inParallel runs work a number of times on some workers.
func inParallel(workers, times int, work func() error) error {
	var wg sync.WaitGroup
	var left atomic.Int64
	left.Store(int64(times))
	failed := make(chan error, workers)
	for range workers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				if err := work(); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	wg.Wait()
	close(failed)
	return <-failed
}

// fanOutSlopes measures a query's cost against its fan-out.
func fanOutSlopes(f *figures) error {
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
		c, err := measureExchange(exchangeOwners, n, 60_000/n)
		return micros(c.processor), err
	})
	if err != nil {
		return err
	}
	bytes, err = measureSizes(bytes, []int{24, 48, 96, 210}, func(n int) (float64, error) {
		c, err := measureExchange(exchangeOwners, n, 50)
		return c.bytes, err
	})
	f.FanOutProcessor, f.FanOutBytes = processor, bytes
	return err
}

// ownersSlopes measures a query's cost against the owners that its 210 shards
// belong to.
func ownersSlopes(f *figures) error {
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
		c, err := measureExchange(n, fanOutAhead, 250)
		return micros(c.processor), err
	})
	if err != nil {
		return err
	}
	batches, err = measureSizes(batches, sizes, func(n int) (float64, error) {
		c, err := measureExchange(n, fanOutAhead, 50)
		return c.batches, err
	})
	f.OwnersProcessor, f.OwnersMessages = processor, batches
	return err
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }
