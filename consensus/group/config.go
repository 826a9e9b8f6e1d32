package group

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/rpc"
)

// Default values for the zero fields of Config. DefaultSnapshotEvery and
// DefaultTrailingEntries are numbers of entries, DefaultSnapshotBytes and
// DefaultTrailingBytes are sizes of entries.
const (
	DefaultTickInterval    = 30 * time.Millisecond
	DefaultSnapshotEvery   = 10_000
	DefaultSnapshotBytes   = 4 << 20
	DefaultTrailingEntries = 5_000
	DefaultTrailingBytes   = 1 << 20
)

const (
	// heartbeatInterval is the interval of the leader's heartbeats.
	heartbeatInterval = 120 * time.Millisecond
	// electionTimeout is the minimum election timeout; the maximum is twice that.
	electionTimeout = 600 * time.Millisecond
	// startTimeout is the minimum election timeout of a member that hasn't heard from a
	// leader since its start: more than the time in which a leader's heartbeat or a
	// round of votes arrives.
	startTimeout = 150 * time.Millisecond
	// maxProposalBytes limits the data of one entry.
	maxProposalBytes = 16 << 20
)

// Member is a configured member. RPC is the address of its RPC server.
type Member struct {
	ID   consensus.MemberID
	Name string
	RPC  netip.AddrPort
}

// Config configures a Group. Zero values of SnapshotEvery, SnapshotBytes,
// TrailingEntries, TrailingBytes and TickInterval select the defaults; a nil Logger
// discards all lines.
type Config struct {
	// ID is this member's ID. Members must contain it.
	ID consensus.MemberID
	// GroupName is the name of the group. Messages from members of other groups
	// are rejected.
	GroupName string
	// Members are this member and the other configured ones. Their addresses take
	// precedence over the addresses in the log.
	Members []Member
	// DataDir is the path of the data folder.
	DataDir string
	// Bootstrap permits forming a new group of Members if the data folder is
	// empty.
	Bootstrap    bool
	StateMachine control.StateMachine
	Logger       *slog.Logger
	// UseJournal selects the journal engine, which needs one sync per write,
	// instead of bbolt.
	UseJournal bool
	// SnapshotEvery is the number, and SnapshotBytes the size, of the applied
	// entries after which a snapshot is taken. A larger snapshot delays the next
	// one, see snapshotIfDue.
	SnapshotEvery uint64
	SnapshotBytes uint64
	// TrailingEntries is the number, and TrailingBytes the size, up to which entries
	// are kept in memory after a snapshot, so that members slightly behind can catch
	// up without a snapshot transfer.
	TrailingEntries uint64
	TrailingBytes   uint64
	// TickInterval is the duration of one tick of the node. It must not exceed the
	// heartbeat interval.
	TickInterval time.Duration
	// Seed seeds the random election timeouts. 0 selects a random seed.
	Seed uint64
	// OnDiskFull is called when a write found no space, and when it succeeded or was
	// given up. The default does nothing.
	OnDiskFull func(full bool)
	// Dial connects to another member. The default is rpc.Dial.
	Dial func(context.Context, netip.AddrPort) (drpc.Conn, error)
}

func (c *Config) setDefaults() {
	if c.TickInterval == 0 {
		c.TickInterval = DefaultTickInterval
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = DefaultSnapshotEvery
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = DefaultSnapshotBytes
	}
	if c.TrailingEntries == 0 {
		c.TrailingEntries = DefaultTrailingEntries
	}
	if c.TrailingBytes == 0 {
		c.TrailingBytes = DefaultTrailingBytes
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.OnDiskFull == nil {
		c.OnDiskFull = func(bool) {}
	}
	if c.Dial == nil {
		c.Dial = rpc.Dial
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	c.Logger = c.Logger.With("group", c.GroupName, "member", uint64(c.ID))
}

func (c *Config) check() error {
	found := false
	seen := make(map[consensus.MemberID]bool)
	for _, m := range c.Members {
		if m.ID == consensus.None || seen[m.ID] {
			return &ConfigError{Reason: "a member's id is 0 or used twice"}
		}
		seen[m.ID] = true
		found = found || m.ID == c.ID
	}
	switch {
	case !found:
		return &ConfigError{Reason: "the member itself is not among the members"}
	case c.StateMachine == nil:
		return &ConfigError{Reason: "the state machine is missing"}
	case c.DataDir == "":
		return &ConfigError{Reason: "the data folder is missing"}
	case c.TickInterval > heartbeatInterval:
		return &ConfigError{Reason: "the tick interval is longer than a heartbeat"}
	}
	return nil
}

// self returns the configuration of this member.
func (c *Config) self() Member {
	for _, m := range c.Members {
		if m.ID == c.ID {
			return m
		}
	}
	return Member{ID: c.ID}
}

func (c *Config) lowestMember() Member {
	low := c.Members[0]
	for _, m := range c.Members {
		if m.ID < low.ID {
			low = m
		}
	}
	return low
}

func (c *Config) ticks(d time.Duration) int { return int(d / c.TickInterval) }
