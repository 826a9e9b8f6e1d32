package entry_test

import (
	"context"
	"sync"

	"github.com/peridotmux/peridotmux/entry"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// memoryClaimer is an in-memory Claimer.
type memoryClaimer struct {
	mu      sync.Mutex
	entries map[string]*memoryClaim
	// status is the status of every claim unless it is zero.
	status pb.ClaimStatus
	// failSettle makes every Settle call fail.
	failSettle bool
	lastHash   uint64
}

type memoryClaim struct {
	hash    uint64
	outcome []byte
}

func (b *memoryClaimer) Claim(_ context.Context, key string, hash uint64) (entry.Claim, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastHash = hash
	if b.status != 0 {
		return entry.Claim{Status: b.status}, nil
	}
	e := b.entries[key]
	switch {
	case e == nil:
		b.entries[key] = &memoryClaim{hash: hash}
		return entry.Claim{Status: pb.ClaimStatus_CLAIM_STATUS_GRANTED}, nil
	case e.hash != hash:
		return entry.Claim{Status: pb.ClaimStatus_CLAIM_STATUS_CONFLICT}, nil
	case e.outcome == nil:
		return entry.Claim{Status: pb.ClaimStatus_CLAIM_STATUS_HELD}, nil
	}
	return entry.Claim{Status: pb.ClaimStatus_CLAIM_STATUS_SETTLED, Outcome: e.outcome}, nil
}

func (b *memoryClaimer) Settle(_ context.Context, key string, _ uint64, outcome []byte) (entry.Claim, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failSettle {
		return entry.Claim{Status: pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE}, nil
	}
	b.entries[key].outcome = outcome
	return entry.Claim{Status: pb.ClaimStatus_CLAIM_STATUS_SETTLED}, nil
}
