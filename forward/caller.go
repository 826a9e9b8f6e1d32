package forward

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/peridotmux/peridotmux/clientlimit"
)

const (
	// defaultRTT is the assumed round trip time to a caller if the kernel doesn't
	// report one.
	defaultRTT = 6 * time.Millisecond
	// responseOverhead is the time that writing a response and passing it through
	// both machines takes in addition to the network's round trip.
	responseOverhead = 4 * time.Millisecond
)

// subrequestBytes is the approximate size of one request to a target on the
// network.
const subrequestBytes = 400

// fanOutTime returns how long the requests to all shards occupy the VM's link. A
// response may be delayed by that time behind another request's fan-out.
func fanOutTime(shards int, linkBitsPerSecond float64) time.Duration {
	if linkBitsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(shards*subrequestBytes*8) / linkBitsPerSecond * float64(time.Second))
}

// callerKey is the context key for the *caller of a connection.
type callerKey struct{}

// caller is the peer of one connection.
type caller struct {
	// rtt is the round trip time to the caller.
	rtt time.Duration
	// requests counts the requests on the connection.
	requests atomic.Uint64
}

// ConnContext is an http.Server's ConnContext: it measures the round trip time to
// the caller.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if limited, ok := c.(*limitedConn); ok {
		c = limited.Conn
	}
	ctx = clientlimit.ConnContext(ctx, c)
	if accounted, ok := c.(*clientlimit.Conn); ok {
		c = accounted.Conn
	}
	return context.WithValue(ctx, callerKey{}, &caller{rtt: connRTT(c)})
}

// connRTT returns the kernel's estimate of a connection's round trip time, or
// defaultRTT if there is none.
func connRTT(c net.Conn) time.Duration {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return defaultRTT
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return defaultRTT
	}
	rtt := time.Duration(0)
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			rtt = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil || rtt <= 0 {
		return defaultRTT
	}
	return rtt
}

// networkAllowance returns the part of a request's time that the network takes: one
// round trip for the request and the response, and another one to connect for the
// first request of a connection.
func networkAllowance(ctx context.Context) time.Duration {
	c, ok := ctx.Value(callerKey{}).(*caller)
	if !ok {
		return 2*defaultRTT + responseOverhead
	}
	if c.requests.Add(1) == 1 {
		return 2*c.rtt + responseOverhead
	}
	return c.rtt + responseOverhead
}
