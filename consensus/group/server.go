package group

import (
	"context"
	"net/netip"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/consensus"
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
		if batch.GetGroup() != s.g.cfg.GroupName {
			return &WrongGroupError{Name: batch.GetGroup()}
		}
		if err := stream.Send(&pb.Delivered{}); err != nil {
			return nil
		}
		s.g.meet(stream.Context(), batch)
		if !s.g.receive(stream.Context(), batch) {
			return nil
		}
	}
}

// meet opens a link to a sender that nothing else names, so that it gets
// answers.
func (g *Group) meet(ctx context.Context, batch *pb.MessageBatch) {
	id := consensus.MemberID(batch.GetFrom())
	if id == consensus.None || g.met(id) {
		return
	}
	addr, err := netip.ParseAddrPort(batch.GetFromAddr())
	if err != nil {
		g.cfg.Logger.Warn("consensus sender's address makes no sense", "from", batch.GetFrom(), "addr", batch.GetFromAddr())
		return
	}
	_ = g.call(ctx, func() { g.links.open(id, addr) }) // The sender sends again if this member ends.
}

// met reports whether a sender was met before, and notes it.
func (g *Group) met(id consensus.MemberID) bool {
	_, known := g.senders.LoadOrStore(id, true)
	return known
}

func (g *Group) receive(ctx context.Context, batch *pb.MessageBatch) bool {
	for _, x := range batch.GetMessages() {
		m, ok := codec.MessageFromPB(x)
		if !ok {
			g.cfg.Logger.Warn("consensus message makes no sense", "from", x.GetFrom())
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
	if r.GetGroup() != s.g.cfg.GroupName {
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
