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
	// claimRetryPause is the time between two tries.
	claimRetryPause = 20 * time.Millisecond
	// claimTryTimeout bounds one try, so that a member that is cut off or frozen
	// leaves time to ask another.
	claimTryTimeout = 400 * time.Millisecond
	// heldSweep is the number of held claims from which old ones are forgotten.
	heldSweep = 1024
	// heldFor is longer than anybody tries to settle a claim.
	heldFor = time.Minute
)

// ClaimOutcomeUnknownError says that the log may or may not have taken a claim.
type ClaimOutcomeUnknownError struct{}

// Error describes the failure.
func (e *ClaimOutcomeUnknownError) Error() string { return "the claim may or may not be in the log" }

// claims claims and settles request keys at the leader of control.
type claims struct {
	vm          topology.VMName
	incarnation uint64
	members     []netip.AddrPort
	tokens      atomic.Uint64

	mu sync.Mutex
	// leader is the leader's address, invalid while it isn't known.
	leader netip.AddrPort
	// next counts the members asked in turn while no leader is known.
	next  int
	links map[netip.AddrPort]*rpc.ClaimLink
	// held gives the token of each key that is claimed here and not settled.
	held map[string]heldClaim
}

func newClaims(vm topology.VMName, incarnation uint64, members []netip.AddrPort) *claims {
	return &claims{
		vm: vm, incarnation: incarnation, members: members,
		links: make(map[netip.AddrPort]*rpc.ClaimLink),
		held:  make(map[string]heldClaim),
	}
}

// setLeader notes the leader's address as control tells it, empty if unknown.
func (c *claims) setLeader(text string) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		addr = netip.AddrPort{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = addr
}

// Claim claims a key. It tries again until ctx ends, with one token, so that a
// lost reply does no harm. The error is an *ClaimOutcomeUnknownError.
func (c *claims) Claim(ctx context.Context, key string, bodyHash uint64) (entry.Claim, error) {
	token := c.tokens.Add(1)
	claim, err := c.submit(ctx, func() *pb.ClaimRequest { return c.request(key, bodyHash, token) })
	if claim.Status == pb.ClaimStatus_CLAIM_STATUS_GRANTED {
		c.hold(key, token)
	}
	return claim, err
}

// Settle records the outcome of a key that Claim was granted, as Claim does.
func (c *claims) Settle(
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

// hold keeps the token that a key is claimed with until the key is settled.
func (c *claims) hold(key string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if len(c.held) >= heldSweep {
		maps.DeleteFunc(c.held, func(_ string, h heldClaim) bool { return now.Sub(h.since) > heldFor })
	}
	c.held[key] = heldClaim{token: token, since: now}
}

// heldClaim is a key that is claimed here and not settled.
type heldClaim struct {
	token uint64
	since time.Time
}

func (c *claims) heldToken(key string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held[key].token
}

func (c *claims) drop(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, key)
}

func (c *claims) request(key string, bodyHash, token uint64) *pb.ClaimRequest {
	return &pb.ClaimRequest{
		Key: key, BodyHash: bodyHash, Vm: string(c.vm), Incarnation: c.incarnation, Token: token,
	}
}

// submit asks until a member gives an outcome or ctx ends. A request may be
// sent again, since its token makes the second one harmless.
func (c *claims) submit(ctx context.Context, build func() *pb.ClaimRequest) (entry.Claim, error) {
	appended := false
	for {
		reply, err := c.try(ctx, build())
		switch {
		case err != nil:
			appended = appended || mayBeSent(err)
		case reply.GetStatus() == pb.ClaimStatus_CLAIM_STATUS_UNKNOWN:
			appended = true
		case reply.GetStatus() != pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE:
			return entry.Claim{Status: reply.GetStatus(), Outcome: reply.GetOutcome()}, nil
		}
		select {
		case <-time.After(claimRetryPause):
		case <-ctx.Done():
			return unsettled(appended)
		}
	}
}

func unsettled(appended bool) (entry.Claim, error) {
	if appended {
		return entry.Claim{Status: pb.ClaimStatus_CLAIM_STATUS_UNKNOWN}, &ClaimOutcomeUnknownError{}
	}
	return entry.Claim{Status: pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE}, nil
}

// try asks once and notes where the leader is.
func (c *claims) try(ctx context.Context, q *pb.ClaimRequest) (*pb.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTryTimeout)
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

// mayBeSent reports whether a failed call may have reached the member.
func mayBeSent(err error) bool {
	var backoff *rpc.BackoffError
	if errors.As(err, &backoff) {
		return false
	}
	var lost *rpc.ConnectionLostError
	return !errors.As(err, &lost) || lost.Sent
}

// link returns the link to the leader, or to the next member in turn while no
// leader is known.
func (c *claims) link() *rpc.ClaimLink {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := c.leader
	if !addr.IsValid() {
		addr = c.members[c.next%len(c.members)]
		c.next++
	}
	l, ok := c.links[addr]
	if !ok {
		l = rpc.NewClaimLink(addr)
		c.links[addr] = l
	}
	return l
}

// close ends all connections.
func (c *claims) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.Close()
	}
}
