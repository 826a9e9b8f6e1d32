package router

import (
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/board/records"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// StaleRecordsError says that a response would have taken the board back.
type StaleRecordsError struct {
	Have, Got uint64
}

// Error describes the failure.
func (e *StaleRecordsError) Error() string { return "records older than those applied" }

// applyResponse brings v to the state that r carries. It changes nothing and
// gives an error if r is older than v or holds a record that can't be read.
func applyResponse(v *board.View, r *pb.FollowResponse) error {
	if r.GetIndex() < v.Index {
		return &StaleRecordsError{Have: v.Index, Got: r.GetIndex()}
	}
	base := v
	if r.GetSnapshot() {
		base = records.EmptyView()
	}
	next, err := records.Apply(base, r.GetRecords())
	if err != nil {
		return err
	}
	if next.ConfigVersion < v.ConfigVersion {
		return &StaleRecordsError{Have: v.ConfigVersion, Got: next.ConfigVersion}
	}
	next.Index = r.GetIndex()
	*v = *next
	return nil
}
