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

// The values that zero fields of Config stand for.
const (
	DefaultTickInterval    = 30 * time.Millisecond
	DefaultSnapshotEvery   = 10_000
	DefaultTrailingEntries = 5_000
)

const (
	// heartbeatInterval is the time between a leader's heartbeats.
	heartbeatInterval = 120 * time.Millisecond
	// electionTimeout is the shortest election timeout; the longest is twice that.
	electionTimeout = 600 * time.Millisecond
	// maxProposalBytes bounds the data of one entry.
	maxProposalBytes = 16 << 20
)

// Member is a member as the settings name it.
type Member struct {
	ID   consensus.MemberID
	Name string
	RPC  netip.AddrPort
}

// Config says how to run a member.
type Config struct {
	// ID is this member's id.
	ID consensus.MemberID
	// GroupName is the group's name. Members of other groups are refused.
	GroupName string
	// Members are this member and the others it may meet. Their addresses go
	// before those in the log.
	Members []Member
	// DataDir is the data folder.
	DataDir string
	// Bootstrap allows to form a new group of Members on an empty data folder.
	Bootstrap    bool
	StateMachine control.StateMachine
	Logger       *slog.Logger
	// UseJournal keeps the data folder as a journal, with one sync a write.
	UseJournal bool
	// SnapshotEvery is the number of entries between snapshots.
	SnapshotEvery uint64
	// TrailingEntries are kept in memory after a snapshot, for members that are
	// a little behind.
	TrailingEntries uint64
	TickInterval    time.Duration
	// Seed sets the election timeouts; 0 takes a random one.
	Seed uint64
	// Dial connects to another member; rpc.Dial if nil.
	Dial func(context.Context, netip.AddrPort) (drpc.Conn, error)
}

func (c *Config) setDefaults() {
	if c.TickInterval == 0 {
		c.TickInterval = DefaultTickInterval
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = DefaultSnapshotEvery
	}
	if c.TrailingEntries == 0 {
		c.TrailingEntries = DefaultTrailingEntries
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
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

// self returns this member as the settings name it.
func (c *Config) self() Member {
	for _, m := range c.Members {
		if m.ID == c.ID {
			return m
		}
	}
	return Member{ID: c.ID}
}

func (c *Config) lowest() Member {
	low := c.Members[0]
	for _, m := range c.Members {
		if m.ID < low.ID {
			low = m
		}
	}
	return low
}

func (c *Config) ticks(d time.Duration) int { return int(d / c.TickInterval) }
