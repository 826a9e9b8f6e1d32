package forward

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unknownDistance is taken as a caller's round trip time if the kernel
	// doesn't tell it.
	unknownDistance = 6 * time.Millisecond
	// answerTime is what writing an answer and its way through both machines take
	// besides the network's round trip.
	answerTime = 4 * time.Millisecond
)

// callBytes is about what one call to a target takes on the network.
const callBytes = 400

// burstTime returns how long the calls of one request to all shards occupy the
// VM's link. An answer may wait that long behind another request's calls.
func burstTime(shards int, linkBitsPerSecond float64) time.Duration {
	if linkBitsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(shards*callBytes*8) / linkBitsPerSecond * float64(time.Second))
}

// callerKey finds a connection's caller in a request's context.
type callerKey struct{}

// caller is the other end of one connection.
type caller struct {
	// distance is the round trip time.
	distance time.Duration
	requests atomic.Uint64
}

// ConnContext is an http.Server's ConnContext: it measures how far away the
// caller is.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, &caller{distance: distance(c)})
}

func distance(c net.Conn) time.Duration {
	if limited, ok := c.(*limitedConn); ok {
		c = limited.Conn
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return unknownDistance
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return unknownDistance
	}
	rtt := time.Duration(0)
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			rtt = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil || rtt <= 0 {
		return unknownDistance
	}
	return rtt
}

// allowance returns the time that the network takes from a request's time: the
// request's and the answer's way, and for the first request of a connection
// also the time to connect.
func allowance(ctx context.Context) time.Duration {
	c, ok := ctx.Value(callerKey{}).(*caller)
	if !ok {
		return 2*unknownDistance + answerTime
	}
	if c.requests.Add(1) == 1 {
		return 2*c.distance + answerTime
	}
	return c.distance + answerTime
}
