package router

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/entry"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// claimRetryDelay is the delay between two attempts.
	claimRetryDelay = 20 * time.Millisecond
	// claimAttemptTimeout bounds one attempt, so that time remains to call another
	// member if one is partitioned or hangs.
	claimAttemptTimeout = 400 * time.Millisecond
	// heldSweepThreshold is the number of held claims at which expired ones are
	// evicted.
	heldSweepThreshold = 1024
	// heldRetention is how long a held claim is kept at least. It exceeds the time for
	// which settling a claim is retried.
	heldRetention = time.Minute
)

// ClaimOutcomeUnknownError reports that a claim may or may not be committed.
type ClaimOutcomeUnknownError struct{}

// Error implements error.
func (e *ClaimOutcomeUnknownError) Error() string {
	return "claim outcome unknown: it may or may not be committed"
}

// claimClient claims and settles request keys at the control leader. It is safe for
// concurrent use.
type claimClient struct {
	vm          topology.VMName
	incarnation uint64
	members     []netip.AddrPort
	tokens      atomic.Uint64

	mu sync.Mutex
	// leader is the leader's address, invalid while it is unknown.
	leader netip.AddrPort
	// nextMember is the round-robin counter over members, used while the leader is
	// unknown.
	nextMember int
	links      map[netip.AddrPort]*rpc.ClaimLink
	// held holds the claims granted here that are not settled yet, by key.
	held map[string]heldClaim
}

func newClaimClient(vm topology.VMName, incarnation uint64, members []netip.AddrPort) *claimClient {
	return &claimClient{
		vm: vm, incarnation: incarnation, members: members,
		links: make(map[netip.AddrPort]*rpc.ClaimLink),
		held:  make(map[string]heldClaim),
	}
}

// setLeader sets the leader's address. An empty or malformed address means that
// the leader is unknown.
func (c *claimClient) setLeader(text string) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		addr = netip.AddrPort{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = addr
}

// Claim claims a key. It retries until ctx is done with the same token, so that
// a request whose reply was lost is idempotent. The error is a
// *ClaimOutcomeUnknownError.
func (c *claimClient) Claim(ctx context.Context, key string, bodyHash uint64) (entry.Claim, error) {
	token := c.tokens.Add(1)
	claim, err := c.submit(ctx, func() *pb.ClaimRequest { return c.request(key, bodyHash, token) })
	if claim.Status == pb.ClaimStatus_CLAIM_STATUS_GRANTED {
		c.hold(key, token)
	}
	return claim, err
}

// Settle records the outcome of a key that Claim was granted. Retries and errors
// are those of Claim.
func (c *claimClient) Settle(
	ctx context.Context, key string, bodyHash uint64, outcome []byte,
) (entry.Claim, error) {
	token := c.heldToken(key)
	claim, err := c.submit(ctx, func() *pb.ClaimRequest {
		q := c.request(key, bodyHash, token)
		q.Settle = true
		q.Outcome = outcome
		return q
	})
	if claim.Status == pb.ClaimStatus_CLAIM_STATUS_SETTLED {
		c.drop(key)
	}
	return claim, err
}

// hold stores the token of a granted claim for its Settle.
func (c *claimClient) hold(key string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if len(c.held) >= heldSweepThreshold {
		maps.DeleteFunc(c.held, func(_ string, h heldClaim) bool { return now.Sub(h.since) > heldRetention })
	}
	c.held[key] = heldClaim{token: token, since: now}
}

// heldClaim is a claim that was granted to this router and is not settled yet.
type heldClaim struct {
	token uint64
	// since is when the claim was granted.
	since time.Time
}

// heldToken returns the token of a held claim, 0 if the claim is not held.
func (c *claimClient) heldToken(key string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held[key].token
}

func (c *claimClient) drop(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, key)
}

func (c *claimClient) request(key string, bodyHash, token uint64) *pb.ClaimRequest {
	return &pb.ClaimRequest{
		Key: key, BodyHash: bodyHash, Vm: string(c.vm), Incarnation: c.incarnation, Token: token,
	}
}

// submit sends the request until a member returns an outcome or ctx is done.
// Resending is safe because the token makes the request idempotent.
func (c *claimClient) submit(ctx context.Context, build func() *pb.ClaimRequest) (entry.Claim, error) {
	maybeAppended := false
	for {
		reply, err := c.attempt(ctx, build())
		switch {
		case err != nil:
			maybeAppended = maybeAppended || mayHaveBeenSent(err)
		case reply.GetStatus() == pb.ClaimStatus_CLAIM_STATUS_UNKNOWN:
			maybeAppended = true
		case reply.GetStatus() != pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE:
			return entry.Claim{Status: reply.GetStatus(), Outcome: reply.GetOutcome()}, nil
		}
		select {
		case <-time.After(claimRetryDelay):
		case <-ctx.Done():
			return withoutOutcome(maybeAppended)
		}
	}
}

// withoutOutcome returns the result of a claim without an outcome: unknown if the
// request may have been appended to the log, unavailable otherwise.
func withoutOutcome(maybeAppended bool) (entry.Claim, error) {
	if maybeAppended {
		return entry.Claim{Status: pb.ClaimStatus_CLAIM_STATUS_UNKNOWN}, &ClaimOutcomeUnknownError{}
	}
	return entry.Claim{Status: pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE}, nil
}

// attempt sends the request once and updates the leader's address from the result.
func (c *claimClient) attempt(ctx context.Context, q *pb.ClaimRequest) (*pb.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimAttemptTimeout)
	defer cancel()
	reply, err := c.link().Call(ctx, q, nil)
	switch {
	case err != nil:
		c.setLeader("")
	case reply.GetStatus() == pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE:
		c.setLeader(reply.GetLeaderAddr())
	}
	return reply, err
}

// mayHaveBeenSent reports whether a failed call may have reached the member.
func mayHaveBeenSent(err error) bool {
	var backoff *rpc.BackoffError
	if errors.As(err, &backoff) {
		return false
	}
	var lost *rpc.ConnectionLostError
	return !errors.As(err, &lost) || lost.Sent
}

// link returns the link to the leader, or to the next member while the leader is
// unknown.
func (c *claimClient) link() *rpc.ClaimLink {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := c.leader
	if !addr.IsValid() {
		addr = c.members[c.nextMember%len(c.members)]
		c.nextMember++
	}
	l, ok := c.links[addr]
	if !ok {
		l = rpc.NewClaimLink(addr)
		c.links[addr] = l
	}
	return l
}

// close closes all connections.
func (c *claimClient) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.Close()
	}
}
