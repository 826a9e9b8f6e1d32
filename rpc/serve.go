package rpc

import (
	"context"
	"errors"
	"runtime"
	"sync"
)

// ServeBatches serves the server end of a Caller's stream until the stream fails
// or ctx is done. It calls handle for each request in the order of the stream;
// handle must not block, and must call reply at most once, at any time and from
// any goroutine. Replies that are pending at the same time are sent as one batch.
func ServeBatches[Q, R, QB, RB any](
	ctx context.Context, stream BatchStream[RB, QB], codec Codec[Q, R, QB, RB],
	handle func(ctx context.Context, q Q, reply func(R)),
) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &replyWriter[R]{wake: make(chan struct{}, 1)}
	sent := make(chan error, 1)
	go func() {
		sent <- w.run(ctx, func(rs []R) error { return stream.Send(codec.PackReplies(rs)) })
		cancel()
	}()
	for {
		batch, err := stream.Recv()
		if err != nil {
			cancel()
			return errors.Join(err, <-sent)
		}
		for _, q := range codec.UnpackRequests(batch) {
			handle(ctx, q, w.add)
		}
	}
}

// replyWriter queues replies and sends them in batches. Its add method is safe
// for concurrent use.
type replyWriter[R any] struct {
	wake chan struct{}

	mu    sync.Mutex
	queue []R
}

func (w *replyWriter[R]) add(r R) {
	w.mu.Lock()
	w.queue = append(w.queue, r)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// takeBatch removes up to maxBatch replies from the queue and returns them.
func (w *replyWriter[R]) takeBatch() []R {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.queue), maxBatch)
	batch := w.queue[:n:n]
	w.queue = w.queue[n:]
	return batch
}

func (w *replyWriter[R]) run(ctx context.Context, send func([]R) error) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.wake:
			runtime.Gosched() // Let other goroutines add their replies to the batch.
		}
		for batch := w.takeBatch(); len(batch) > 0; batch = w.takeBatch() {
			if err := send(batch); err != nil {
				return err
			}
		}
	}
}
