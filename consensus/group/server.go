package group

import (
	"context"
	"net/netip"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/codec"
	"github.com/peridotmux/peridotmux/consensus/pb"
)

// server serves the RPCs of the other members.
type server struct {
	pb.DRPCMembersUnimplementedServer
	g *Group
}

// Register registers the RPC service for the other members.
func (g *Group) Register(m drpc.Mux) error {
	return pb.DRPCRegisterMembers(m, &server{g: g})
}

// Deliver receives messages. A batch is acknowledged before it is processed,
// since the acknowledgement only shows that the connection works.
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
		s.g.ensureLink(stream.Context(), batch)
		if !s.g.receive(stream.Context(), batch) {
			return nil
		}
	}
}

// ensureLink opens a link to a sender that is neither configured nor in the
// membership, so that it receives replies.
func (g *Group) ensureLink(ctx context.Context, batch *pb.MessageBatch) {
	id := consensus.MemberID(batch.GetFrom())
	if id == consensus.None || g.markKnown(id) {
		return
	}
	addr, err := netip.ParseAddrPort(batch.GetFromAddr())
	if err != nil {
		g.cfg.Logger.Warn("invalid address of consensus member", "from", batch.GetFrom(), "addr", batch.GetFromAddr())
		return
	}
	_ = g.runInLoop(ctx, func() { g.links.open(id, addr) }) // Fails only if the stream or this member ends; the sender then retries.
}

// markKnown adds a sender to the known ones and reports whether it already was.
func (g *Group) markKnown(id consensus.MemberID) bool {
	_, known := g.knownSenders.LoadOrStore(id, true)
	return known
}

// receive queues the messages of a batch, and reports false if the stream or this
// member ends. Invalid messages are dropped.
func (g *Group) receive(ctx context.Context, batch *pb.MessageBatch) bool {
	for _, x := range batch.GetMessages() {
		m, ok := codec.MessageFromPB(x)
		if !ok {
			g.cfg.Logger.Warn("invalid consensus message dropped", "from", x.GetFrom())
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

// Identify returns this member's ID and disk identity, and the membership with
// which it formed the group, if it did.
func (s *server) Identify(_ context.Context, r *pb.IdentifyRequest) (*pb.IdentifyResponse, error) {
	if r.GetGroup() != s.g.cfg.GroupName {
		return nil, &WrongGroupError{Name: r.GetGroup()}
	}
	out := &pb.IdentifyResponse{
		Id: uint64(s.g.cfg.ID), Disk: string(s.g.disk), Initialized: s.g.initialized.Load(),
	}
	if first := s.g.formedWith.Load(); first != nil {
		out.First = codec.MembershipToPB(*first)
	}
	return out, nil
}
