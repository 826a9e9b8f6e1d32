package owner

import (
	"context"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// Exchange serves the sub-requests of one router.
func (o *Owner) Exchange(stream pb.DRPCOwner_ExchangeStream) error {
	x := &exchange{owner: o, cancels: make(map[uint64]context.CancelFunc)}
	return rpc.ServeBatches(stream.Context(), stream, rpc.OwnerCodec, x.handle)
}

// exchange holds the sub-requests of one stream that still run.
type exchange struct {
	owner *Owner

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func (x *exchange) handle(ctx context.Context, q *pb.SubRequest, reply func(*pb.SubReply)) {
	if q.GetCancel() {
		x.cancel(q.GetId())
		return
	}
	received := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	x.mu.Lock()
	x.cancels[q.GetId()] = cancel
	x.mu.Unlock()
	go func() {
		defer x.cancel(q.GetId())
		q.BudgetUs -= min(q.GetBudgetUs(), uint64(time.Since(received).Microseconds()))
		reply(x.owner.guarded(ctx, q))
	}()
}

// guarded runs one sub-request; a panic costs only this one.
func (o *Owner) guarded(ctx context.Context, q *pb.SubRequest) (reply *pb.SubReply) {
	defer func() {
		if cause := recover(); cause != nil {
			o.cfg.Log.Error("sub-request failed by a panic", "request", q.GetRequestId(), "cause", cause)
			reply = &pb.SubReply{
				Id:      q.GetId(),
				Status:  pb.SubStatus_SUB_STATUS_UNKNOWN,
				Reason:  pb.SubReason_SUB_REASON_TARGET_ERROR,
				Started: 1,
			}
		}
	}()
	return o.Do(ctx, q)
}

func (x *exchange) cancel(id uint64) {
	x.mu.Lock()
	cancel := x.cancels[id]
	delete(x.cancels, id)
	x.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
