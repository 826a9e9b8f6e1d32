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
	// headStart is how long an address may be dialed before the next one is tried
	// beside it.
	headStart = 60 * time.Millisecond
	// firstDialTimeout bounds one of several dials. A VM that has no power yet drops
	// the first packet, which the kernel repeats only after a second; a new dial is
	// faster.
	firstDialTimeout = 150 * time.Millisecond
)

// dialFunc opens one connection.
type dialFunc func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

// DialFirst connects to whichever of several processes answers first. Each has a
// head start on the next, so that the first is taken if it is well. It gives up
// when every address has failed, or after DialTimeout.
func DialFirst(ctx context.Context, addrs []netip.AddrPort) (drpc.Conn, netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	c, addr, err := first(ctx, addrs, dialTCP)
	if err != nil {
		return nil, addr, &ConnectionLostError{Addr: addr.String(), Cause: err}
	}
	return wrap(c), addr, nil
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: firstDialTimeout}
	c, err := d.DialContext(ctx, "tcp", addr.String())
	return c, trace.Wrap(err)
}

// dialed is how one dial ended.
type dialed struct {
	conn net.Conn
	addr netip.AddrPort
	err  error
}

// first runs the dials and returns the first connection. The others are closed.
func first(ctx context.Context, addrs []netip.AddrPort, dial dialFunc) (net.Conn, netip.AddrPort, error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan dialed)
	started, ended := 0, 0
	defer func() {
		cancel()
		go closeRest(results, started-ended)
	}()
	next := time.NewTimer(0)
	defer next.Stop()
	last := dialed{err: &NoAddressError{}}
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
				results <- dialed{conn: c, addr: addr, err: err}
			}()
			next.Reset(headStart)
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

// closeRest closes the connections of dials that lost.
func closeRest(results <-chan dialed, n int) {
	for range n {
		if r := <-results; r.err == nil {
			_ = r.conn.Close()
		}
	}
}

// NoAddressError says that there was no address to connect to.
type NoAddressError struct{}

// Error describes the failure.
func (e *NoAddressError) Error() string { return "no address to connect to" }

// maxPeers is a multiple of the numbers of peers that there may be, so that first
// peers are spread evenly.
const maxPeers = 840

// InitialPeerIndex returns the number of the peer with which the process of that name
// begins, so that each peer serves its share.
func InitialPeerIndex(self string) int { return int(xxhash.Sum64String(self) % maxPeers) }

// Rotated returns addrs beginning with number i, counted around.
func Rotated(addrs []netip.AddrPort, i int) []netip.AddrPort {
	if len(addrs) == 0 {
		return nil
	}
	i %= len(addrs)
	out := make([]netip.AddrPort, 0, len(addrs))
	out = append(out, addrs[i:]...)
	return append(out, addrs[:i]...)
}
