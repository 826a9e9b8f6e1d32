package owner

import (
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/target"
)

// refusal returns the reply to a sub-request that no target started.
func refusal(q *pb.SubRequest, reason pb.SubReason) *pb.SubReply {
	return &pb.SubReply{Id: q.GetId(), Status: pb.SubStatus_SUB_STATUS_NOT_STARTED, Reason: reason}
}

// answer returns the reply that tells the outcome of a search at r.
func answer(q *pb.SubRequest, r *replica, out target.Outcome) *pb.SubReply {
	reply := &pb.SubReply{
		Id:           q.GetId(),
		Target:       string(r.id()),
		IndexVersion: out.IndexVersion,
		Reason:       reasonOf(out.Reason),
		ServiceUs:    uint64(max(out.ServiceTime.Microseconds(), 0)),
	}
	switch {
	case out.Status == target.OK && out.IndexVersion != q.GetIndexVersion():
		reply.Status, reply.Started = pb.SubStatus_SUB_STATUS_UNKNOWN, 1
		reply.Reason = pb.SubReason_SUB_REASON_BAD_ANSWER
	case out.Status == target.OK:
		reply.Status, reply.Started = pb.SubStatus_SUB_STATUS_OK, 1
		reply.Body = out.Body
	case out.Status == target.NotStarted && out.Reason == target.ReasonVersionGone:
		reply.Status = pb.SubStatus_SUB_STATUS_VERSION_GONE
	case out.Status == target.NotStarted:
		reply.Status = pb.SubStatus_SUB_STATUS_NOT_STARTED
	default:
		reply.Status, reply.Started = pb.SubStatus_SUB_STATUS_UNKNOWN, 1
	}
	return reply
}

func reasonOf(r target.Reason) pb.SubReason {
	switch r {
	case target.ReasonNone, target.ReasonVersionGone:
		return pb.SubReason_SUB_REASON_UNSPECIFIED
	case target.ReasonShed:
		return pb.SubReason_SUB_REASON_SHED
	case target.ReasonDraining:
		return pb.SubReason_SUB_REASON_DRAINING
	case target.ReasonDeadline:
		return pb.SubReason_SUB_REASON_DEADLINE
	case target.ReasonCancelled:
		return pb.SubReason_SUB_REASON_CANCELLED
	case target.ReasonBadAnswer:
		return pb.SubReason_SUB_REASON_BAD_ANSWER
	case target.ReasonConnect, target.ReasonConnectionLost, target.ReasonTargetError:
		return pb.SubReason_SUB_REASON_TARGET_ERROR
	}
	return pb.SubReason_SUB_REASON_TARGET_ERROR
}
