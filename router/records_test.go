package router

import (
	"bytes"
	"compress/flate"
	"errors"
	"testing"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/board/records"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

func quietRecord(dc string, version uint64) *pb.Record {
	return &pb.Record{
		Key: rpc.KeyQuietDC + dc, Version: version,
		Value: &pb.Record_QuietDc{QuietDc: &pb.QuietRecord{Intent: "i"}},
	}
}

func deploymentRecord(version uint64, json string) *pb.Record {
	var packed bytes.Buffer
	w, _ := flate.NewWriter(&packed, flate.BestSpeed)
	_, _ = w.Write([]byte(json))
	_ = w.Close()
	return &pb.Record{
		Key: rpc.KeyDeployment, Version: version,
		Value: &pb.Record_Deployment{Deployment: &pb.DeploymentRecord{Version: version, Deflated: packed.Bytes()}},
	}
}

func apply(t *testing.T, v *board.View, r *pb.FollowResponse) {
	t.Helper()
	if err := applyResponse(v, r); err != nil {
		t.Fatal(err)
	}
}

// TestStaleResponsesAreRejected guards against a response from a lagging member
// that rolls the view back to an older index or deployment.
func TestStaleResponsesAreRejected(t *testing.T) {
	v := &board.View{}
	apply(t, v, &pb.FollowResponse{Index: 5, Records: []*pb.Record{deploymentRecord(2, `{"Name":"new"}`)}})
	cases := []struct {
		name     string
		response *pb.FollowResponse
	}{
		{"a late delta", &pb.FollowResponse{Index: 4, Records: []*pb.Record{quietRecord("a", 4)}}},
		{"an old snapshot", &pb.FollowResponse{Index: 3, Snapshot: true}},
		{"an older deployment", &pb.FollowResponse{
			Index: 6, Snapshot: true, Records: []*pb.Record{deploymentRecord(1, `{"Name":"old"}`)},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var stale *StaleRecordsError
			if err := applyResponse(v, c.response); !errors.As(err, &stale) {
				t.Fatalf("got %v", err)
			}
			if v.Index != 5 || v.ConfigVersion != 2 || v.Topology.Deployment.Name != "new" {
				t.Errorf("the view changed: %+v", v)
			}
		})
	}
}

// TestSnapshotReplacesAndDeltaDeletes checks that a delta removes single records
// without changing the earlier view's maps, and that a snapshot drops all records
// that it doesn't contain.
func TestSnapshotReplacesAndDeltaDeletes(t *testing.T) {
	v := &board.View{}
	apply(t, v, &pb.FollowResponse{Index: 2, Records: []*pb.Record{quietRecord("a", 1), quietRecord("b", 2)}})
	old := v.QuietDCs
	apply(t, v, &pb.FollowResponse{Index: 3, Records: []*pb.Record{
		{Key: rpc.KeyQuietDC + "a", Version: 3, Deleted: true},
	}})
	if len(v.QuietDCs) != 1 || len(old) != 2 {
		t.Fatalf("delta: %v, the view before it: %v", v.QuietDCs, old)
	}
	apply(t, v, &pb.FollowResponse{Index: 4, Snapshot: true, Records: []*pb.Record{quietRecord("c", 4)}})
	if _, ok := v.QuietDCs[topology.DataCentre("c")]; !ok || len(v.QuietDCs) != 1 {
		t.Fatalf("snapshot: %v", v.QuietDCs)
	}
}

// TestUnreadableRecordLeavesViewUnchanged guards against a response that is
// applied in part because a later record is malformed.
func TestUnreadableRecordLeavesViewUnchanged(t *testing.T) {
	v := &board.View{Index: 1}
	err := applyResponse(v, &pb.FollowResponse{Index: 2, Records: []*pb.Record{
		quietRecord("a", 2), deploymentRecord(2, "{"),
	}})
	var bad *records.Error
	if !errors.As(err, &bad) || v.Index != 1 || len(v.QuietDCs) != 0 {
		t.Fatalf("got %v, view %+v", err, v)
	}
}
