package owner

import (
	"context"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// Exchange serves the sub-requests of one router until the stream ends.
func (o *Owner) Exchange(stream pb.DRPCOwner_ExchangeStream) error {
	x := &exchange{owner: o, cancels: make(map[uint64]context.CancelFunc)}
	return rpc.ServeBatches(stream.Context(), stream, rpc.OwnerCodec, x.handle)
}

// exchange holds the running sub-requests of one stream.
type exchange struct {
	owner *Owner

	mu sync.Mutex
	// cancels holds the cancel function of each running sub-request by its ID.
	cancels map[uint64]context.CancelFunc
}

// handle starts a sub-request in a goroutine of its own, or cancels a running
// one. The time until the goroutine runs counts against the budget.
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
		reply(x.owner.doRecovered(ctx, q))
	}()
}

// doRecovered runs one sub-request. A panic fails only this sub-request, with
// an unknown outcome.
func (o *Owner) doRecovered(ctx context.Context, q *pb.SubRequest) (reply *pb.SubReply) {
	defer func() {
		if cause := recover(); cause != nil {
			o.cfg.Log.Error("panic during sub-request", "request", q.GetRequestId(), "cause", cause)
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

// cancel cancels a sub-request and removes it. It does nothing if the
// sub-request isn't running.
func (x *exchange) cancel(id uint64) {
	x.mu.Lock()
	cancel := x.cancels[id]
	delete(x.cancels, id)
	x.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
