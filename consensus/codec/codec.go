// Package codec translates the consensus types to and from protobuf messages.
package codec

import (
	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/pb"
)

// MembershipToPB translates a membership.
func MembershipToPB(m consensus.Membership) *pb.Membership {
	out := &pb.Membership{}
	for _, x := range m.Members {
		out.Members = append(out.Members, &pb.Member{
			Id: uint64(x.ID), Disk: string(x.Disk), Name: x.Name, Addr: x.Addr, Learner: x.Learner,
		})
	}
	return out
}

// MembershipFromPB translates a membership.
func MembershipFromPB(m *pb.Membership) consensus.Membership {
	var members []consensus.Member
	for _, x := range m.GetMembers() {
		members = append(members, consensus.Member{
			ID: consensus.MemberID(x.GetId()), Disk: consensus.DiskID(x.GetDisk()),
			Name: x.GetName(), Addr: x.GetAddr(), Learner: x.GetLearner(),
		})
	}
	return consensus.NewMembership(members...)
}

// EntryToPB translates an entry.
func EntryToPB(e consensus.Entry) *pb.Entry {
	out := &pb.Entry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
	if e.Membership != nil {
		out.Membership = MembershipToPB(*e.Membership)
	}
	return out
}

// EntryFromPB translates an entry, false if it makes no sense.
func EntryFromPB(e *pb.Entry) (consensus.Entry, bool) {
	kind := e.GetKind()
	if kind > uint32(consensus.EntryMembership) || e.GetIndex() == 0 || e.GetTerm() == 0 {
		return consensus.Entry{}, false
	}
	out := consensus.Entry{
		Index: e.GetIndex(), Term: e.GetTerm(), Kind: consensus.EntryKind(kind), Data: e.GetData(),
	}
	if (out.Kind == consensus.EntryMembership) != (e.GetMembership() != nil) {
		return consensus.Entry{}, false
	}
	if e.GetMembership() != nil {
		m := MembershipFromPB(e.GetMembership())
		out.Membership = &m
	}
	return out, true
}

// SnapshotMetaToPB translates what a snapshot stands for.
func SnapshotMetaToPB(s consensus.SnapshotMeta) *pb.SnapshotMeta {
	return &pb.SnapshotMeta{Index: s.Index, Term: s.Term, Membership: MembershipToPB(s.Membership)}
}

// SnapshotMetaFromPB translates what a snapshot stands for.
func SnapshotMetaFromPB(s *pb.SnapshotMeta) consensus.SnapshotMeta {
	return consensus.SnapshotMeta{
		Index: s.GetIndex(), Term: s.GetTerm(), Membership: MembershipFromPB(s.GetMembership()),
	}
}

// MessageToPB translates a message.
func MessageToPB(m consensus.Message) *pb.Message {
	out := &pb.Message{
		Type: uint32(m.Type), From: uint64(m.From), FromDisk: string(m.FromDisk),
		To: uint64(m.To), ToDisk: string(m.ToDisk), Term: m.Term, Index: m.Index,
		LogTerm: m.LogTerm, Commit: m.Commit, Reject: m.Reject, Hint: m.Hint,
		HintTerm: m.HintTerm, Round: m.Round, Request: m.Request, Offset: m.Offset,
	}
	for _, e := range m.Entries {
		out.Entries = append(out.Entries, EntryToPB(e))
	}
	if c := m.Chunk; c != nil {
		out.Chunk = &pb.SnapshotChunk{
			Meta: SnapshotMetaToPB(c.SnapshotMeta), Offset: c.Offset, Total: c.Total, Data: c.Data,
		}
	}
	return out
}

// MessageFromPB translates a message, false if it makes no sense.
func MessageFromPB(m *pb.Message) (consensus.Message, bool) {
	t := m.GetType()
	if t == 0 || t > uint32(consensus.MsgConfirmReply) {
		return consensus.Message{}, false
	}
	out := consensus.Message{
		Type: consensus.MessageType(t), From: consensus.MemberID(m.GetFrom()),
		FromDisk: consensus.DiskID(m.GetFromDisk()), To: consensus.MemberID(m.GetTo()),
		ToDisk: consensus.DiskID(m.GetToDisk()), Term: m.GetTerm(), Index: m.GetIndex(),
		LogTerm: m.GetLogTerm(), Commit: m.GetCommit(), Reject: m.GetReject(), Hint: m.GetHint(),
		HintTerm: m.GetHintTerm(), Round: m.GetRound(), Request: m.GetRequest(), Offset: m.GetOffset(),
	}
	for i, x := range m.GetEntries() {
		e, ok := EntryFromPB(x)
		if !ok || e.Index != out.Index+1+uint64(i) {
			return consensus.Message{}, false
		}
		out.Entries = append(out.Entries, e)
	}
	if c := m.GetChunk(); c != nil {
		out.Chunk = &consensus.SnapshotChunk{
			SnapshotMeta: SnapshotMetaFromPB(c.GetMeta()), Offset: c.GetOffset(), Total: c.GetTotal(), Data: c.GetData(),
		}
	}
	return out, true
}
