package rpc

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"
)

const (
	// replyTimeout is how long all calls may go without a reply before a call that
	// times out closes the connection, as in a silent network partition.
	replyTimeout = 1500 * time.Millisecond
	// dialBackoff is the time after a failed dial during which calls fail
	// immediately.
	dialBackoff = 200 * time.Millisecond
)

// BackoffError reports that a call was rejected because a recent dial failed.
// Nothing was sent.
type BackoffError struct {
	Addr string
}

// Error implements error.
func (e *BackoffError) Error() string { return e.Addr + " not dialed: a recent dial failed" }

// NotSent returns true: the call was not handed to the network.
func (*BackoffError) NotSent() bool { return true }

// Link is a reconnecting connection for batched calls to one process. It dials on
// the first call, and on the next call after the connection was lost. It is safe
// for concurrent use.
type Link[Q, R, QB, RB any] struct {
	addr  netip.AddrPort
	codec Codec[Q, R, QB, RB]
	open  func(context.Context, drpc.Conn) (BatchStream[QB, RB], error)
	start time.Time
	// lastReply is the time of the last reply in nanoseconds since start.
	lastReply atomic.Int64

	mu     sync.Mutex
	caller *Caller[Q, R, QB, RB]
	// failedAt is when the last dial failed, zero if none did.
	failedAt time.Time
	// dialing is the dial in progress, nil if there is none.
	dialing *dialing[Q, R, QB, RB]
}

// NewLink returns a link to addr without connecting. Open starts the stream on a
// new connection; its context is cancelled when the stream ends.
func NewLink[Q, R, QB, RB any](
	addr netip.AddrPort, codec Codec[Q, R, QB, RB],
	open func(context.Context, drpc.Conn) (BatchStream[QB, RB], error),
) *Link[Q, R, QB, RB] {
	return &Link[Q, R, QB, RB]{addr: addr, codec: codec, open: open, start: time.Now()}
}

// Call sends q and waits for the reply like Caller.Call. In addition it may
// return a *BackoffError, in which case nothing was sent.
func (l *Link[Q, R, QB, RB]) Call(ctx context.Context, q Q, cancel func(id uint64) Q) (R, error) {
	c, err := l.connect(ctx)
	if err != nil {
		var zero R
		return zero, err
	}
	r, err := c.Call(ctx, q, cancel)
	if err == nil {
		l.lastReply.Store(int64(time.Since(l.start)))
	}
	if errors.Is(err, context.DeadlineExceeded) {
		l.closeIfUnresponsive(c)
	}
	return r, err
}

// Connected reports whether a connection is open.
func (l *Link[Q, R, QB, RB]) Connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.caller != nil && !l.caller.closed()
}

// Connect opens a connection unless there is one. It may return the same errors as
// Open.
func (l *Link[Q, R, QB, RB]) Connect(ctx context.Context) error {
	_, err := l.connect(ctx)
	return err
}

// Open sends q and returns the exchange that receives its replies, at most the given
// number. If it fails, nothing was sent.
func (l *Link[Q, R, QB, RB]) Open(ctx context.Context, q Q, replies int) (*Exchange[Q, R, QB, RB], error) {
	c, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	id, cl, err := c.start(ctx, q, replies)
	if err != nil {
		return nil, err
	}
	return &Exchange[Q, R, QB, RB]{Replies: cl.reply, Lost: c.done, caller: c, id: id}, nil
}

// Close closes the connection. A later call dials again.
func (l *Link[Q, R, QB, RB]) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.caller != nil {
		l.caller.Close()
	}
}

// connect returns the open connection or waits for a new one. One goroutine dials
// on behalf of all callers, so that each caller waits for an unreachable process
// only until its own context is done.
func (l *Link[Q, R, QB, RB]) connect(ctx context.Context) (*Caller[Q, R, QB, RB], error) {
	l.mu.Lock()
	if l.caller != nil && !l.caller.closed() {
		defer l.mu.Unlock()
		return l.caller, nil
	}
	if l.dialing == nil {
		if time.Since(l.failedAt) < dialBackoff {
			defer l.mu.Unlock()
			return nil, &BackoffError{Addr: l.addr.String()}
		}
		l.dialing = &dialing[Q, R, QB, RB]{done: make(chan struct{})}
		go l.dial(l.dialing)
	}
	d := l.dialing
	l.mu.Unlock()
	select {
	case <-d.done:
		return d.caller, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dialing is one dial that calls wait for.
type dialing[Q, R, QB, RB any] struct {
	// done is closed after caller and err are set.
	done   chan struct{}
	caller *Caller[Q, R, QB, RB]
	err    error
}

// dial establishes a new connection and completes d.
func (l *Link[Q, R, QB, RB]) dial(d *dialing[Q, R, QB, RB]) {
	d.caller, d.err = l.newCaller()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = nil
	l.lastReply.Store(int64(time.Since(l.start)))
	if d.err != nil {
		l.failedAt = time.Now()
	} else {
		l.caller = d.caller
	}
	close(d.done)
}

// newCaller dials, starts the stream and returns a Caller over it. The connection
// is closed when the stream ends.
func (l *Link[Q, R, QB, RB]) newCaller() (*Caller[Q, R, QB, RB], error) {
	dialCtx, stop := context.WithTimeout(context.Background(), DialTimeout)
	defer stop()
	conn, err := Dial(dialCtx, l.addr)
	if err != nil {
		return nil, err
	}
	streamCtx, cancel := context.WithCancel(context.Background())
	stream, err := l.open(streamCtx, conn)
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, &ConnectionLostError{Addr: l.addr.String(), Cause: err}
	}
	c := NewCaller(l.addr.String(), stream, l.codec)
	go func() {
		<-c.Done()
		cancel()
		_ = conn.Close()
	}()
	return c, nil
}

// closeIfUnresponsive closes the connection if no call got a reply within
// replyTimeout.
func (l *Link[Q, R, QB, RB]) closeIfUnresponsive(c *Caller[Q, R, QB, RB]) {
	if time.Since(l.start)-time.Duration(l.lastReply.Load()) > replyTimeout {
		c.Close()
	}
}

// closed reports whether the stream has failed or Close was called.
func (c *Caller[Q, R, QB, RB]) closed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}
