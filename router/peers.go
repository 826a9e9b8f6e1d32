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

// UnknownRouterError reports that no live router has the given name.
type UnknownRouterError struct {
	VM topology.VMName
}

// Error implements error.
func (e *UnknownRouterError) Error() string { return "no live router named " + string(e.VM) }

// NotSent returns true: the request was not handoverErr to the network.
func (*UnknownRouterError) NotSent() bool { return true }

// localOwner is the owner in this process. Calls to it bypass the network.
type localOwner interface {
	Do(ctx context.Context, q *pb.SubRequest) *pb.SubReply
}

// peers calls the owners at this router and at the other routers. It is safe for
// concurrent use.
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

// Call sends a sub-request to an owner and waits for the reply. The error is an
// *UnknownRouterError or *rpc.BackoffError if nothing was sent, otherwise an
// *rpc.ConnectionLostError or the context's error.
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

// cancelMessage returns the message that cancels the sub-request with the given
// id.
func cancelMessage(id uint64) *pb.SubRequest { return &pb.SubRequest{Id: id, Cancel: true} }

// FetchReleased queries the previous owner of targets which of them it has
// released.
func (p *peers) FetchReleased(
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

// close closes all connections.
func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.Close()
	}
}
