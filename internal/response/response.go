// Package response reads HTTP responses from targets within bounds on their size
// and on the memory that all responses together take while they are read. A target
// may send bytes without end, in a head or in a body, until its connection is
// closed; time is bounded by the connection's deadline.
package response

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/peridotmux/peridotmux/internal/connpool"
)

const (
	// firstBodyBytes is the size of a body's first buffer. Bodies up to this size don't wait
	// behind larger ones for memory.
	firstBodyBytes = 16 << 10
	// maxInformational is the maximum number of informational responses before the
	// final one.
	maxInformational = 16
)

// Limits bound one response.
type Limits struct {
	// HeadBytes bounds the status line and headers, with those of informational
	// (1xx) responses before it.
	HeadBytes int64
	// BodyBytes bounds the body.
	BodyBytes int64
	// Memory bounds the memory of all bodies. Nil means no bound.
	Memory *Memory
	// Hold keeps the body's part of Memory after Read. If it is nil, Read returns it.
	Hold *Hold
	// Cancel ends the wait for memory. If it is nil, a body without room fails at once.
	Cancel <-chan struct{}
}

// Part is a part of a response.
type Part string

// The parts of a response.
const (
	Head Part = "head"
	Body Part = "body"
)

// TooLargeError means that a part of a response exceeds its limit.
type TooLargeError struct{ Part Part }

// Error implements error.
func (e *TooLargeError) Error() string { return "response " + string(e.Part) + " too large" }

// MalformedError means that the bytes received are not an HTTP response.
type MalformedError struct{ Cause error }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed response: " + e.Cause.Error() }

// Unwrap returns the parser's error.
func (e *MalformedError) Unwrap() error { return e.Cause }

// StatusError means that the status is none of HTTP's, which begin at 100.
type StatusError struct{ Status string }

// Error describes the failure.
func (e *StatusError) Error() string { return "invalid status " + strconv.Quote(e.Status) }

// Read reads one final response to a request with the given method; informational
// responses are skipped. The error is a *TooLargeError, a *MalformedError, an
// *OutOfMemoryError, or that of the connection. After an error the connection must
// not be reused.
func Read(c *connpool.Conn, method string, l Limits) (*http.Response, []byte, error) {
	c.LimitedReader.N = l.HeadBytes
	for range maxInformational + 1 {
		resp, err := http.ReadResponse(c.Reader, &http.Request{Method: method})
		switch {
		case err != nil && c.LimitedReader.N <= 0:
			return nil, nil, &TooLargeError{Part: Head}
		case err != nil:
			return nil, nil, classify(err)
		case resp.StatusCode < http.StatusContinue:
			return nil, nil, &MalformedError{Cause: &StatusError{Status: resp.Status}}
		case resp.StatusCode < http.StatusOK:
			continue
		}
		// The body's framing may take as much as a head.
		c.LimitedReader.N = l.BodyBytes + l.HeadBytes
		body, err := readBody(resp, l)
		if err != nil && c.LimitedReader.N <= 0 {
			return nil, nil, &TooLargeError{Part: Body}
		}
		if err != nil {
			return nil, nil, classify(err)
		}
		return resp, body, nil
	}
	return nil, nil, &TooLargeError{Part: Head}
}

// classify distinguishes malformed responses, returned as a *MalformedError, from
// connections that ended and from exceeded limits, which are returned unchanged.
func classify(err error) error {
	var (
		netErr   net.Error
		tooLarge *TooLargeError
		memory   *OutOfMemoryError
	)
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return err
	case errors.As(err, &tooLarge), errors.As(err, &memory):
		return err
	}
	return &MalformedError{Cause: err}
}

// readBody reads the whole body. Its memory is reserved before it is allocated: for a
// declared length as a whole, so that a body that waits for room holds none, and otherwise
// as the body grows.
func readBody(resp *http.Response, l Limits) ([]byte, error) {
	if resp.ContentLength > l.BodyBytes {
		return nil, &TooLargeError{Part: Body}
	}
	if resp.ContentLength == 0 {
		return nil, nil
	}
	b := &buffer{limits: &l, length: resp.ContentLength}
	if err := b.read(resp.Body); err != nil {
		l.Memory.free(b.reserved)
		return nil, err
	}
	if l.Hold != nil {
		l.Hold.keep(l.Memory, b.reserved)
	} else {
		l.Memory.free(b.reserved)
	}
	return b.bytes, nil
}

// buffer is the memory of one body that is being read.
type buffer struct {
	limits *Limits
	// length is the declared length, negative if there is none.
	length int64
	bytes  []byte
	// reserved is the part of the Memory that the buffer holds.
	reserved int64
}

// reserve takes n bytes of the Memory.
func (b *buffer) reserve(n int64) error {
	if !b.limits.Memory.reserve(n, b.reserved, b.limits.Cancel) {
		return &OutOfMemoryError{}
	}
	b.reserved += n
	return nil
}

// read reads r until its end, or until the declared length.
func (b *buffer) read(r io.Reader) error {
	first := int64(firstBodyBytes)
	if b.length > 0 {
		first = min(first, b.length)
	}
	if err := b.reserve(max(first, b.length)); err != nil {
		return err
	}
	b.bytes = make([]byte, 0, first)
	for int64(len(b.bytes)) != b.length {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(); err != nil {
				return err
			}
		}
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if int64(len(b.bytes)) > b.limits.BodyBytes {
			return &TooLargeError{Part: Body}
		}
		if errors.Is(err, io.EOF) && (b.length < 0 || int64(len(b.bytes)) == b.length) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// grow makes room for the rest of a declared length, or doubles the capacity, which
// exceeds the limit by one byte at most.
func (b *buffer) grow() error {
	if b.length > 0 {
		b.bytes = append(make([]byte, 0, b.length), b.bytes...)
		return nil
	}
	if int64(len(b.bytes)) > b.limits.BodyBytes {
		return &TooLargeError{Part: Body}
	}
	before := int64(cap(b.bytes))
	size := min(2*before, b.limits.BodyBytes+1)
	if err := b.reserve(size - before); err != nil {
		return err
	}
	b.limits.Memory.add(before) // Both buffers are there while one is copied.
	next := append(newBytes(size), b.bytes...)
	reuseBytes(b.bytes)
	b.bytes = next
	b.limits.Memory.free(before)
	return nil
}
