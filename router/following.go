package router

import (
	"context"
	"log/slog"
	"net/netip"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/telemetry"
	"github.com/peridotmux/peridotmux/topology"
)

// FollowConfig says how a process follows control.
type FollowConfig struct {
	VM topology.VM
	// Incarnation differs for each start of the process.
	Incarnation uint64
	// Members returns the rpc addresses of the control members known by now; at
	// least one.
	Members func() []netip.AddrPort
	Board   *board.Board
	Lease   *lease.Lease
	Log     *slog.Logger
	Leaving func() bool
	// OnMembers is told the voting members as a member knows them.
	OnMembers func(addrs []string)
	Traffic   telemetry.Lease
}

// Follow keeps the board's replicated records and the lease current until ctx
// ends.
func Follow(ctx context.Context, c FollowConfig) {
	f := &follower{
		vm: c.VM, incarnation: c.Incarnation, known: c.Members, board: c.Board, lease: c.Lease,
		log: c.Log, leaving: c.Leaving, renewNow: make(chan struct{}, 1), traffic: c.Traffic,
		onLeader: func(string) {}, onMembers: c.OnMembers,
	}
	f.run(ctx)
}
