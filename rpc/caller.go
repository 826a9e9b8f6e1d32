package rpc

import (
	"context"
	"runtime"
	"sync"
)

const (
	// maxBatch bounds the number of messages in one batch.
	maxBatch = 512
	// sendQueue is the number of messages that wait for the sender.
	sendQueue = 512
)

// BatchStream is one end of a two-way stream of batches.
type BatchStream[S, R any] interface {
	Send(S) error
	Recv() (R, error)
	Close() error
}

// Codec tells a Caller and a server how requests Q and replies R with their
// numbers are put into batches QB and RB.
type Codec[Q, R, QB, RB any] struct {
	PackRequests   func([]Q) QB
	UnpackRequests func(QB) []Q
	PackReplies    func([]R) RB
	UnpackReplies  func(RB) []R
	SetRequestID   func(Q, uint64)
	ReplyID        func(R) uint64
}

// Caller makes many calls at once over one stream. Requests that wait at the
// same time travel in one batch. It is safe for concurrent use.
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

type call[R any] struct {
	reply chan R
	sent  bool
}

type outgoing[Q, R any] struct {
	request Q
	call    *call[R]
}

// NewCaller starts calling over stream, which it closes when the stream fails
// or Close is called. Addr is used in errors.
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

// Done returns a channel that is closed when the stream has failed.
func (c *Caller[Q, R, QB, RB]) Done() <-chan struct{} { return c.done }

// Close ends the stream; calls that wait fail.
func (c *Caller[Q, R, QB, RB]) Close() { c.fail(context.Canceled) }

// Call sends q and waits for its reply. The error is a *ConnectionLostError or
// the context's. After a context's end, cancel (if given) builds a message that
// withdraws the request with the given number; it gets no reply.
func (c *Caller[Q, R, QB, RB]) Call(ctx context.Context, q Q, cancel func(id uint64) Q) (R, error) {
	var zero R
	id, cl, err := c.register(q)
	if err != nil {
		return zero, err
	}
	select {
	case c.send <- outgoing[Q, R]{q, cl}:
	case <-ctx.Done():
		c.forget(id)
		return zero, ctx.Err()
	case <-c.done:
		return zero, c.lost(cl)
	}
	select {
	case r := <-cl.reply:
		return r, nil
	case <-ctx.Done():
		c.forget(id)
		if cancel != nil {
			c.withdraw(cancel(id))
		}
		return zero, ctx.Err()
	case <-c.done:
		return zero, c.lost(cl)
	}
}

func (c *Caller[Q, R, QB, RB]) register(q Q) (uint64, *call[R], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, nil, &ConnectionLostError{Addr: c.addr, Cause: c.err}
	}
	c.nextID++
	cl := &call[R]{reply: make(chan R, 1)}
	c.pending[c.nextID] = cl
	c.codec.SetRequestID(q, c.nextID)
	return c.nextID, cl, nil
}

func (c *Caller[Q, R, QB, RB]) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func (c *Caller[Q, R, QB, RB]) withdraw(q Q) {
	select {
	case c.send <- outgoing[Q, R]{q, nil}:
	default:
		// The queue is full; the other end drops the request at its deadline.
	}
}

func (c *Caller[Q, R, QB, RB]) lost(cl *call[R]) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &ConnectionLostError{Addr: c.addr, Sent: cl.sent, Cause: c.err}
}

func (c *Caller[Q, R, QB, RB]) sendLoop() {
	for {
		select {
		case first := <-c.send:
			runtime.Gosched() // Others who are about to call join the batch.
			if err := c.stream.Send(c.codec.PackRequests(c.collect(first))); err != nil {
				c.fail(err)
				return
			}
		case <-c.done:
			return
		}
	}
}

// collect takes what else waits and marks all of it as sent.
func (c *Caller[Q, R, QB, RB]) collect(first outgoing[Q, R]) []Q {
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

// deliver hands each reply to its call. Replies to forgotten calls are dropped.
func (c *Caller[Q, R, QB, RB]) deliver(replies []R) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range replies {
		id := c.codec.ReplyID(r)
		if cl, ok := c.pending[id]; ok {
			delete(c.pending, id)
			cl.reply <- r
		}
	}
}

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
