package quota

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/internal/wait"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/telemetry"
)

const (
	// minReportInterval is the time between two reports of a gateway if there are few,
	// and reportSpacing that between two reports of all gateways if there are many.
	minReportInterval = 200 * time.Millisecond
	reportSpacing     = time.Millisecond
	// minUrgentGap is the time between two reports while requests wait, if there are few
	// gateways, and urgentSpacing the part of it for each gateway.
	minUrgentGap  = 2 * time.Millisecond
	urgentSpacing = 50 * time.Microsecond
	// minRedialDelay is the time between two attempts to find the holder, and
	// neededInterval that between two looks whether quotas are needed.
	minRedialDelay = 100 * time.Millisecond
	neededInterval = 100 * time.Millisecond
	// silentTime is how long a holder that didn't answer is not asked again, although
	// other members still name it as the leader.
	silentTime = time.Second
	// holderTimeout is how long a holder may leave a report without an answer. The first
	// report has firstTimeout, since a dead leader is still named for a while.
	holderTimeout = 400 * time.Millisecond
	firstTimeout  = 300 * time.Millisecond
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Gateway names this gateway in logs.
	Gateway string
	// Members returns the rpc addresses of control's members.
	Members func() []netip.AddrPort
	// Gateways returns the number of gateways.
	Gateways func() int
	// Needed reports whether the configuration has workspaces with limits.
	Needed func() bool
	// Random returns a random number in [0, 1).
	Random func() float64
	Log    *slog.Logger
	// Metrics may be the zero value.
	Metrics telemetry.Quota
	// Standby means that the client is a member's, which keeps credits for gateways.
	Standby bool
}

// Client decides at a gateway which requests are within their workspaces' quotas. It is
// safe for concurrent use.
type Client struct {
	cfg   ClientConfig
	clock func() Instant
	// urgent wakes the sender of reports.
	urgent chan struct{}
	// standbys are control's members that lend credits.
	standbys *lender

	// mu guards the fields below.
	mu      sync.Mutex
	account *Account
	// answered is when the holder last answered, 0 before its first answer.
	answered Instant
	// holderAddr is the address of the holder that answered last.
	holderAddr netip.AddrPort
	// hint is the leader's address that a member named.
	hint netip.AddrPort
	// silent is the address of a holder that didn't answer before silentAt.
	silent   netip.AddrPort
	silentAt Instant
	// reached is whether a holder ever answered.
	reached bool
}

// NewClient returns a client without credits. Run must be running while it decides.
func NewClient(c ClientConfig) *Client {
	return &Client{
		cfg: c, clock: bootTime, urgent: make(chan struct{}, 1), account: NewAccount(c.Gateway),
		standbys: newLender(c.Members, rpc.InitialPeerIndex(c.Gateway)),
	}
}

// Ready reports whether requests can be decided: quotas aren't needed, or a holder has
// answered since the process started.
func (c *Client) Ready() bool {
	c.mu.Lock()
	reached := c.reached
	c.mu.Unlock()
	return reached || !c.cfg.Needed()
}

func (c *Client) reportSoon() {
	select {
	case c.urgent <- struct{}{}:
	default:
	}
}

// Run exchanges reports with the holder until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var depositing sync.WaitGroup
	defer c.standbys.close()
	defer depositing.Wait()
	for i := rpc.InitialPeerIndex(c.cfg.Gateway); ctx.Err() == nil; i++ {
		if !c.cfg.Needed() {
			wait.For(ctx, neededInterval)
			continue
		}
		addr, err := c.session(ctx, c.candidates(i))
		if ctx.Err() != nil {
			return
		}
		depositing.Go(c.deposit)
		answered := c.noteFailure(addr, err)
		level := slog.LevelDebug
		if answered {
			level = slog.LevelWarn
		}
		c.cfg.Log.Log(ctx, level, "quota holder lost", "addr", addr.String(), "error", err)
		wait.For(ctx, max(minRedialDelay, time.Duration(c.cfg.Gateways())*reportSpacing))
	}
}

// noteFailure records a member that didn't answer. It reports whether the member had
// answered in this session.
func (c *Client) noteFailure(addr netip.AddrPort, err error) (answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var silent *SilentHolderError
	if errors.As(err, &silent) {
		c.silent, c.silentAt = addr, c.clock()
	}
	return c.answered > 0
}

