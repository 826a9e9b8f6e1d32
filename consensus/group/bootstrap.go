package group

import (
	"context"
	"net/netip"
	"time"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/codec"
	"github.com/peridotmux/peridotmux/consensus/pb"
)

const (
	// bootstrapInterval is the time between tries to form a group.
	bootstrapInterval = 100 * time.Millisecond
	identifyTimeout   = time.Second
)

// bootstrap forms a new group: the member with the lowest id learns the disks
// of all and writes the first membership, and the others take it from there.
// It ends once this member has a state, also if a leader sent it, and gives up
// if the group exists without this disk: then an operator has to add it.
func (g *Group) bootstrap(ctx context.Context) {
	ticker := time.NewTicker(bootstrapInterval)
	defer ticker.Stop()
	for !g.initialized.Load() {
		first, exists := g.firstMembership(ctx)
		switch {
		case !exists && len(first.Members) == 0:
		case !first.Contains(g.cfg.ID, g.disk):
			g.cfg.Logger.Warn("consensus group exists without this disk; a member operation has to add it", "disk", string(g.disk))
			return
		default:
			_ = g.call(ctx, func() { g.begin(first, !exists) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// begin makes this member one of the first members, unless it has a state.
func (g *Group) begin(first consensus.Membership, formed bool) {
	if !g.initialized.CompareAndSwap(false, true) {
		return
	}
	state, err := g.store.Bootstrap(first, formed)
	if err != nil {
		g.failure = err
		return
	}
	if formed {
		g.formed.Store(&first)
	}
	g.start(state)
}

// firstMembership returns the membership to begin with, empty if it isn't
// known, and whether the group exists already.
func (g *Group) firstMembership(ctx context.Context) (first consensus.Membership, exists bool) {
	low := g.cfg.lowest()
	if low.ID != g.cfg.ID {
		r, err := g.identify(ctx, low.RPC)
		if err != nil || r.GetFirst() == nil {
			return consensus.Membership{}, false
		}
		return codec.MembershipFromPB(r.GetFirst()), true
	}
	var members []consensus.Member
	for _, m := range g.cfg.Members {
		disk := g.disk
		if m.ID != g.cfg.ID {
			r, err := g.identify(ctx, m.RPC)
			if err != nil || consensus.MemberID(r.GetId()) != m.ID {
				return consensus.Membership{}, false
			}
			if r.GetInitialized() {
				return consensus.Membership{}, true
			}
			disk = consensus.DiskID(r.GetDisk())
		}
		members = append(members, consensus.Member{ID: m.ID, Disk: disk, Name: m.Name, Addr: m.RPC.String()})
	}
	return consensus.NewMembership(members...), false
}

// identify asks the process at addr for its disk.
func (g *Group) identify(ctx context.Context, addr netip.AddrPort) (*pb.IdentifyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	conn, err := g.cfg.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return pb.NewDRPCMembersClient(conn).Identify(ctx, &pb.IdentifyRequest{Group: g.cfg.GroupName})
}
