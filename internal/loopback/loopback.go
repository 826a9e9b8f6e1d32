// Package loopback reserves loopback networks, so that test runs that start
// processes at fixed ports can run side by side on one machine.
package loopback

import (
	"net"
	"strconv"

	"github.com/gravitational/trace"
)

const (
	// networks is the number of networks that can be reserved: 127.1.0.0/16 to
	// 127.networks.0.0/16.
	networks = 250
	// lockPort is the port at 127.N.0.1 whose listener reserves network N. It lies
	// below the ephemeral ports.
	lockPort = 11999
)

// Network is a reserved network 127.N.0.0/16. No other process that uses this
// package gets it before Close or the end of this process.
type Network struct {
	number int
	lock   net.Listener
}

// NoNetworkError means that all networks are reserved.
type NoNetworkError struct{ Cause error }

// Error implements error.
func (e *NoNetworkError) Error() string {
	return "no loopback network is free, the last one tried: " + e.Cause.Error()
}

// Unwrap returns the failure for the last network.
func (e *NoNetworkError) Unwrap() error { return e.Cause }

// Reserve reserves the first free network at or after the preferred one. The error
// is a *NoNetworkError.
func Reserve(preferred uint64) (*Network, error) {
	var last error
	for i := range uint64(networks) {
		number := 1 + int((preferred+i)%networks) //nolint:gosec // Below networks.
		n := &Network{number: number}
		l, err := net.Listen("tcp", n.IP(0, 1)+":"+strconv.Itoa(lockPort))
		if err == nil {
			n.lock = l
			return n, nil
		}
		last = err
	}
	return nil, trace.Wrap(&NoNetworkError{Cause: last})
}

// IP returns the address 127.N.third.fourth of the network.
func (n *Network) IP(third, fourth int) string {
	return "127." + strconv.Itoa(n.number) + "." + strconv.Itoa(third) + "." + strconv.Itoa(fourth)
}

// Close frees the network.
func (n *Network) Close() { _ = n.lock.Close() }
