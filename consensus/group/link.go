package group

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/codec"
	"github.com/peridotmux/peridotmux/consensus/pb"
)

const (
	linkQueueLength = 512
	// maxBatchMessages and maxBatchBytes bound what is sent at once.
	maxBatchMessages = 128
	maxBatchBytes    = 4 << 20
	// ackTimeout is the time after which a silent connection is dropped.
	ackTimeout = time.Second
	// redialInterval is the time between tries to connect.
	redialInterval = 100 * time.Millisecond
)

// link sends messages to one member over one stream at a time. What doesn't
// fit its queue is dropped: the protocol sends again what matters.
type link struct {
	addr  netip.AddrPort
	cfg   *Config
	queue chan consensus.Message
}

func newLink(addr netip.AddrPort, cfg *Config) *link {
	return &link{addr: addr, cfg: cfg, queue: make(chan consensus.Message, linkQueueLength)}
}

func (k *link) push(m consensus.Message) {
	select {
	case k.queue <- m:
	default:
	}
}

func (k *link) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	up := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		err := k.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		if up {
			k.cfg.Logger.Info("consensus link lost", "addr", k.addr.String(), "error", err)
		}
		up = false
		k.drop()
		timer.Reset(redialInterval)
	}
}

// drop forgets what waits: it is out of date once a connection stands again.
func (k *link) drop() {
	for {
		select {
		case <-k.queue:
		default:
			return
		}
	}
}

// connect sends over one connection until it fails.
func (k *link) connect(ctx context.Context) error {
	conn, err := k.cfg.Dial(ctx, k.addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := pb.NewDRPCMembersClient(conn).Deliver(ctx)
	if err != nil {
		return err
	}
	s := &session{stream: stream, fail: func(cause error) {
		cancel(cause)
		_ = conn.Close()
	}}
	var wg sync.WaitGroup
	wg.Go(s.receive)
	wg.Go(func() { s.watch(ctx) })
	s.fail(k.pump(ctx, s))
	wg.Wait()
	return context.Cause(ctx)
}

// pump sends what is in the queue, in batches, until the session fails.
func (k *link) pump(ctx context.Context, s *session) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-k.queue:
			s.sent.Add(1)
			if err := s.stream.Send(k.batch(m)); err != nil {
				return err
			}
		}
	}
}

// batch joins m with what else waits.
func (k *link) batch(m consensus.Message) *pb.MessageBatch {
	b := &pb.MessageBatch{Group: k.cfg.GroupName, From: uint64(k.cfg.ID), FromAddr: k.cfg.self().RPC.String()}
	size := 0
	for {
		b.Messages = append(b.Messages, codec.MessageToPB(m))
		size += m.Size()
		if len(b.Messages) >= maxBatchMessages || size >= maxBatchBytes {
			return b
		}
		select {
		case m = <-k.queue:
		default:
			return b
		}
	}
}

// session is one connection to a member.
type session struct {
	stream pb.DRPCMembers_DeliverClient
	fail   func(error)
	sent   atomic.Uint64
	acked  atomic.Uint64
}

// receive counts acknowledgements.
func (s *session) receive() {
	for {
		if _, err := s.stream.Recv(); err != nil {
			s.fail(err)
			return
		}
		s.acked.Add(1)
	}
}

// watch ends the session if nothing is acknowledged for too long, though
// something was sent: a cut network may keep a connection open for minutes.
func (s *session) watch(ctx context.Context) {
	ticker := time.NewTicker(ackTimeout)
	defer ticker.Stop()
	waited := false
	var last uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		acked := s.acked.Load()
		if waited && acked == last {
			s.fail(ErrAckTimeout)
			return
		}
		waited = s.sent.Load() > acked
		last = acked
	}
}
