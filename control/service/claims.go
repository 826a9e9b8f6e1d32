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
	// maxClaimsPerEntry is the maximum number of claims in one log entry.
	maxClaimsPerEntry = 256
	// maxOutcomeBytesPerEntry is the total size of outcomes at which a log
	// entry takes no further claim.
	maxOutcomeBytesPerEntry = 1 << 20
	// claimQueueSize is the maximum number of claims queued for the log.
	claimQueueSize = 4096
	// maxEntriesInFlight is the maximum number of log entries with claims being
	// proposed at the same time.
	maxEntriesInFlight = 4
	// claimTimeout limits the proposal of one log entry with claims.
	claimTimeout = 2 * time.Second
	// maxKeyBytes is the maximum size of a request key.
	maxKeyBytes = 512
)

// pendingClaim is a claim request and the function that sends its reply.
type pendingClaim struct {
	request *pb.ClaimRequest
	reply   func(*pb.ClaimReply)
}

// respond sends r as the reply to the claim, with the ID of its request.
func (p pendingClaim) respond(r *pb.ClaimReply) {
	out := &pb.ClaimReply{
		Id: p.request.GetId(), Status: r.GetStatus(),
		Outcome: r.GetOutcome(), LeaderAddr: r.GetLeaderAddr(),
	}
	p.reply(out)
}

// Claims implements the Control rpc service.
func (s *Service) Claims(stream pb.DRPCControl_ClaimsStream) error {
	return rpc.ServeBatches(stream.Context(), stream, rpc.ClaimCodec,
		func(_ context.Context, q *pb.ClaimRequest, reply func(*pb.ClaimReply)) {
			s.batcher.add(pendingClaim{q, func(r *pb.ClaimReply) {
				s.metrics.Claimed(r.GetStatus().String())
				reply(r)
			}})
		})
}

// claimBatcher combines claims that are queued at the same time into one log
// entry.
type claimBatcher struct {
	log   control.Log
	queue chan pendingClaim
	slots chan struct{}
}

func newClaimBatcher(log control.Log) *claimBatcher {
	return &claimBatcher{
		log:   log,
		queue: make(chan pendingClaim, claimQueueSize),
		slots: make(chan struct{}, maxEntriesInFlight),
	}
}

// add queues a claim. If this member is not the leader, the key is invalid or
// the queue is full, the claim is refused and nothing is appended.
func (b *claimBatcher) add(p pendingClaim) {
	lead := b.log.Leadership()
	if !lead.Leads || len(p.request.GetKey()) > maxKeyBytes || p.request.GetKey() == "" {
		p.respond(unavailableReply(lead.LeaderAddr))
		return
	}
	select {
	case b.queue <- p:
	default:
		p.respond(unavailableReply(lead.LeaderAddr))
	}
}

func unavailableReply(leader string) *pb.ClaimReply {
	return &pb.ClaimReply{Status: pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE, LeaderAddr: leader}
}

// run proposes batches of queued claims until ctx ends, at most
// maxEntriesInFlight at a time.
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

// collect returns first and the claims queued behind it, up to the limits of
// one log entry.
func (b *claimBatcher) collect(first pendingClaim) []pendingClaim {
	batch := []pendingClaim{first}
	size := len(first.request.GetOutcome())
	for len(batch) < maxClaimsPerEntry && size < maxOutcomeBytesPerEntry {
		select {
		case p := <-b.queue:
			batch = append(batch, p)
			size += len(p.request.GetOutcome())
			continue
		default:
		}
		break
	}
	return batch
}

// propose appends one log entry with the claims of a batch, and replies to each
// of them.
func (b *claimBatcher) propose(ctx context.Context, batch []pendingClaim) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c := state.Command{Claims: make([]state.Claim, len(batch))}
	for i, p := range batch {
		c.Claims[i] = toClaim(p.request)
	}
	result, err := b.log.Propose(ctx, c.Encode(time.Now()))
	replies, ok := result.([]*pb.ClaimReply)
	for i, p := range batch {
		switch {
		case err != nil:
			p.respond(claimErrorReply(err))
		case !ok:
			p.respond(&pb.ClaimReply{Status: pb.ClaimStatus_CLAIM_STATUS_UNKNOWN})
		default:
			p.respond(replies[i])
		}
	}
}

// claimErrorReply returns status UNAVAILABLE if the claim was certainly not
// appended, and UNKNOWN if it may have been.
func claimErrorReply(err error) *pb.ClaimReply {
	var notLeader *control.NotLeaderError
	if errors.As(err, &notLeader) {
		return unavailableReply(notLeader.LeaderAddr)
	}
	var notAppended *control.NotAppendedError
	if errors.As(err, &notAppended) {
		return unavailableReply("")
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
