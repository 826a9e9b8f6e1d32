package rpc

import "github.com/peridotmux/peridotmux/rpc/pb"

// OwnerCodec packs sub-requests and their replies.
var OwnerCodec = Codec[*pb.SubRequest, *pb.SubReply, *pb.SubRequestBatch, *pb.SubReplyBatch]{
	PackRequests:   func(q []*pb.SubRequest) *pb.SubRequestBatch { return &pb.SubRequestBatch{Requests: q} },
	UnpackRequests: (*pb.SubRequestBatch).GetRequests,
	PackReplies:    func(r []*pb.SubReply) *pb.SubReplyBatch { return &pb.SubReplyBatch{Replies: r} },
	UnpackReplies:  (*pb.SubReplyBatch).GetReplies,
	SetRequestID:   func(q *pb.SubRequest, id uint64) { q.Id = id },
	ReplyID:        (*pb.SubReply).GetId,
}

// ClaimCodec packs claims and their replies.
var ClaimCodec = Codec[*pb.ClaimRequest, *pb.ClaimReply, *pb.ClaimBatch, *pb.ClaimReplyBatch]{
	PackRequests:   func(q []*pb.ClaimRequest) *pb.ClaimBatch { return &pb.ClaimBatch{Requests: q} },
	UnpackRequests: (*pb.ClaimBatch).GetRequests,
	PackReplies:    func(r []*pb.ClaimReply) *pb.ClaimReplyBatch { return &pb.ClaimReplyBatch{Replies: r} },
	UnpackReplies:  (*pb.ClaimReplyBatch).GetReplies,
	SetRequestID:   func(q *pb.ClaimRequest, id uint64) { q.Id = id },
	ReplyID:        (*pb.ClaimReply).GetId,
}
