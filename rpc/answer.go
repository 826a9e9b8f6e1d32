package rpc

import (
	"context"
	"errors"
	"runtime"
	"sync"
)

// ServeBatches serves the other end of a Caller's stream until it fails or ctx ends.
// Handle is called in the stream's order and must not block; it calls reply
// once, at any time and from any goroutine. Replies that wait at the same time
// travel in one batch.
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

// replyWriter gathers replies until the stream takes them.
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

func (w *replyWriter[R]) take() []R {
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
			runtime.Gosched() // Others who are about to reply join the batch.
		}
		for batch := w.take(); len(batch) > 0; batch = w.take() {
			if err := send(batch); err != nil {
				return err
			}
		}
	}
}
