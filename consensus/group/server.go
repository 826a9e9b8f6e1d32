package group

import (
	"context"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/consensus/codec"
	"github.com/peridotmux/peridotmux/consensus/pb"
)

// server answers the other members.
type server struct {
	pb.DRPCMembersUnimplementedServer
	g *Group
}

// Register adds the service that the other members call.
func (g *Group) Register(m drpc.Mux) error {
	return pb.DRPCRegisterMembers(m, &server{g: g})
}

// Deliver takes in messages. A batch is acknowledged before it is handled,
// since only the connection is to be judged by it.
func (s *server) Deliver(stream pb.DRPCMembers_DeliverStream) error {
	for {
		batch, err := stream.Recv()
		if err != nil {
			return nil
		}
		if batch.GetGroup() != s.g.cfg.Name {
			return &WrongGroupError{Name: batch.GetGroup()}
		}
		if err := stream.Send(&pb.Delivered{}); err != nil {
			return nil
		}
		if !s.g.receive(stream.Context(), batch) {
			return nil
		}
	}
}

func (g *Group) receive(ctx context.Context, batch *pb.MessageBatch) bool {
	for _, x := range batch.GetMessages() {
		m, ok := codec.MessageFromPB(x)
		if !ok {
			g.cfg.Log.Warn("consensus message makes no sense", "from", x.GetFrom())
			continue
		}
		select {
		case g.inbox <- m:
		case <-ctx.Done():
			return false
		case <-g.stopped:
			return false
		}
	}
	return true
}

// Identify tells this member's disk.
func (s *server) Identify(_ context.Context, r *pb.IdentifyRequest) (*pb.IdentifyResponse, error) {
	if r.GetGroup() != s.g.cfg.Name {
		return nil, &WrongGroupError{Name: r.GetGroup()}
	}
	out := &pb.IdentifyResponse{
		Id: uint64(s.g.cfg.ID), Disk: string(s.g.disk), Initialized: s.g.initialized.Load(),
	}
	if first := s.g.formed.Load(); first != nil {
		out.First = codec.MembershipToPB(*first)
	}
	return out, nil
}
