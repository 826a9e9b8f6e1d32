package rpc

import (
	"context"
	"net/netip"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

// OwnerLink is a link to the owner at another router.
type OwnerLink = Link[*pb.SubRequest, *pb.SubReply, *pb.SubRequestBatch, *pb.SubReplyBatch]

// NewOwnerLink returns a link to the owner at addr.
func NewOwnerLink(addr netip.AddrPort) *OwnerLink {
	return NewLink(addr, OwnerCodec,
		func(ctx context.Context, c drpc.Conn) (BatchStream[*pb.SubRequestBatch, *pb.SubReplyBatch], error) {
			return pb.NewDRPCOwnerClient(c).Exchange(ctx)
		})
}

// ClaimLink is a link for claims to a control member.
type ClaimLink = Link[*pb.ClaimRequest, *pb.ClaimReply, *pb.ClaimBatch, *pb.ClaimReplyBatch]

// NewClaimLink returns a link for claims to the control member at addr.
func NewClaimLink(addr netip.AddrPort) *ClaimLink {
	return NewLink(addr, ClaimCodec,
		func(ctx context.Context, c drpc.Conn) (BatchStream[*pb.ClaimBatch, *pb.ClaimReplyBatch], error) {
			return pb.NewDRPCControlClient(c).Claims(ctx)
		})
}
