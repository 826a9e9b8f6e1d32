package consensus

import "math/rand/v2"

// Config is what a node is made from.
type Config struct {
	ID   MemberID
	Disk DiskID
	// ElectionTicks is the shortest election timeout; the longest is twice that.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entries of one message, except a single large one.
	MaxAppendBytes int
	// MaxInflight bounds the appends under way to one member.
	MaxInflight int
	// MaxUncommitted bounds the entries that wait to be committed.
	MaxUncommitted int
	// SnapshotChunkBytes bounds the data in one MsgSnapshot.
	SnapshotChunkBytes int
	// Random gives the election timeouts.
	Random *rand.Rand
	// HardState, Snapshot and Entries are what was persisted.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// The values that zero fields of Config stand for.
const (
	DefaultElectionTicks      = 20
	DefaultHeartbeatTicks     = 4
	DefaultMaxAppendBytes     = 1 << 20
	DefaultMaxInflight        = 64
	DefaultMaxUncommitted     = 1 << 16
	DefaultSnapshotChunkBytes = 256 << 10
)

func orDefault(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

func (c *Config) setDefaults() {
	orDefault(&c.ElectionTicks, DefaultElectionTicks)
	orDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	orDefault(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	orDefault(&c.MaxInflight, DefaultMaxInflight)
	orDefault(&c.MaxUncommitted, DefaultMaxUncommitted)
	orDefault(&c.SnapshotChunkBytes, DefaultSnapshotChunkBytes)
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(uint64(c.ID), 0))
	}
}

// BootstrapState returns the persisted state that every first member of a new
// group starts with.
func BootstrapState(m Membership) (HardState, []Entry) {
	first := Entry{Index: 1, Term: 1, Kind: EntryMembership, Membership: &m}
	return HardState{Term: 1, Commit: 1}, []Entry{first}
}
