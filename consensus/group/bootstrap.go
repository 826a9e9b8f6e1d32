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
	// bootstrapInterval is the time between attempts to form a group.
	bootstrapInterval = 100 * time.Millisecond
	identifyTimeout   = time.Second
)

// bootstrap forms a new group: the member with the lowest ID collects the disk
// identities of all configured members and persists the first membership; the
// others fetch it from that member. It returns once this member has persisted
// state, which may also come from a leader, or if the group already exists
// without this disk. In the latter case an operator has to add the member.
func (g *Group) bootstrap(ctx context.Context) {
	ticker := time.NewTicker(bootstrapInterval)
	defer ticker.Stop()
	for !g.initialized.Load() {
		first, exists := g.firstMembership(ctx)
		switch {
		case !exists && len(first.Members) == 0:
		case !first.Contains(g.cfg.ID, g.disk):
			g.cfg.Logger.Warn("consensus group already exists and does not list this disk; an operator has to add the member", "disk", string(g.disk))
			return
		default:
			_ = g.runInLoop(ctx, func() { g.initialize(first, !exists) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// initialize persists the first membership and starts the node, unless this
// member already has persisted state. It runs in the run loop. formed is true on
// the member that forms the group.
func (g *Group) initialize(first consensus.Membership, formed bool) {
	if !g.initialized.CompareAndSwap(false, true) {
		return
	}
	state, err := g.store.Bootstrap(first, formed)
	if err != nil {
		g.fatalErr = err
		return
	}
	if formed {
		g.formedWith.Store(&first)
	}
	g.start(state)
}

// firstMembership returns the first membership, empty if it is not known yet, and
// whether the group already exists.
func (g *Group) firstMembership(ctx context.Context) (first consensus.Membership, exists bool) {
	low := g.cfg.lowestMember()
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

// identify requests the identity of the member at addr.
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
