package service

import (
	"context"
	"errors"
	"time"

	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

const (
	// claimBatch bounds the claims in one log entry.
	claimBatch = 256
	// claimBatchBytes bounds the outcomes in one log entry.
	claimBatchBytes = 1 << 20
	// claimQueue is the number of claims that wait for the log.
	claimQueue = 4096
	// claimsAtOnce is the number of log entries with claims under way.
	claimsAtOnce = 4
	// claimTimeout bounds the time that the log takes for claims.
	claimTimeout = 2 * time.Second
	// maxKeyBytes bounds a request key.
	maxKeyBytes = 512
)

// waitingClaim is a claim with what takes its reply.
type waitingClaim struct {
	request *pb.ClaimRequest
	reply   func(*pb.ClaimReply)
}

func (w waitingClaim) answer(r *pb.ClaimReply) {
	out := &pb.ClaimReply{
		Id: w.request.GetId(), Status: r.GetStatus(),
		Outcome: r.GetOutcome(), LeaderAddr: r.GetLeaderAddr(),
	}
	w.reply(out)
}

// Claims implements the Control service.
func (s *Service) Claims(stream pb.DRPCControl_ClaimsStream) error {
	return rpc.ServeBatches(stream.Context(), stream, rpc.ClaimCodec,
		func(_ context.Context, q *pb.ClaimRequest, reply func(*pb.ClaimReply)) {
			s.batcher.add(waitingClaim{q, func(r *pb.ClaimReply) {
				s.metrics.Claimed(r.GetStatus().String())
				reply(r)
			}})
		})
}

// claimBatcher puts claims that wait at the same time into one log entry.
type claimBatcher struct {
	log   control.Log
	queue chan waitingClaim
	slots chan struct{}
}

func newClaimBatcher(log control.Log) *claimBatcher {
	return &claimBatcher{
		log:   log,
		queue: make(chan waitingClaim, claimQueue),
		slots: make(chan struct{}, claimsAtOnce),
	}
}

// add queues a claim. Without a leader here, or room, nothing is appended.
func (b *claimBatcher) add(w waitingClaim) {
	lead := b.log.Leadership()
	if !lead.Leads || len(w.request.GetKey()) > maxKeyBytes || w.request.GetKey() == "" {
		w.answer(unavailable(lead.LeaderAddr))
		return
	}
	select {
	case b.queue <- w:
	default:
		w.answer(unavailable(lead.LeaderAddr))
	}
}

func unavailable(leader string) *pb.ClaimReply {
	return &pb.ClaimReply{Status: pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE, LeaderAddr: leader}
}

func (b *claimBatcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b.slots <- struct{}{}:
		}
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			batch := b.collect(first)
			go func() {
				b.propose(ctx, batch)
				<-b.slots
			}()
		}
	}
}

func (b *claimBatcher) collect(first waitingClaim) []waitingClaim {
	batch := []waitingClaim{first}
	size := len(first.request.GetOutcome())
	for len(batch) < claimBatch && size < claimBatchBytes {
		select {
		case w := <-b.queue:
			batch = append(batch, w)
			size += len(w.request.GetOutcome())
			continue
		default:
		}
		break
	}
	return batch
}

func (b *claimBatcher) propose(ctx context.Context, batch []waitingClaim) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c := state.Command{Claims: make([]state.Claim, len(batch))}
	for i, w := range batch {
		c.Claims[i] = toClaim(w.request)
	}
	result, err := b.log.Propose(ctx, c.Encode(time.Now()))
	replies, ok := result.([]*pb.ClaimReply)
	for i, w := range batch {
		switch {
		case err != nil:
			w.answer(failedClaim(err))
		case !ok:
			w.answer(&pb.ClaimReply{Status: pb.ClaimStatus_CLAIM_STATUS_UNKNOWN})
		default:
			w.answer(replies[i])
		}
	}
}

// failedClaim tells a claim that certainly wasn't appended from one that may
// have been.
func failedClaim(err error) *pb.ClaimReply {
	var notLeader *control.NotLeaderError
	if errors.As(err, &notLeader) {
		return unavailable(notLeader.LeaderAddr)
	}
	var notAppended *control.NotAppendedError
	if errors.As(err, &notAppended) {
		return unavailable("")
	}
	return &pb.ClaimReply{Status: pb.ClaimStatus_CLAIM_STATUS_UNKNOWN}
}

func toClaim(q *pb.ClaimRequest) state.Claim {
	return state.Claim{
		Key:         q.GetKey(),
		BodyHash:    q.GetBodyHash(),
		VM:          q.GetVm(),
		Incarnation: q.GetIncarnation(),
		Token:       q.GetToken(),
		Settle:      q.GetSettle(),
		Release:     q.GetRelease(),
		Outcome:     q.GetOutcome(),
	}
}