// candidates returns the leader that a member named, or else the members in turn. It
// leaves out a member that didn't answer lately, unless there is no other.
func (c *Client) candidates(i int) []netip.AddrPort {
	c.mu.Lock()
	hint, silent := c.hint, c.silent
	if c.clock()-c.silentAt > silentTime {
		silent = netip.AddrPort{}
	}
	c.hint = netip.AddrPort{}
	c.mu.Unlock()
	if hint.IsValid() && hint != silent {
		return []netip.AddrPort{hint}
	}
	members := rpc.Rotated(c.cfg.Members(), i)
	if others := slices.DeleteFunc(slices.Clone(members), func(a netip.AddrPort) bool { return a == silent }); len(others) > 0 {
		return others
	}
	return members
}

// NotHolderError means that a member isn't the holder. Leader is the address that it
// named, if any.
type NotHolderError struct{ Leader string }

// Error describes the failure.
func (e *NotHolderError) Error() string {
	return "not the holder of quotas; leader " + strconv.Quote(e.Leader)
}

// SilentHolderError means that a holder left a report unanswered.
type SilentHolderError struct{ After time.Duration }

// Error describes the failure.
func (e *SilentHolderError) Error() string { return "no answer for " + e.After.String() }

// session exchanges reports with the first member that can be reached.
func (c *Client) session(ctx context.Context, members []netip.AddrPort) (netip.AddrPort, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.mu.Lock()
	c.answered = 0
	c.mu.Unlock()
	conn, addr, err := rpc.DialFirst(ctx, members)
	if err != nil {
		return addr, err
	}
	defer func() { _ = conn.Close() }()
	stream, err := pb.NewDRPCQuotasClient(conn).Exchange(ctx)
	if err != nil {
		return addr, &rpc.ConnectionLostError{Addr: addr.String(), Cause: err}
	}
	c.mu.Lock()
	c.account.Opened(c.clock())
	c.mu.Unlock()
	received := make(chan struct{})
	defer func() {
		cancel(nil)
		_ = conn.Close()
		<-received
		c.mu.Lock()
		c.account.Lost(c.clock())
		c.mu.Unlock()
	}()
	go func() {
		defer close(received)
		cancel(c.receive(stream, addr))
	}()
	return addr, c.send(ctx, stream, addr)
}

// receive applies the holder's answers until the stream ends.
func (c *Client) receive(stream pb.DRPCQuotas_ExchangeClient, addr netip.AddrPort) error {
	for {
		r, err := stream.Recv()
		if err != nil {
			return &rpc.ConnectionLostError{Addr: addr.String(), Cause: err}
		}
		if !r.GetHolds() {
			c.mu.Lock()
			if leader, err := netip.ParseAddrPort(r.GetLeaderAddr()); err == nil && leader != addr {
				c.hint = leader
			}
			c.mu.Unlock()
			return &NotHolderError{Leader: r.GetLeaderAddr()}
		}
		c.mu.Lock()
		now := c.clock()
		first := c.answered == 0
		c.account.Apply(r, now)
		c.answered, c.holderAddr, c.reached = now, addr, true
		c.mu.Unlock()
		if first {
			c.cfg.Log.Info("quota holder found", "addr", addr.String())
		}
	}
}

// send sends reports at intervals, or soon if requests wait, until ctx ends or the
// holder doesn't answer.
func (c *Client) send(ctx context.Context, stream pb.DRPCQuotas_ExchangeClient, addr netip.AddrPort) error {
	opened := c.clock()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		c.mu.Lock()
		now, heard, limit := c.clock(), c.answered, holderTimeout
		if heard == 0 {
			heard, limit = opened, firstTimeout
		}
		unanswered := c.account.Unanswered() > 0
		q := c.account.Report(now)
		c.mu.Unlock()
		q.Standby = c.cfg.Standby
		if silent := now - heard; unanswered && silent > limit {
			return &SilentHolderError{After: silent}
		}
		if err := stream.Send(q); err != nil {
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			return &rpc.ConnectionLostError{Addr: addr.String(), Cause: err}
		}
		gateways := time.Duration(c.cfg.Gateways())
		gap := max(minUrgentGap, gateways*urgentSpacing)
		wait.For(ctx, gap)
		timer.Reset(max(minReportInterval, gateways*reportSpacing) - gap)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-c.urgent:
		case <-timer.C:
		}
	}
}

// Status returns a line about the exchange for operators.
func (c *Client) Status() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	held, waiting := 0, 0
	for _, w := range c.account.accounts {
		leftover, current := c.account.usable(w, now)
		held, waiting = held+leftover+current, waiting+len(w.waiters)
	}
	until := max(c.account.validUntil, c.account.leftoverUntil) - now
	return fmt.Sprintf("quotas: holder answered %v, credits %d in stock of %d workspaces, valid for %v, requests waiting %d",
		c.answered > 0, held, len(c.account.accounts), max(until, 0).Round(time.Millisecond), waiting)
}
