package forward

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/clientlimit"
	"github.com/peridotmux/peridotmux/route"
)

// HeadersTooLargeError means that a request's headers exceed the limit.
type HeadersTooLargeError struct{ Bytes, Limit int }

// Error describes the failure.
func (e *HeadersTooLargeError) Error() string {
	return "request headers too large: " + strconv.Itoa(e.Bytes) + " bytes, limit " + strconv.Itoa(e.Limit)
}

// headerLineBytes is the size of a header line besides its name and value.
const headerLineBytes = len(": \r\n")

// headerBytes returns the size of a request's first line and headers.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + headerLineBytes
	n += len("Host") + len(r.Host) + headerLineBytes
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerLineBytes
		}
	}
	return n
}

// checkHeaders returns a *HeadersTooLargeError if a request's headers exceed limit,
// unless limit is 0.
func checkHeaders(r *http.Request, limit int) error {
	if n := headerBytes(r); limit > 0 && n > limit {
		return &HeadersTooLargeError{Bytes: n, Limit: limit}
	}
	return nil
}

// Listener returns a listener whose connections apply the time limits of the route
// table in force: for receiving a request's headers and for being idle. ConnState
// must be the http.Server's ConnState.
func (s *Server) Listener(l net.Listener) net.Listener {
	return &limitedListener{Listener: l, limits: func() route.Limits {
		if t := s.table.Load(); t != nil {
			return t.Limits
		}
		return route.Limits{}
	}}
}

// limitedListener wraps each connection in a limitedConn.
type limitedListener struct {
	net.Listener
	limits func() route.Limits
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: c, limits: l.limits}, nil
}

// limitedConn shortens the read deadlines that an http.Server sets.
type limitedConn struct {
	net.Conn
	limits func() route.Limits
	// nextIsIdle means that the next deadline is for the time that the connection
	// may be idle. Otherwise it is for a request's headers.
	nextIsIdle atomic.Bool
}

// CloseWrite shuts down the sending side, if the connection can.
func (c *limitedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// ConnState is an http.Server's ConnState: it marks connections of a limited
// listener that become idle.
func ConnState(c net.Conn, state http.ConnState) {
	limited, ok := c.(*limitedConn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		limited.nextIsIdle.Store(true)
	}
	clientlimit.ConnState(limited.Conn, state)
}

// SetReadDeadline implements net.Conn. It applies the route table's limit if that
// ends before t.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	limit := c.limits().HeaderTimeout
	if c.nextIsIdle.Swap(false) {
		limit = c.limits().IdleTimeout
	}
	if sooner := time.Now().Add(limit); limit > 0 && sooner.Before(t) && t.After(time.Now()) {
		t = sooner
	}
	return c.Conn.SetReadDeadline(t)
}
