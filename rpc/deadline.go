package rpc

import (
	"net"
	"time"
)

// WriteTimeout bounds one write to another process. In a silent network partition
// the peer acknowledges nothing: writes block once the socket buffers are full,
// and then fail after this time.
const WriteTimeout = 5 * time.Second

// deadlineConn sets a deadline of timeout for each write.
type deadlineConn struct {
	net.Conn
	timeout time.Duration
}

// Write implements net.Conn.
func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// deadlineListener wraps accepted connections in a deadlineConn.
type deadlineListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l *deadlineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &deadlineConn{Conn: c, timeout: WriteTimeout}, nil
}
