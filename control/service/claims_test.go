package service_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

var submitCommand = state.Command{Number: "n", Submit: &state.Submit{Spec: api.IntentSpec{
	Kind: api.IntentTakeOut, DataCentre: "bern-a",
}}}

// claimStream is a Claims stream in memory.
type claimStream struct {
	drpc.Stream
	ctx      context.Context
	requests chan *pb.ClaimBatch
	replies  chan *pb.ClaimReplyBatch
}

func (s *claimStream) Context() context.Context { return s.ctx }

func (s *claimStream) Send(r *pb.ClaimReplyBatch) error {
	s.replies <- r
	return nil
}

func (s *claimStream) Recv() (*pb.ClaimBatch, error) {
	select {
	case q := <-s.requests:
		return q, nil
	case <-s.ctx.Done():
		return nil, io.EOF
	}
}

func (c *cluster) claim(i int, q *pb.ClaimRequest) *pb.ClaimReply {
	ctx, cancel := context.WithCancel(c.t.Context())
	defer cancel()
	s := &claimStream{ctx: ctx, requests: make(chan *pb.ClaimBatch, 1), replies: make(chan *pb.ClaimReplyBatch, 1)}
	s.requests <- &pb.ClaimBatch{Requests: []*pb.ClaimRequest{q}}
	go func() { _ = c.services[i].Claims(s) }()
	return (<-s.replies).GetReplies()[0]
}

func TestClaimsSayTrulyWhetherAnythingWasAppended(t *testing.T) {
	cases := []struct {
		name   string
		fault  func(c *cluster)
		member int
		want   pb.ClaimStatus
		// again is the status of a second router's claim afterwards.
		again pb.ClaimStatus
	}{
		{
			"granted", func(*cluster) {}, 0,
			pb.ClaimStatus_CLAIM_STATUS_GRANTED, pb.ClaimStatus_CLAIM_STATUS_HELD,
		},
		{
			"at a follower", func(*cluster) {}, 1,
			pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE, pb.ClaimStatus_CLAIM_STATUS_GRANTED,
		},
		{
			"answer lost after the commit", func(c *cluster) { c.group.LoseResponses(0, 1, true) }, 0,
			pb.ClaimStatus_CLAIM_STATUS_UNKNOWN, pb.ClaimStatus_CLAIM_STATUS_HELD,
		},
		{
			"answer lost before the commit", func(c *cluster) { c.group.LoseResponses(0, 1, false) }, 0,
			pb.ClaimStatus_CLAIM_STATUS_UNKNOWN, pb.ClaimStatus_CLAIM_STATUS_GRANTED,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 2)
				c.group.SetAddr(0, "127.0.0.1:7")
				c.lead()
				tc.fault(c)
				r := c.claim(tc.member, &pb.ClaimRequest{Id: 5, Key: "k", Vm: "vm-1", Token: 1})
				if r.GetStatus() != tc.want || r.GetId() != 5 {
					t.Errorf("got %v, want %v", r, tc.want)
				}
				if r.GetStatus() == pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE && r.GetLeaderAddr() != "127.0.0.1:7" {
					t.Errorf("no leader's address: %v", r)
				}
				if again := c.claim(0, &pb.ClaimRequest{Key: "k", Vm: "vm-2", Token: 2}); again.GetStatus() != tc.again {
					t.Errorf("another router's claim: %v, want %v", again, tc.again)
				}
			})
		})
	}
}
