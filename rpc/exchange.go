package rpc

import (
	"context"
	"net/netip"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

// Exchange is one request with several replies. Its user ends with Finish or Cancel.
type Exchange[R any] struct {
	// Replies receives the replies. It is not closed.
	Replies <-chan R
	// Lost is closed when the connection failed. Replies may then still hold some.
	Lost <-chan struct{}

	end func(cancel bool)
}

// Finish drops replies that arrive from now on.
func (e *Exchange[R]) Finish() { e.end(false) }

// Cancel tells the other process that no more replies are needed and drops those
// that arrive from now on.
func (e *Exchange[R]) Cancel() { e.end(true) }

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
type PartsLink struct {
	link *Link[*pb.PartsRequest, *pb.PartsReply, *pb.PartsRequestBatch, *pb.PartsReplyBatch]
}

// NewPartsLink returns a link to the gateway at addr.
func NewPartsLink(addr netip.AddrPort) *PartsLink {
	return &PartsLink{link: NewLink(addr, PartsCodec,
		func(ctx context.Context, c drpc.Conn) (BatchStream[*pb.PartsRequestBatch, *pb.PartsReplyBatch], error) {
			return pb.NewDRPCPartsClient(c).Exchange(ctx)
		})}
}

// Open sends q and returns the exchange that receives its replies. If it fails,
// nothing was sent.
func (l *PartsLink) Open(ctx context.Context, q *pb.PartsRequest, replies int) (*Exchange[*pb.PartsReply], error) {
	return l.link.Open(ctx, q, replies, func(id uint64) *pb.PartsRequest { return &pb.PartsRequest{Id: id, Cancel: true} })
}

// Close closes the connection. A later Open dials again.
func (l *PartsLink) Close() { l.link.Close() }
