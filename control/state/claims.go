package state

import (
	"time"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

// claim is the state of one request key.
type claim struct {
	Key         string `json:"k"`
	BodyHash    uint64 `json:"h"`
	VM          string `json:"vm"`
	Incarnation uint64 `json:"inc"`
	Token       uint64 `json:"a,omitempty"`
	AtUnixMS    int64  `json:"at"`
	Settled     bool   `json:"s,omitempty"`
	// Outcome is nil once it was dropped to stay within Limits.OutcomeBytes.
	Outcome []byte `json:"o,omitempty"`
	Dropped bool   `json:"d,omitempty"`
	// Released marks a claim that was released but is still listed in
	// claimStore.ordered.
	Released bool `json:"-"`
}

// heldBy reports whether the claim was made by the same router process with the
// same token as q.
func (c *claim) heldBy(q *Claim) bool {
	return c.VM == q.VM && c.Incarnation == q.Incarnation && c.Token == q.Token
}

// claimStore holds the claims by key and in the order they were made.
type claimStore struct {
	limits  Limits
	byKey   map[string]*claim
	ordered []*claim
	// settled lists the claims that have an outcome, oldest first.
	settled []*claim
	// outcomeBytes is the total size of the outcomes held.
	outcomeBytes int
}

func newClaimStore(limits Limits) *claimStore {
	return &claimStore{limits: limits, byKey: make(map[string]*claim)}
}

// applyClaims applies the claims of one entry in order and returns one reply
// for each.
func (s *State) applyClaims(claims []Claim) []*pb.ClaimReply {
	replies := make([]*pb.ClaimReply, len(claims))
	for i := range claims {
		replies[i] = s.claims.apply(&claims[i], s.nowMS)
	}
	return replies
}

// apply runs one claim operation. A claim repeated by its holder is granted
// again only if it carries a token.
func (s *claimStore) apply(q *Claim, nowMS int64) *pb.ClaimReply {
	c, ok := s.byKey[q.Key]
	switch {
	case q.Release:
		return s.release(c, q)
	case q.Settle:
		return s.settle(c, q)
	case !ok:
		return s.grant(q, nowMS)
	case c.BodyHash != q.BodyHash:
		return reply(pb.ClaimStatus_CLAIM_STATUS_CONFLICT)
	case c.Settled && !c.Dropped:
		return &pb.ClaimReply{Status: pb.ClaimStatus_CLAIM_STATUS_SETTLED, Outcome: c.Outcome}
	case !c.Settled && c.heldBy(q) && q.Token != 0:
		return reply(pb.ClaimStatus_CLAIM_STATUS_GRANTED)
	default:
		return reply(pb.ClaimStatus_CLAIM_STATUS_HELD)
	}
}

func reply(status pb.ClaimStatus) *pb.ClaimReply { return &pb.ClaimReply{Status: status} }

// grant creates a claim, or returns status UNAVAILABLE if there is no room.
func (s *claimStore) grant(q *Claim, nowMS int64) *pb.ClaimReply {
	if !s.makeRoom(nowMS) {
		return reply(pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE)
	}
	c := &claim{
		Key: q.Key, BodyHash: q.BodyHash, VM: q.VM,
		Incarnation: q.Incarnation, Token: q.Token, AtUnixMS: nowMS,
	}
	s.byKey[q.Key] = c
	s.ordered = append(s.ordered, c)
	return reply(pb.ClaimStatus_CLAIM_STATUS_GRANTED)
}

// makeRoom evicts the oldest keys while the store is full, but none younger
// than Limits.MinKeyAge. It reports whether there is room for one more key.
func (s *claimStore) makeRoom(nowMS int64) bool {
	for len(s.ordered) > 0 {
		oldest := s.ordered[0]
		age := time.Duration(nowMS-oldest.AtUnixMS) * time.Millisecond
		full := len(s.byKey) >= s.limits.Keys
		if !oldest.Released && (!full || age < s.limits.MinKeyAge) {
			break
		}
		s.ordered = s.ordered[1:]
		s.evict(oldest)
	}
	return len(s.byKey) < s.limits.Keys
}

// evict removes a claim and its outcome.
func (s *claimStore) evict(c *claim) {
	if c.Released {
		return
	}
	delete(s.byKey, c.Key)
	s.dropOutcome(c)
}

// dropOutcome frees a claim's outcome. A settled claim is marked as Dropped, so
// that its outcome counts as unknown.
func (s *claimStore) dropOutcome(c *claim) {
	s.outcomeBytes -= len(c.Outcome)
	c.Outcome = nil
	c.Dropped = c.Settled
}

// settle records the outcome of a claimed key. Settling again returns the first
// outcome.
func (s *claimStore) settle(c *claim, q *Claim) *pb.ClaimReply {
	switch {
	case c == nil || c.BodyHash != q.BodyHash || !c.heldBy(q):
		return reply(pb.ClaimStatus_CLAIM_STATUS_CONFLICT)
	case c.Settled && c.Dropped:
		return reply(pb.ClaimStatus_CLAIM_STATUS_HELD)
	case !c.Settled:
		c.Settled = true
		c.Outcome = q.Outcome
		s.outcomeBytes += len(q.Outcome)
		s.settled = append(s.settled, c)
		s.trimOutcomes()
	}
	return &pb.ClaimReply{Status: pb.ClaimStatus_CLAIM_STATUS_SETTLED, Outcome: c.Outcome}
}

// trimOutcomes drops the oldest outcomes until the rest fit into
// Limits.OutcomeBytes. A resend whose outcome was dropped gets status HELD: it
// must not run again, and its outcome is unknown.
func (s *claimStore) trimOutcomes() {
	for len(s.settled) > 0 && (s.outcomeBytes > s.limits.OutcomeBytes || s.settled[0].Dropped) {
		s.dropOutcome(s.settled[0])
		s.settled = s.settled[1:]
	}
}

// release frees a key whose request certainly did not run.
func (s *claimStore) release(c *claim, q *Claim) *pb.ClaimReply {
	if c == nil {
		return reply(pb.ClaimStatus_CLAIM_STATUS_GRANTED)
	}
	if c.Settled || c.BodyHash != q.BodyHash || !c.heldBy(q) {
		return reply(pb.ClaimStatus_CLAIM_STATUS_CONFLICT)
	}
	delete(s.byKey, c.Key)
	c.Released = true
	return reply(pb.ClaimStatus_CLAIM_STATUS_GRANTED)
}
