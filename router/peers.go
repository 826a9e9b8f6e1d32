package router

import (
	"context"
	"net/netip"
	"sync"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// UnknownRouterError says that no live router has the name.
type UnknownRouterError struct {
	VM topology.VMName
}

// Error describes the failure.
func (e *UnknownRouterError) Error() string { return "no live router " + string(e.VM) }

// NotSent says that nothing was handed over.
func (*UnknownRouterError) NotSent() bool { return true }

// localOwner is the owner in this process.
type localOwner interface {
	Do(ctx context.Context, q *pb.SubRequest) *pb.SubReply
}

// peers calls the owners at this and the other routers.
type peers struct {
	self  topology.VMName
	local localOwner
	board *board.Board

	mu    sync.Mutex
	links map[netip.AddrPort]*rpc.OwnerLink
}

func newPeers(self topology.VMName, b *board.Board) *peers {
	return &peers{self: self, board: b, links: make(map[netip.AddrPort]*rpc.OwnerLink)}
}

// Call sends a sub-request to an owner. Errors: *UnknownRouterError and
// *rpc.BackoffError (nothing was sent), *rpc.ConnectionLostError, the context's.
func (p *peers) Call(ctx context.Context, owner topology.VMName, q *pb.SubRequest) (*pb.SubReply, error) {
	if owner == p.self {
		return p.local.Do(ctx, q), nil
	}
	addr, err := p.addr(owner)
	if err != nil {
		return nil, err
	}
	return p.link(addr).Call(ctx, q, cancelMessage)
}

func cancelMessage(id uint64) *pb.SubRequest { return &pb.SubRequest{Id: id, Cancel: true} }

// AskReleased asks the previous owner of targets for their release.
func (p *peers) AskReleased(
	ctx context.Context, previous topology.VMName, q *pb.ReleasedRequest,
) (*pb.ReleasedResponse, error) {
	addr, err := p.addr(previous)
	if err != nil {
		return nil, err
	}
	conn, err := rpc.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return pb.NewDRPCOwnerClient(conn).Released(ctx, q)
}

func (p *peers) addr(vm topology.VMName) (netip.AddrPort, error) {
	r, ok := p.board.View().Routers[vm]
	if !ok {
		return netip.AddrPort{}, &UnknownRouterError{VM: vm}
	}
	return r.VM.RPC, nil
}

func (p *peers) link(addr netip.AddrPort) *rpc.OwnerLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[addr]
	if !ok {
		l = rpc.NewOwnerLink(addr)
		p.links[addr] = l
	}
	return l
}

// close ends all connections.
func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.Close()
	}
}
