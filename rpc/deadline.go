package rpc

import (
	"net"
	"time"
)

// WriteTimeout bounds one write to another process. The other end of a silent
// partition takes nothing, and the connection is given up once the buffers
// between are full.
const WriteTimeout = 5 * time.Second

// deadlineConn gives each write a deadline.
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

// deadlineListener gives each write to its connections a deadline.
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
