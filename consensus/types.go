package consensus

// MemberID identifies a member of a group. 0 is reserved for None.
type MemberID uint64

// None is the MemberID that stands for no member.
const None MemberID = 0

// DiskID is the random identity of a data folder. A member that starts on a new
// data folder has another DiskID.
type DiskID string

// EntryKind is the kind of a log entry.
type EntryKind uint8

// The kinds of log entries. The values are persisted.
const (
	// EntryEmpty is the entry that a new leader appends first. Its commit also
	// commits the entries of earlier terms.
	EntryEmpty EntryKind = iota
	// EntryCommand holds a command for the state machine.
	EntryCommand
	// EntryMembership holds a new membership.
	EntryMembership
)

// Entry is a log entry. Data is set for EntryCommand only, Membership for
// EntryMembership only.
type Entry struct {
	Index      uint64
	Term       uint64
	Kind       EntryKind
	Data       []byte
	Membership *Membership
}

// entryOverheadBytes approximates the encoded size of an entry without its data.
const entryOverheadBytes = 32

// Size returns the approximate encoded size of the entry in bytes.
func (e *Entry) Size() int { return entryOverheadBytes + len(e.Data) }

// HardState is the state that a member persists besides its log. Term and Vote
// must survive a crash; Commit may lag behind.
type HardState struct {
	Term   uint64
	Vote   MemberID
	Commit uint64
}

// SnapshotMeta is the index and term of the last entry that a snapshot covers,
// and the membership as of that entry.
type SnapshotMeta struct {
	Index      uint64
	Term       uint64
	Membership Membership
}

// Snapshot is the serialized state of the state machine as of Index.
type Snapshot struct {
	SnapshotMeta
	Data []byte
}

// MessageType is the type of a Message.
type MessageType uint8

// The message types. The values are part of the wire format.
const (
	// MsgPreVote requests a vote that binds neither side, so that a member that
	// cannot win does not raise the term.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteReply answers MsgPreVote.
	MsgPreVoteReply
	// MsgVote requests a vote.
	MsgVote
	// MsgVoteReply answers MsgVote.
	MsgVoteReply
	// MsgAppend replicates entries.
	MsgAppend
	// MsgAppendReply carries the index up to which the log matches the
	// leader's, or rejects a MsgAppend.
	MsgAppendReply
	// MsgHeartbeat maintains leadership and carries the number of the latest
	// confirm round.
	MsgHeartbeat
	// MsgHeartbeatReply answers MsgHeartbeat.
	MsgHeartbeatReply
	// MsgSnapshot carries a chunk of a snapshot.
	MsgSnapshot
	// MsgSnapshotReply requests the next offset of a snapshot.
	MsgSnapshotReply
	// MsgConfirm forwards a Confirm request to the leader.
	MsgConfirm
	// MsgConfirmReply answers MsgConfirm.
	MsgConfirmReply
)

// SnapshotChunk is a contiguous part of a snapshot's data. Offset and Total are
// in bytes; Total is the size of the whole snapshot.
type SnapshotChunk struct {
	SnapshotMeta
	Offset uint64
	Total  uint64
	Data   []byte
}

// Message is a message between two members. Which fields are set depends on
// Type. A receiver drops a message whose ToDisk is not its own DiskID.
type Message struct {
	Type     MessageType
	From     MemberID
	FromDisk DiskID
	To       MemberID
	ToDisk   DiskID
	Term     uint64
	// Index is the index before the first of Entries in MsgAppend, the
	// candidate's last index in MsgPreVote and MsgVote, the matching or rejected
	// index in MsgAppendReply, the snapshot's index in MsgSnapshotReply and the
	// result in MsgConfirmReply.
	Index uint64
	// LogTerm is the term of the entry at Index.
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	Reject  bool
	// Hint is set when an append is rejected: the highest index up to which the
	// logs may match. HintTerm is the term of the sender's entry there.
	Hint     uint64
	HintTerm uint64
	// Round is the number of the leader's confirm round, counted per term.
	Round uint64
	// Request is the ID that the requesting member chose, in MsgConfirm and
	// MsgConfirmReply.
	Request uint64
	// Offset is the requested byte offset in MsgSnapshotReply.
	Offset uint64
	Chunk  *SnapshotChunk
}

// Size returns the approximate encoded size of the message in bytes.
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

// Role is a member's role in the current term.
type Role uint8

// The roles.
const (
	// Follower accepts entries from the leader, or waits for one.
	Follower Role = iota
	// PreCandidate has a pre-vote round in progress.
	PreCandidate
	// Candidate has an election in progress.
	Candidate
	// Leader appends and replicates entries. A term has at most one leader.
	Leader
)

// ConfirmResult is the result of a Confirm call on this member.
type ConfirmResult struct {
	// Request is the ID that was passed to Confirm.
	Request uint64
	// Index is at least the highest index that was committed on any member
	// when Confirm was called.
	Index uint64
	// Lost is true if the leader changed before the round completed, or if the
	// request reached a member that is not the leader. Index is then invalid
	// and the caller has to retry.
	Lost bool
}

// Ready is a batch of work for the caller. The caller must, in this order:
// persist Snapshot, Entries and HardState (synced if MustSync is set), restore
// the state machine from Snapshot, send Messages, apply Committed to the state
// machine, and call Advance.
type Ready struct {
	HardState HardState
	// HardStateChanged reports whether HardState differs from the previous Ready.
	HardStateChanged bool
	// MustSync is false if nothing but the commit index changed.
	MustSync bool
	// Snapshot replaces the whole log and the state machine's state, nil if
	// there is none.
	Snapshot *Snapshot
	// Entries replace any persisted entries from the first one's index on.
	Entries   []Entry
	Committed []Entry
	Messages  []Message
	Confirmed []ConfirmResult
}
