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
	// linkQueueCapacity is the number of messages queued per member.
	linkQueueCapacity = 512
	// maxBatchMessages and maxBatchBytes limit one batch of messages.
	maxBatchMessages = 128
	maxBatchBytes    = 4 << 20
	// ackTimeout is the time without acknowledgements after which a connection is
	// closed.
	ackTimeout = time.Second
	// redialInterval is the delay before the next connection attempt.
	redialInterval = 100 * time.Millisecond
)

// link sends messages to one member over one stream at a time. Messages that do
// not fit into the queue are dropped; the protocol tolerates lost messages.
type link struct {
	addr  netip.AddrPort
	cfg   *Config
	queue chan consensus.Message
}

func newLink(addr netip.AddrPort, cfg *Config) *link {
	return &link{addr: addr, cfg: cfg, queue: make(chan consensus.Message, linkQueueCapacity)}
}

// enqueue queues a message without blocking, and drops it if the queue is full.
func (l *link) enqueue(m consensus.Message) {
	select {
	case l.queue <- m:
	default:
	}
}

// run connects and reconnects until ctx ends. Only the first failure after a
// start is logged.
func (l *link) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	firstFailure := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		err := l.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		if firstFailure {
			l.cfg.Logger.Info("connection to consensus member failed", "addr", l.addr.String(), "error", err)
		}
		firstFailure = false
		l.discardQueue()
		timer.Reset(redialInterval)
	}
}

// discardQueue removes the queued messages, which would be outdated by the time
// a new connection is established.
func (l *link) discardQueue() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

// connect sends messages over one connection until it fails, and returns the
// cause.
func (l *link) connect(ctx context.Context) error {
	conn, err := l.cfg.Dial(ctx, l.addr)
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
	wg.Go(s.receiveAcks)
	wg.Go(func() { s.watchAcks(ctx) })
	s.fail(l.sendQueued(ctx, s))
	wg.Wait()
	return context.Cause(ctx)
}

// sendQueued sends the queued messages in batches until the session fails.
func (l *link) sendQueued(ctx context.Context, s *session) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-l.queue:
			s.sent.Add(1)
			if err := s.stream.Send(l.batch(m)); err != nil {
				return err
			}
		}
	}
}

// batch returns m and further queued messages, up to the limits of a batch.
func (l *link) batch(m consensus.Message) *pb.MessageBatch {
	b := &pb.MessageBatch{Group: l.cfg.GroupName, From: uint64(l.cfg.ID), FromAddr: l.cfg.self().RPC.String()}
	size := 0
	for {
		b.Messages = append(b.Messages, codec.MessageToPB(m))
		size += m.Size()
		if len(b.Messages) >= maxBatchMessages || size >= maxBatchBytes {
			return b
		}
		select {
		case m = <-l.queue:
		default:
			return b
		}
	}
}

// session is the state of one connection. sent and acked count batches.
type session struct {
	stream pb.DRPCMembers_DeliverClient
	fail   func(error)
	sent   atomic.Uint64
	acked  atomic.Uint64
}

// receiveAcks counts acknowledgements until the stream fails.
func (s *session) receiveAcks() {
	for {
		if _, err := s.stream.Recv(); err != nil {
			s.fail(err)
			return
		}
		s.acked.Add(1)
	}
}

// watchAcks ends the session if no acknowledgement arrives for ackTimeout (at
// most twice that) while a batch is unacknowledged. In a network partition the
// connection may otherwise stay open for minutes.
func (s *session) watchAcks(ctx context.Context) {
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
