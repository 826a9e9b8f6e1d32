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
	// Outcome is dropped when the outcomes take too much room.
	Outcome []byte `json:"o,omitempty"`
	Dropped bool   `json:"d,omitempty"`
	// Released marks an entry of the order whose key was given up.
	Released bool `json:"-"`
}

func (c *claim) heldBy(q *Claim) bool {
	return c.VM == q.VM && c.Incarnation == q.Incarnation && c.Token == q.Token
}

// claimStore keeps the claims in the order in which they were made.
type claimStore struct {
	limits  Limits
	byKey   map[string]*claim
	ordered []*claim
	// settled lists claims with an outcome, oldest first.
	settled []*claim
	bytes   int
}

func newClaimStore(limits Limits) *claimStore {
	return &claimStore{limits: limits, byKey: make(map[string]*claim)}
}

func (s *State) applyClaims(claims []Claim) []*pb.ClaimReply {
	replies := make([]*pb.ClaimReply, len(claims))
	for i := range claims {
		replies[i] = s.claims.apply(&claims[i], s.nowMS)
	}
	return replies
}

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

// makeRoom forgets the oldest keys beyond the limit, but none younger than
// KeyAge. It reports whether there is room for one more.
func (s *claimStore) makeRoom(nowMS int64) bool {
	for len(s.ordered) > 0 {
		oldest := s.ordered[0]
		age := time.Duration(nowMS-oldest.AtUnixMS) * time.Millisecond
		full := len(s.byKey) >= s.limits.Keys
		if !oldest.Released && (!full || age < s.limits.MinKeyAge) {
			break
		}
		s.ordered = s.ordered[1:]
		s.forget(oldest)
	}
	return len(s.byKey) < s.limits.Keys
}

func (s *claimStore) forget(c *claim) {
	if c.Released {
		return
	}
	delete(s.byKey, c.Key)
	s.dropOutcome(c)
}

func (s *claimStore) dropOutcome(c *claim) {
	s.bytes -= len(c.Outcome)
	c.Outcome = nil
	c.Dropped = c.Settled
}

func (s *claimStore) settle(c *claim, q *Claim) *pb.ClaimReply {
	switch {
	case c == nil || c.BodyHash != q.BodyHash || !c.heldBy(q):
		return reply(pb.ClaimStatus_CLAIM_STATUS_CONFLICT)
	case c.Settled && c.Dropped:
		return reply(pb.ClaimStatus_CLAIM_STATUS_HELD)
	case !c.Settled:
		c.Settled = true
		c.Outcome = q.Outcome
		s.bytes += len(q.Outcome)
		s.settled = append(s.settled, c)
		s.trimOutcomes()
	}
	return &pb.ClaimReply{Status: pb.ClaimStatus_CLAIM_STATUS_SETTLED, Outcome: c.Outcome}
}

// trimOutcomes drops the oldest outcomes above the limit. A resend is told that
// the outcome is unknown, since it may no longer be given.
func (s *claimStore) trimOutcomes() {
	for len(s.settled) > 0 && (s.bytes > s.limits.OutcomeBytes || s.settled[0].Dropped) {
		s.dropOutcome(s.settled[0])
		s.settled = s.settled[1:]
	}
}

// release gives up a key whose request certainly didn't run.
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
