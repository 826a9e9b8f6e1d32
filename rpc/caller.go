package rpc

import (
	"context"
	"runtime"
	"sync"
)

const (
	// maxBatch bounds the number of messages in one batch.
	maxBatch = 512
	// sendQueue is the capacity of the queue before the send loop, in messages.
	sendQueue = 512
)

// BatchStream is one end of a bidirectional stream of batches: it sends batches S
// and receives batches R.
type BatchStream[S, R any] interface {
	Send(S) error
	Recv() (R, error)
	Close() error
}

// Codec packs requests Q into batches QB and replies R into batches RB, and
// accesses the ids that match replies to requests.
type Codec[Q, R, QB, RB any] struct {
	PackRequests   func([]Q) QB
	UnpackRequests func(QB) []Q
	PackReplies    func([]R) RB
	UnpackReplies  func(RB) []R
	SetRequestID   func(Q, uint64)
	ReplyID        func(R) uint64
	// More reports whether further replies to the same request follow a reply. If
	// nil, each request gets one reply.
	More func(R) bool
}

// Caller multiplexes concurrent calls over one stream. Requests that are pending
// at the same time are sent as one batch. It is safe for concurrent use.
type Caller[Q, R, QB, RB any] struct {
	addr   string
	codec  Codec[Q, R, QB, RB]
	stream BatchStream[QB, RB]
	send   chan outgoing[Q, R]
	done   chan struct{}

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]*call[R]
	err     error
}

// call is one call that waits for its replies.
type call[R any] struct {
	// reply has room for all replies, so that delivering one never blocks.
	reply chan R
	// sent is set once the request may have been handed to the network.
	sent bool
}

// outgoing is a message in the send queue. The call is nil for a message that
// cancels a request.
type outgoing[Q, R any] struct {
	request Q
	call    *call[R]
}

// NewCaller returns a Caller that owns stream: it closes stream when stream fails
// or Close is called. Addr is the remote address for errors.
func NewCaller[Q, R, QB, RB any](
	addr string, stream BatchStream[QB, RB], codec Codec[Q, R, QB, RB],
) *Caller[Q, R, QB, RB] {
	c := &Caller[Q, R, QB, RB]{
		addr:    addr,
		codec:   codec,
		stream:  stream,
		send:    make(chan outgoing[Q, R], sendQueue),
		done:    make(chan struct{}),
		pending: make(map[uint64]*call[R]),
	}
	go c.sendLoop()
	go c.recvLoop()
	return c
}

// Done returns a channel that is closed when the stream has failed or Close was
// called.
func (c *Caller[Q, R, QB, RB]) Done() <-chan struct{} { return c.done }

// Close closes the stream. Pending calls fail with a *ConnectionLostError.
func (c *Caller[Q, R, QB, RB]) Close() { c.fail(context.Canceled) }

// Call sends q and waits for its reply. The error is a *ConnectionLostError or
// the context's error. If ctx is done while the call is pending and cancel is not
// nil, the message that cancel builds for the request's id is sent; it gets no
// reply.
func (c *Caller[Q, R, QB, RB]) Call(ctx context.Context, q Q, cancel func(id uint64) Q) (R, error) {
	var zero R
	id, cl, err := c.start(ctx, q, 1)
	if err != nil {
		return zero, err
	}
	select {
	case r := <-cl.reply:
		return r, nil
	case <-ctx.Done():
		c.abandon(id)
		if cancel != nil {
			c.trySend(cancel(id))
		}
		return zero, ctx.Err()
	case <-c.done:
		return zero, c.lostError(cl)
	}
}

// start queues q and returns its id and its call, which takes the given number of
// replies.
func (c *Caller[Q, R, QB, RB]) start(ctx context.Context, q Q, replies int) (uint64, *call[R], error) {
	id, cl, err := c.register(q, replies)
	if err != nil {
		return 0, nil, err
	}
	select {
	case c.send <- outgoing[Q, R]{q, cl}:
		return id, cl, nil
	case <-ctx.Done():
		c.abandon(id)
		return 0, nil, ctx.Err()
	case <-c.done:
		return 0, nil, c.lostError(cl)
	}
}

// register assigns an id to q and adds its call to the pending ones.
func (c *Caller[Q, R, QB, RB]) register(q Q, replies int) (uint64, *call[R], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, nil, &ConnectionLostError{Addr: c.addr, Cause: c.err}
	}
	c.nextID++
	cl := &call[R]{reply: make(chan R, replies)}
	c.pending[c.nextID] = cl
	c.codec.SetRequestID(q, c.nextID)
	return c.nextID, cl, nil
}

// abandon removes a pending call, so that its reply is dropped.
func (c *Caller[Q, R, QB, RB]) abandon(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// trySend queues a message that gets no reply, unless the queue is full. Such messages
// only spare work: without a cancellation the server drops the request at its deadline.
func (c *Caller[Q, R, QB, RB]) trySend(q Q) {
	select {
	case c.send <- outgoing[Q, R]{q, nil}:
	default:
	}
}

// lostError returns the error of a call that was pending when the stream failed.
func (c *Caller[Q, R, QB, RB]) lostError(cl *call[R]) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &ConnectionLostError{Addr: c.addr, Sent: cl.sent, Cause: c.err}
}

func (c *Caller[Q, R, QB, RB]) sendLoop() {
	for {
		select {
		case first := <-c.send:
			runtime.Gosched() // Let other goroutines add their requests to the batch.
			if err := c.stream.Send(c.codec.PackRequests(c.collectBatch(first))); err != nil {
				c.fail(err)
				return
			}
		case <-c.done:
			return
		}
	}
}

// collectBatch returns a batch of first and the queued messages, up to maxBatch,
// and marks their calls as sent.
func (c *Caller[Q, R, QB, RB]) collectBatch(first outgoing[Q, R]) []Q {
	batch := []outgoing[Q, R]{first}
	for len(batch) < maxBatch {
		select {
		case next := <-c.send:
			batch = append(batch, next)
			continue
		default:
		}
		break
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := make([]Q, len(batch))
	for i, o := range batch {
		requests[i] = o.request
		if o.call != nil {
			o.call.sent = true
		}
	}
	return requests
}

func (c *Caller[Q, R, QB, RB]) recvLoop() {
	for {
		batch, err := c.stream.Recv()
		if err != nil {
			c.fail(err)
			return
		}
		c.deliver(c.codec.UnpackReplies(batch))
	}
}

// deliver passes each reply to its call. Replies to abandoned calls are dropped, and
// so are those above the number that a call takes.
func (c *Caller[Q, R, QB, RB]) deliver(replies []R) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range replies {
		id := c.codec.ReplyID(r)
		cl, ok := c.pending[id]
		if !ok {
			continue
		}
		if c.codec.More == nil || !c.codec.More(r) {
			delete(c.pending, id)
		}
		select {
		case cl.reply <- r:
		default:
			delete(c.pending, id)
		}
	}
}

// fail marks the stream as failed and closes it. Only the first call has an
// effect.
func (c *Caller[Q, R, QB, RB]) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = err
	close(c.done)
	go func() { _ = c.stream.Close() }()
}
