package consensus

import "math/rand/v2"

// Config configures a Node. A zero value of a field for which there is a
// Default constant selects that default.
type Config struct {
	ID   MemberID
	Disk DiskID
	// ElectionTicks is the minimum election timeout in ticks. Each timeout is
	// drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// StartTicks replaces ElectionTicks for the first maxShortTimeouts timeouts of a voter
	// that hasn't heard from a leader since its start, so that a group whose members
	// all restarted elects a leader sooner. A pre-vote doesn't disturb a leader that
	// the others hear. 0 selects ElectionTicks.
	StartTicks int
	// HeartbeatTicks is the heartbeat interval in ticks.
	HeartbeatTicks int
	// MaxAppendBytes limits the total size of the entries in one message. A
	// single larger entry is sent in a message of its own.
	MaxAppendBytes int
	// MaxInflight limits the unacknowledged append messages per member.
	MaxInflight int
	// MaxUncommitted limits the uncommitted entries of a leader.
	MaxUncommitted int
	// MaxCommittedBytes limits the total size of the committed entries in one
	// Ready, so that the caller can process messages between them. A single larger
	// entry is returned in a Ready of its own.
	MaxCommittedBytes int
	// SnapshotChunkBytes limits the data in one MsgSnapshot.
	SnapshotChunkBytes int
	// Random is the source of the election timeouts. The default is seeded
	// with ID.
	Random *rand.Rand
	// HardState, Snapshot and Entries are the persisted state.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Default values for the zero fields of Config.
const (
	DefaultElectionTicks      = 20
	DefaultHeartbeatTicks     = 4
	DefaultMaxAppendBytes     = 1 << 20
	DefaultMaxInflight        = 64
	DefaultMaxUncommitted     = 1 << 16
	DefaultMaxCommittedBytes  = 1 << 20
	DefaultSnapshotChunkBytes = 256 << 10
)

func setDefault(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

func (c *Config) setDefaults() {
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&c.MaxInflight, DefaultMaxInflight)
	setDefault(&c.MaxUncommitted, DefaultMaxUncommitted)
	setDefault(&c.MaxCommittedBytes, DefaultMaxCommittedBytes)
	setDefault(&c.SnapshotChunkBytes, DefaultSnapshotChunkBytes)
	setDefault(&c.StartTicks, c.ElectionTicks)
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(uint64(c.ID), 0))
	}
}

// BootstrapState returns the initial persisted state of a new group's members:
// an already committed entry 1 of term 1 that holds the membership m. Every
// initial member must start with the same state.
func BootstrapState(m Membership) (HardState, []Entry) {
	first := Entry{Index: 1, Term: 1, Kind: EntryMembership, Membership: &m}
	return HardState{Term: 1, Commit: 1}, []Entry{first}
}
