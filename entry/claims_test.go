package entry_test

import (
	"context"
	"sync"

	"github.com/peridotmux/peridotmux/entry"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// claimBook is a claimer in memory.
type claimBook struct {
	mu      sync.Mutex
	entries map[string]*claimEntry
	// status overrides the answers to claims if it isn't zero.
	status pb.ClaimStatus
	// failSettle makes each settling fail.
	failSettle bool
	lastHash   uint64
}

type claimEntry struct {
	hash    uint64
	outcome []byte
}

func (b *claimBook) Claim(_ context.Context, key string, hash uint64) (entry.Claim, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastHash = hash
	if b.status != 0 {
		return entry.Claim{Status: b.status}, nil
	}
	e := b.entries[key]
	switch {
	case e == nil:
		b.entries[key] = &claimEntry{hash: hash}
		return entry.Claim{Status: pb.ClaimStatus_CLAIM_STATUS_GRANTED}, nil
	case e.hash != hash:
		return entry.Claim{Status: pb.ClaimStatus_CLAIM_STATUS_CONFLICT}, nil
	case e.outcome == nil:
		return entry.Claim{Status: pb.ClaimStatus_CLAIM_STATUS_HELD}, nil
	}
	return entry.Claim{Status: pb.ClaimStatus_CLAIM_STATUS_SETTLED, Outcome: e.outcome}, nil
}

func (b *claimBook) Settle(_ context.Context, key string, _ uint64, outcome []byte) (entry.Claim, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failSettle {
		return entry.Claim{Status: pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE}, nil
	}
	b.entries[key].outcome = outcome
	return entry.Claim{Status: pb.ClaimStatus_CLAIM_STATUS_SETTLED}, nil
}
