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
	// linkSilence is how long the other end may leave all calls unanswered
	// before the connection is given up, as after a silent partition.
	linkSilence = 1500 * time.Millisecond
	// dialBackoff is the time after a failed dial in which calls fail at once.
	dialBackoff = 200 * time.Millisecond
)

// BackoffError says that a process couldn't be reached a moment ago; nothing
// was sent.
type BackoffError struct {
	Addr string
}

// Error describes the failure.
func (e *BackoffError) Error() string { return e.Addr + " was out of reach a moment ago" }

// NotSent says that nothing was handed over.
func (*BackoffError) NotSent() bool { return true }

// Link is a connection for batched calls to one process. It dials when a call
// needs it, and again after the connection was lost. It is safe for concurrent
// use.
type Link[Q, R, QB, RB any] struct {
	addr  netip.AddrPort
	codec Codec[Q, R, QB, RB]
	open  func(context.Context, drpc.Conn) (BatchStream[QB, RB], error)
	start time.Time
	// lastReply is the time of the last reply in nanoseconds since start.
	lastReply atomic.Int64

	mu       sync.Mutex
	caller   *Caller[Q, R, QB, RB]
	failedAt time.Time
	dialing  *dialing[Q, R, QB, RB]
}

// NewLink returns a link to addr. Open starts the stream on a new connection;
// its context lasts as long as the stream.
func NewLink[Q, R, QB, RB any](
	addr netip.AddrPort, codec Codec[Q, R, QB, RB],
	open func(context.Context, drpc.Conn) (BatchStream[QB, RB], error),
) *Link[Q, R, QB, RB] {
	return &Link[Q, R, QB, RB]{addr: addr, codec: codec, open: open, start: time.Now()}
}

// Call sends q and waits for the reply, as Caller.Call does. Besides, it gives
// a *BackoffError where nothing was sent.
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
		l.dropIfSilent(c)
	}
	return r, err
}

// Close ends the connection; a later call dials again.
func (l *Link[Q, R, QB, RB]) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.caller != nil {
		l.caller.Close()
	}
}

// connect returns the live connection. One goroutine dials for all callers, so
// that a process that can't be reached holds each only until its context ends.
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

// dialing is one dial that callers wait for.
type dialing[Q, R, QB, RB any] struct {
	done   chan struct{}
	caller *Caller[Q, R, QB, RB]
	err    error
}

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

func (l *Link[Q, R, QB, RB]) dropIfSilent(c *Caller[Q, R, QB, RB]) {
	if time.Since(l.start)-time.Duration(l.lastReply.Load()) > linkSilence {
		c.Close()
	}
}

func (c *Caller[Q, R, QB, RB]) closed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}
