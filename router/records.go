package router

import (
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/board/records"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// StaleRecordsError reports that a response is older than the records already
// applied.
type StaleRecordsError struct {
	// Have and Got are log indexes, or versions of the deployment if that is what
	// is older.
	Have, Got uint64
}

// Error implements error.
func (e *StaleRecordsError) Error() string { return "records older than those already applied" }

// applyResponse applies the records of r to v. If r is older than v or holds an
// unreadable record, it returns a *StaleRecordsError or *records.Error and leaves
// v unchanged.
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
