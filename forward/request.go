package forward

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/internal/response"
	"github.com/peridotmux/peridotmux/quarantine"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/workspace"
)

// request is one request of a caller as it is forwarded.
type request struct {
	id     string
	method string
	// uri is the path and query as sent by the caller.
	uri    string
	host   string
	header http.Header
	body   []byte
	// hasBody means that the caller declared a body, possibly an empty one.
	hasBody bool
	// deadline is when the caller, or the route, stops waiting.
	deadline time.Time
	// received is when the request's headers were read.
	received time.Time
	// allowance is the part of the caller's time that the network takes.
	allowance time.Duration
	route     *route.Route
	table     *route.Table
	// workspace is the workspace of the caller's key, nil if the request needs none or
	// the configuration has none.
	workspace *workspace.Workspace
	trace     requestTrace
	// lost counts the attempts that were lost with their targets.
	lost lostRuns
	// hash is the request's fingerprint, once it was needed.
	hash     quarantine.Fingerprint
	hashOnce sync.Once
	// answered means that a target has answered it.
	answered atomic.Bool
	// canary means that the request may crash targets, so that one runs it at a time.
	canary bool
	// bodies is the memory of the targets' responses until the answer is written.
	bodies response.Hold
	// release ends the request's place among the pipelined ones. It may be nil.
	release func()
}

// attempts returns the number of targets, for each shard, that may run the request.
func (req *request) attempts() int {
	if req.canary {
		return 1
	}
	return req.route.Attempts
}

// end ends a request that was answered or refused.
func (req *request) end() {
	req.bodies.Release()
	if req.release != nil {
		req.release()
	}
}

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true,
	"Te": true, "Trailer": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// appendHead appends the request line and headers for one target. left is the time
// that remains for the request.
func (req *request) appendHead(b []byte, d *HeaderNames, target string, left time.Duration) []byte {
	b = append(b, req.method...)
	b = append(b, ' ')
	b = append(b, req.uri...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendHeader(b, "Host", req.host)
	dropped := connectionHeaders(req.header)
	for name, values := range req.header {
		if hopByHopHeaders[name] || dropped[name] || name == d.TimeLeftMS || name == d.ExpectTarget || req.hides(name, d) {
			continue
		}
		for _, v := range values {
			b = appendHeader(b, name, v)
		}
	}
	b = appendHeader(b, d.TimeLeftMS, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	b = appendHeader(b, d.ExpectTarget, target)
	if req.workspace != nil {
		b = appendHeader(b, d.Workspace, string(req.workspace.Name))
	}
	if len(req.body) > 0 || req.hasBody {
		b = appendHeader(b, "Content-Length", strconv.Itoa(len(req.body)))
	}
	return append(b, "\r\n"...)
}

// hides reports whether a header of the caller is not passed on because the
// configuration has workspaces: the key is secret, and the workspace's name is this
// router's to set.
func (req *request) hides(name string, d *HeaderNames) bool {
	return (name == d.Key || name == d.Workspace) && req.table != nil && req.table.Workspaces != nil
}

// workspaceName returns the name of the request's workspace, "" if it has none.
func (req *request) workspaceName() string {
	if req.workspace == nil {
		return ""
	}
	return string(req.workspace.Name)
}

// priority returns the request's rank; 0 is the highest.
func (req *request) priority() int {
	if req.workspace != nil && req.workspace.HasPriority {
		return req.workspace.Priority
	}
	return req.route.Priority
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// connectionHeaders returns the headers that a Connection header lists, in
// canonical form.
func connectionHeaders(h http.Header) map[string]bool {
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
