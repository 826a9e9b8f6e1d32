package rpc

import (
	"context"
	"net/netip"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

// Exchange is one request with several replies. Its user ends with Finish.
type Exchange[Q, R, QB, RB any] struct {
	// Replies receives the replies. It is not closed.
	Replies <-chan R
	// Lost is closed when the connection failed. Replies may then still hold some.
	Lost <-chan struct{}

	caller *Caller[Q, R, QB, RB]
	id     uint64
}

// Send sends a further message about the request, unless the queue is full.
func (e *Exchange[Q, R, QB, RB]) Send(q Q) {
	e.caller.codec.SetRequestID(q, e.id)
	e.caller.trySend(q)
}

// Finish drops replies that arrive from now on.
func (e *Exchange[Q, R, QB, RB]) Finish() { e.caller.abandon(e.id) }

// PartsCodec is the Codec for requests to some shards and the parts that they get.
var PartsCodec = Codec[*pb.PartsRequest, *pb.PartsReply, *pb.PartsRequestBatch, *pb.PartsReplyBatch]{
	PackRequests:   func(q []*pb.PartsRequest) *pb.PartsRequestBatch { return &pb.PartsRequestBatch{Requests: q} },
	UnpackRequests: (*pb.PartsRequestBatch).GetRequests,
	PackReplies:    func(r []*pb.PartsReply) *pb.PartsReplyBatch { return &pb.PartsReplyBatch{Replies: r} },
	UnpackReplies:  (*pb.PartsReplyBatch).GetReplies,
	SetRequestID:   func(q *pb.PartsRequest, id uint64) { q.Id = id },
	ReplyID:        (*pb.PartsReply).GetId,
	More: func(r *pb.PartsReply) bool {
		return r.GetStatus() == pb.PartsStatus_PARTS_STATUS_ACCEPTED || r.GetStatus() == pb.PartsStatus_PARTS_STATUS_MORE
	},
}

// PartsLink is a link to a gateway that sends requests to shards for others.
type PartsLink = Link[*pb.PartsRequest, *pb.PartsReply, *pb.PartsRequestBatch, *pb.PartsReplyBatch]

// PartsExchange is one request to some shards.
type PartsExchange = Exchange[*pb.PartsRequest, *pb.PartsReply, *pb.PartsRequestBatch, *pb.PartsReplyBatch]

// NewPartsLink returns a link to the gateway at addr.
func NewPartsLink(addr netip.AddrPort) *PartsLink {
	return NewLink(addr, PartsCodec,
		func(ctx context.Context, c drpc.Conn) (BatchStream[*pb.PartsRequestBatch, *pb.PartsReplyBatch], error) {
			return pb.NewDRPCPartsClient(c).Exchange(ctx)
		})
}
