package quota

import (
	"context"
	"net/netip"
	"time"

	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/workspace"
)

const (
	// maxWait is how long a request waits for a credit at most.
	maxWait = 150 * time.Millisecond
	// maxWaiting is the number of requests of a workspace that may wait.
	maxWaiting = 256
	// noHolderRetry is the time over which retries are spread if no credits can be had.
	noHolderRetry = 200 * time.Millisecond
)

// Admit decides on one request of a workspace with a limit. Without a credit, it asks the
// holder for one, then the standbys, and waits, no longer than until the deadline of ctx.
// Credits expire by a clock that counts the time during which the VM is suspended, unlike
// now.
func (c *Client) Admit(ctx context.Context, w *workspace.Workspace, now time.Time) Decision {
	c.mu.Lock()
	at := c.clock()
	o := c.account.Take(w.Name, at)
	switch {
	case o.Admitted:
		c.mu.Unlock()
		if o.Low {
			c.reportSoon()
		}
		return Decision{Admitted: true}
	case o.Refused && c.account.Dry(w.Name, at):
		c.mu.Unlock()
		return c.exhausted(o.After, o.Short)
	case o.Refused:
		c.mu.Unlock()
		return c.await(ctx, w.Name, refused(o.Short), 0, now)
	case c.account.Waiting(w.Name) >= maxWaiting:
		c.mu.Unlock()
		return c.noHolder()
	}
	x, late := c.account.Wait(w.Name), c.account.LateAt(at)-at
	c.mu.Unlock()
	c.reportSoon()
	return c.await(ctx, w.Name, x, late, now)
}

// await waits until a waiting request is decided, and records the outcome.
func (c *Client) await(ctx context.Context, name workspace.Name, x *Waiter, late time.Duration, now time.Time) Decision {
	left := maxWait
	if deadline, ok := ctx.Deadline(); ok {
		left = min(left, deadline.Sub(now))
	}
	// The deadline of ctx may come without a timer.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer time.AfterFunc(left, cancel).Stop()
	d := c.decide(ctx, name, x, late)
	c.cfg.Metrics.Waited(d.Admitted, string(d.Reason))
	return d
}

// decide waits for the holder, and asks the standbys if it refuses or is late.
func (c *Client) decide(ctx context.Context, name workspace.Name, x *Waiter, late time.Duration) Decision {
	timer := time.NewTimer(late)
	defer timer.Stop()
	var lent chan Instant
	for done, asked := x.Done, false; ; {
		select {
		case <-done:
			if x.Admitted || asked && lent == nil {
				return c.outcome(x)
			}
			// The standbys may have credits although the holder has none.
			done = nil
			if !asked {
				lent, asked = c.borrow(ctx, name), true
			}
		case <-timer.C:
			if !asked {
				lent, asked = c.borrow(ctx, name), true
			}
		case until := <-lent:
			if c.clock() < until {
				c.withdraw(name, x)
				return Decision{Admitted: true}
			}
			if done == nil {
				return c.outcome(x)
			}
			lent = nil
		case <-ctx.Done():
			if c.withdraw(name, x) {
				return c.noHolder()
			}
			return c.outcome(x)
		}
	}
}

// borrow asks the standbys for a credit, and returns until when it may be spent, 0 if none
// lent one. If the request is decided before, the credit is lost.
func (c *Client) borrow(ctx context.Context, name workspace.Name) chan Instant {
	lent := make(chan Instant, 1)
	go func() {
		until, all := c.standbys.borrow(ctx, name, c.holder(), c.clock)
		if all {
			c.mu.Lock()
			c.account.SetDry(name, c.clock()+dryTime)
			c.mu.Unlock()
		}
		lent <- until
	}()
	return lent
}

// holder returns the address of the holder that answered last in the last session, if any.
func (c *Client) holder() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered == 0 {
		return netip.AddrPort{}
	}
	return c.holderAddr
}

// withdraw removes a waiting request, and reports whether it still waited.
func (c *Client) withdraw(name workspace.Name, x *Waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.account.Withdraw(name, x)
}

// outcome returns the holder's decision on a request that no longer waits.
func (c *Client) outcome(x *Waiter) Decision {
	if x.Admitted {
		return Decision{Admitted: true}
	}
	return c.exhausted(x.Short, x.Short)
}

// exhausted refuses a request of a workspace whose quota becomes available again after
// the given time. Retries are spread over some time from then on.
func (c *Client) exhausted(after, spread time.Duration) Decision {
	after += time.Duration(c.cfg.Random() * float64(spread))
	return Decision{Reason: ReasonExhausted, RetryAfter: max(after, minRetryAfter)}
}

func (c *Client) noHolder() Decision {
	after := minRetryAfter + time.Duration(c.cfg.Random()*float64(noHolderRetry))
	return Decision{Reason: ReasonNoHolder, RetryAfter: after}
}

// deposit gives the credits of the last session that this gateway hardly needs to a
// standby, of which all gateways may borrow.
func (c *Client) deposit() {
	c.mu.Lock()
	left := c.account.leftoverUntil - c.clock()
	c.mu.Unlock()
	if c.cfg.Standby || left <= lendLife {
		return
	}
	c.standbys.deposit(c.holder(), c.clock, func(now Instant) ([]*pb.QuotaUse, Instant) {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.account.Surplus(now)
	})
}
