package forward

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/peridotmux/peridotmux/route"
)

// request is one request of a caller as it is passed on.
type request struct {
	id     string
	method string
	// uri is the path and query as the caller wrote them.
	uri    string
	host   string
	header http.Header
	body   []byte
	// sized says that the caller stated a body, maybe an empty one.
	sized bool
	// deadline is when the caller, or the route, no longer waits.
	deadline time.Time
	// received is when the head of the request was read.
	received time.Time
	// allowance is what the network takes from the caller's time.
	allowance time.Duration
	route     *route.Route
	table     *route.Table
	trail     trail
}

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true,
	"Te": true, "Trailer": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// BodyTooLargeError says that a caller's body passed the limit.
type BodyTooLargeError struct{ Limit int64 }

// Error describes the failure.
func (e *BodyTooLargeError) Error() string {
	return "the body is larger than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// readRequestBody reads the body of r up to limit.
func readRequestBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &BodyTooLargeError{Limit: limit}
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, &BodyTooLargeError{Limit: limit}
	}
	return body, err
}

// appendHead appends the head of the request for one target.
func (q *request) appendHead(b []byte, d *HeaderNames, target string, left time.Duration) []byte {
	b = append(b, q.method...)
	b = append(b, ' ')
	b = append(b, q.uri...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendHeader(b, "Host", q.host)
	dropped := connectionNames(q.header)
	for name, values := range q.header {
		if hopHeaders[name] || dropped[name] || name == d.TimeLeftMS || name == d.ExpectTarget {
			continue
		}
		for _, v := range values {
			b = appendHeader(b, name, v)
		}
	}
	b = appendHeader(b, d.TimeLeftMS, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	b = appendHeader(b, d.ExpectTarget, target)
	if len(q.body) > 0 || q.sized {
		b = appendHeader(b, "Content-Length", strconv.Itoa(len(q.body)))
	}
	return append(b, "\r\n"...)
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// connectionNames lists the headers that the caller's Connection header names.
func connectionNames(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	names := make(map[string]bool)
	for _, v := range values {
		for name := range strings.SplitSeq(v, ",") {
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// isTooLarge reports whether err says that a body passed the limit.
func isTooLarge(err error) bool {
	var large *BodyTooLargeError
	return errors.As(err, &large)
}
