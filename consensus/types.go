package consensus

// MemberID names a member of a group. It is never 0.
type MemberID uint64

// None is the id of no member.
const None MemberID = 0

// DiskID is the random identity of a data folder.
type DiskID string

// EntryKind says what an entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryEmpty is the entry that a new leader begins its term with.
	EntryEmpty EntryKind = iota
	// EntryCommand holds a command for the state machine.
	EntryCommand
	// EntryMembership holds a new membership.
	EntryMembership
)

// Entry is one entry of the log.
type Entry struct {
	Index      uint64
	Term       uint64
	Kind       EntryKind
	Data       []byte
	Membership *Membership
}

// entryOverheadBytes is what an entry costs in a message besides its data.
const entryOverheadBytes = 32

// Size is about what the entry takes in a message.
func (e *Entry) Size() int { return entryOverheadBytes + len(e.Data) }

// HardState is what a member must not forget.
type HardState struct {
	Term   uint64
	Vote   MemberID
	Commit uint64
}

// SnapshotMeta says what a snapshot stands for.
type SnapshotMeta struct {
	Index      uint64
	Term       uint64
	Membership Membership
}

// Snapshot is the whole state as of an index.
type Snapshot struct {
	SnapshotMeta
	Data []byte
}

// MessageType says what a message is.
type MessageType uint8

// The types of messages.
const (
	// MsgPreVote asks whether a vote would be given.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteReply answers MsgPreVote.
	MsgPreVoteReply
	// MsgVote asks for a vote.
	MsgVote
	// MsgVoteReply answers MsgVote.
	MsgVoteReply
	// MsgAppend carries entries.
	MsgAppend
	// MsgAppendReply says up to which index the log matches.
	MsgAppendReply
	// MsgHeartbeat says that the leader lives, and carries a confirm round.
	MsgHeartbeat
	// MsgHeartbeatReply answers MsgHeartbeat.
	MsgHeartbeatReply
	// MsgSnapshot carries a chunk of a snapshot.
	MsgSnapshot
	// MsgSnapshotReply says which offset of a snapshot is wanted next.
	MsgSnapshotReply
	// MsgConfirm asks the leader for a confirmed index.
	MsgConfirm
	// MsgConfirmReply answers MsgConfirm.
	MsgConfirmReply
)

// SnapshotChunk is a part of a snapshot.
type SnapshotChunk struct {
	SnapshotMeta
	Offset uint64
	Total  uint64
	Data   []byte
}

// Message is what members send to each other.
type Message struct {
	Type     MessageType
	From     MemberID
	FromDisk DiskID
	To       MemberID
	ToDisk   DiskID
	Term     uint64
	// Index is the entry before Entries in MsgAppend, the candidate's last
	// entry in votes, the matching or refused index in MsgAppendReply, the
	// snapshot's index in MsgSnapshotReply and the result in MsgConfirmReply.
	Index uint64
	// LogTerm is the term of the entry at Index.
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	Reject  bool
	// Hint is an index up to which logs may match, and HintTerm its term.
	Hint     uint64
	HintTerm uint64
	// Round numbers the leader's confirm rounds in a term.
	Round uint64
	// Request is the asker's own number in MsgConfirm and its reply.
	Request uint64
	// Offset is the wanted offset in MsgSnapshotReply.
	Offset uint64
	Chunk  *SnapshotChunk
}

// Size is about what the message takes on the network.
func (m *Message) Size() int {
	size := entryOverheadBytes
	for i := range m.Entries {
		size += m.Entries[i].Size()
	}
	if m.Chunk != nil {
		size += len(m.Chunk.Data)
	}
	return size
}

// Role is what a member does in a term.
type Role uint8

// The roles.
const (
	// Follower follows a leader or waits for one.
	Follower Role = iota
	// PreCandidate asks whether it would be elected.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader leads the term.
	Leader
)

// ConfirmResult is the result of a confirmation that this member asked for.
type ConfirmResult struct {
	Request uint64
	// Index covers all that was committed before the request was made.
	Index uint64
	// Lost says that there is no result, since the leader changed.
	Lost bool
}

// Ready is what the caller has to do, in this order: save Snapshot, Entries
// and HardState (synced if MustSync), restore Snapshot, send Messages, apply
// Committed, and call Advance.
type Ready struct {
	HardState HardState
	// HardStateChanged says that HardState differs from the last one.
	HardStateChanged bool
	MustSync         bool
	Snapshot         *Snapshot
	Entries          []Entry
	Committed        []Entry
	Messages         []Message
	Confirmed        []ConfirmResult
}
