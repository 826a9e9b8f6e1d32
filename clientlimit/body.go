package clientlimit

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// firstStep is how much of a body is read before more memory is taken for it, in
	// bytes.
	firstStep = 8 << 10
	// bodyGrace and bodyRate determine how long a body may take: bodyGrace and a second
	// for each bodyRate bytes that have arrived.
	bodyGrace = 3 * time.Second
	bodyRate  = 32 << 10
	// discardTime is how long the rest of a refused request's body may take to arrive.
	// After that its connection is closed.
	discardTime = time.Second
)

// ReadBody reads a request's body of at most limit bytes. Its memory is on the account
// before it is allocated, and grows with what arrives. The error is a *TooLargeError, a
// *ShortError if the account is short, a *SlowError, or that of the connection. After
// success, the request may be handed on.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	c := FromContext(r.Context())
	body, err := c.readBody(r, limit)
	if err == nil && !c.HandOn() {
		err = &ShortError{}
	}
	if err != nil {
		c.endUnread()
		return nil, err
	}
	return body, nil
}

func (c *Conn) readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &TooLargeError{Limit: limit}
	}
	if !HasBody(r) {
		return nil, nil
	}
	// A chunked body may have one byte more than the limit before it counts as too large.
	most := limit + 1
	if r.ContentLength > 0 {
		most = r.ContentLength
	}
	b := bodyReader{conn: c, body: r.Body, most: most, began: time.Now()}
	data, err := b.read()
	switch {
	case err == nil && int64(len(data)) > limit:
		return nil, &TooLargeError{Limit: limit}
	case err == nil && r.ContentLength > 0 && int64(len(data)) < r.ContentLength:
		return nil, io.ErrUnexpectedEOF
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.report(causeBody)
		return nil, &SlowError{Bytes: int64(len(data))}
	}
	return data, err
}

// bodyReader reads one body.
type bodyReader struct {
	conn  *Conn
	body  io.Reader
	most  int64
	began time.Time
	// nextExtension is the number of bytes after which the deadline is extended.
	nextExtension int
}

// read reads up to most bytes.
func (b *bodyReader) read() ([]byte, error) {
	size := min(b.most, firstStep)
	if !b.conn.Take(size) {
		return nil, b.short()
	}
	data := make([]byte, 0, size)
	for {
		if len(data) >= b.nextExtension {
			b.extend(len(data))
		}
		n, err := b.body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err
		case int64(len(data)) == b.most:
			return data, nil
		case len(data) == cap(data):
			if data, err = b.grow(data); err != nil {
				return data, err
			}
		}
	}
}

// grow doubles the memory of a body. Both parts are on the account while it is copied.
func (b *bodyReader) grow(data []byte) ([]byte, error) {
	size := min(2*int64(cap(data)), b.most)
	if !b.conn.Take(size) {
		return data, b.short()
	}
	larger := append(make([]byte, 0, size), data...)
	b.conn.Give(int64(cap(data)))
	return larger, nil
}

func (b *bodyReader) short() error {
	b.conn.report(causeMemory)
	return &ShortError{}
}

// extend gives the body time in proportion to what has arrived. The http.Server removes the
// deadline at the end of the body.
func (b *bodyReader) extend(arrived int) {
	b.nextExtension = arrived + bodyRate/2
	if b.conn != nil {
		until := b.began.Add(bodyGrace + time.Duration(float64(b.nextExtension)/bodyRate*float64(time.Second)))
		_ = b.conn.SetReadDeadline(until) // Fails only if it is closed.
	}
}

// endUnread bounds the time in which the server discards the rest of a body that won't be
// read.
func (c *Conn) endUnread() {
	if c != nil {
		_ = c.SetReadDeadline(time.Now().Add(discardTime)) // Fails only if it is closed.
	}
}

// EndUnread bounds the time in which the server discards the body of a request that is
// refused before its body was read.
func EndUnread(r *http.Request) {
	if HasBody(r) {
		FromContext(r.Context()).endUnread()
	}
}

func (c *Conn) report(why cause) {
	if c != nil {
		c.account.reports.add(c.class, why)
	}
}
