package rpc

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"storj.io/drpc"
)

const (
	// dialStagger is the delay before the next address is dialed concurrently.
	dialStagger = 60 * time.Millisecond
	// staggeredDialTimeout bounds one of several dials. A VM that is not powered
	// on yet drops the first packet, which the kernel retransmits only after one
	// second; dialing again is faster.
	staggeredDialTimeout = 150 * time.Millisecond
)

// dialFunc opens one connection.
type dialFunc func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

// DialFirst connects to the first of several processes that accepts a connection
// and returns its address. Dials are staggered in the order of addrs, so that the
// first address wins if it is healthy. It fails with a *ConnectionLostError when
// every address has failed, or after DialTimeout.
func DialFirst(ctx context.Context, addrs []netip.AddrPort) (drpc.Conn, netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	c, addr, err := dialStaggered(ctx, addrs, dialTCP)
	if err != nil {
		return nil, addr, &ConnectionLostError{Addr: addr.String(), Cause: err}
	}
	return wrap(c), addr, nil
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: staggeredDialTimeout}
	c, err := d.DialContext(ctx, "tcp", addr.String())
	return c, trace.Wrap(err)
}

// dialResult is the result of one dial.
type dialResult struct {
	conn net.Conn
	addr netip.AddrPort
	err  error
}

// dialStaggered dials addrs with a delay of dialStagger between them, or at once
// after a failure, and returns the first connection that is established. Later
// ones are closed.
func dialStaggered(ctx context.Context, addrs []netip.AddrPort, dial dialFunc) (net.Conn, netip.AddrPort, error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan dialResult)
	started, ended := 0, 0
	defer func() {
		cancel()
		go closeUnused(results, started-ended)
	}()
	next := time.NewTimer(0)
	defer next.Stop()
	last := dialResult{err: &NoAddressError{}}
	for ended < len(addrs) {
		select {
		case <-next.C:
			if started == len(addrs) {
				continue
			}
			addr := addrs[started]
			started++
			go func() {
				c, err := dial(ctx, addr)
				results <- dialResult{conn: c, addr: addr, err: err}
			}()
			next.Reset(dialStagger)
		case r := <-results:
			ended++
			if r.err == nil {
				return r.conn, r.addr, nil
			}
			last = r
			next.Reset(0)
		case <-ctx.Done():
			return nil, last.addr, ctx.Err()
		}
	}
	return nil, last.addr, last.err
}

// closeUnused receives the results of the n remaining dials and closes their
// connections.
func closeUnused(results <-chan dialResult, n int) {
	for range n {
		if r := <-results; r.err == nil {
			_ = r.conn.Close()
		}
	}
}

// NoAddressError reports that DialFirst was called without addresses.
type NoAddressError struct{}

// Error implements error.
func (e *NoAddressError) Error() string { return "no address to connect to" }

// initialPeerRange is the exclusive bound of InitialPeerIndex. It is a multiple of
// every expected number of peers, so that initial peers are spread evenly.
const initialPeerRange = 840

// InitialPeerIndex returns the index of the peer at which the process named self
// starts, modulo the number of peers. Different processes start at different
// peers to spread the load.
func InitialPeerIndex(self string) int { return int(xxhash.Sum64String(self) % initialPeerRange) }

// Rotated returns a copy of addrs that starts at index i modulo len(addrs) and
// wraps around.
func Rotated(addrs []netip.AddrPort, i int) []netip.AddrPort {
	if len(addrs) == 0 {
		return nil
	}
	i %= len(addrs)
	out := make([]netip.AddrPort, 0, len(addrs))
	out = append(out, addrs[i:]...)
	return append(out, addrs[:i]...)
}
