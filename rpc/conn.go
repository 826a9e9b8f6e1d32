package rpc

import (
	"context"
	"net"
	"net/netip"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

const (
	// DialTimeout bounds the time to connect to another process.
	DialTimeout = 500 * time.Millisecond
	// MaxMessageBytes bounds one message in either direction.
	MaxMessageBytes = 64 << 20
)

// ConnectionLostError reports that a connection to a process failed or could not
// be established.
type ConnectionLostError struct {
	Addr string
	// Sent is false if the call was definitely not handed to the network.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *ConnectionLostError) Error() string {
	return "connection to " + e.Addr + " lost: " + e.Cause.Error()
}

// NotSent reports whether the call was definitely not handed to the network.
func (e *ConnectionLostError) NotSent() bool { return !e.Sent }

// Unwrap returns the cause.
func (e *ConnectionLostError) Unwrap() error { return e.Cause }

// managerOptions limits the size of messages to MaxMessageBytes.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		Stream: drpcstream.Options{MaximumBufferSize: MaxMessageBytes},
	}
}

// Dial connects to the process at addr within DialTimeout. The error is a
// *ConnectionLostError.
func Dial(ctx context.Context, addr netip.AddrPort) (drpc.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout}
	c, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, &ConnectionLostError{Addr: addr.String(), Cause: err}
	}
	return wrap(c), nil
}

// wrap returns a drpc connection over c, with a deadline for each write.
func wrap(c net.Conn) drpc.Conn {
	bounded := &deadlineConn{Conn: c, timeout: WriteTimeout}
	return drpcconn.NewWithOptions(bounded, drpcconn.Options{Manager: managerOptions()})
}

// Serve serves the services that register adds on l until ctx is done.
func Serve(ctx context.Context, l net.Listener, register func(drpc.Mux) error) error {
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		return err
	}
	srv := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return srv.Serve(ctx, &deadlineListener{l})
}
