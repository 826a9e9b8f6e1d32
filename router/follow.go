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

// FollowConfig configures Follow.
type FollowConfig struct {
	VM topology.VM
	// Incarnation differs for each start of the process.
	Incarnation uint64
	// Members returns the rpc addresses of the current control members; at least
	// one.
	Members func() []netip.AddrPort
	Board   *board.Board
	Lease   *lease.Lease
	Log     *slog.Logger
	// Leaving reports whether the process is shutting down.
	Leaving func() bool
	// OnMembers, if set, is called with the rpc addresses of the voting members
	// that a control member reports.
	OnMembers func(addrs []string)
	// Traffic counts the bytes of messages to and from control.
	Traffic telemetry.Lease
}

// Follow keeps the board's replicated records and the lease up to date until
// ctx is done.
func Follow(ctx context.Context, c FollowConfig) {
	f := &follower{
		vm: c.VM, incarnation: c.Incarnation, currentMembers: c.Members, board: c.Board, lease: c.Lease,
		log: c.Log, leaving: c.Leaving, renewNow: make(chan struct{}, 1), traffic: c.Traffic,
		onLeader: func(string) {}, onMembers: c.OnMembers,
	}
	f.run(ctx)
}
