package forward

import (
	"net/http"
	"time"

	"github.com/peridotmux/peridotmux/clientlimit"
	"github.com/peridotmux/peridotmux/route"
)

const (
	// requestBytes is the memory that a request in progress takes besides its head, its
	// body and its answer, and shardBytes what each further shard of it does.
	requestBytes = 4 << 10
	shardBytes   = 2 << 10
	// clientsRetryAfter is when a caller may retry at a router whose clients hold too
	// much. Another router may have room.
	clientsRetryAfter = 100 * time.Millisecond
)

// bodyRefusals are the reasons by the status of a refusal for a body.
var bodyRefusals = map[int]reason{
	http.StatusRequestEntityTooLarge: reasonTooLarge,
	http.StatusServiceUnavailable:    reasonClients,
	http.StatusRequestTimeout:        reasonSlowBody,
	http.StatusBadRequest:            reasonBadBody,
}

// admitClient puts a request on the account of what clients hold. It returns a refusal if
// there is no room, or if too many requests are pipelined. release is called at the end of
// the request.
func (s *Server) admitClient(r *http.Request, req *request) (release func(), refused *refusal) {
	c := clientlimit.FromContext(r.Context())
	if c == nil {
		return func() {}, nil
	}
	bytes := int64(requestBytes)
	if g := req.route.Gather; g != nil {
		bytes += int64(len(g.Shards))*shardBytes + mergedBytes(g)
	}
	if !c.TakeRequest(bytes) {
		return nil, clientsRefusal(&clientlimit.ShortError{})
	}
	if !c.IsPipelined(headerBytes(r), r.ContentLength) {
		return func() {}, nil
	}
	if !c.BeginPipelined() {
		return nil, clientsRefusal(nil)
	}
	return c.EndPipelined, nil
}

// mergedBytes returns the memory that the merged answer of a gather may take. A route may
// ask for more records than its shards have.
func mergedBytes(g *route.Gather) int64 {
	return min(int64(g.TopK)*recordBytes, int64(len(g.Shards))*minPartLimit)
}

// clientsRefusal is the refusal of a request for which clients hold too much.
func clientsRefusal(cause error) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonClients, retryAfter: clientsRetryAfter, cause: cause}
}

// readRequestBody reads the body of a request, or returns a refusal.
func readRequestBody(r *http.Request, limit int64) ([]byte, *refusal) {
	body, err := clientlimit.ReadBody(r, limit)
	if err == nil {
		return body, nil
	}
	status := clientlimit.StatusOf(err)
	if status == http.StatusServiceUnavailable {
		return nil, clientsRefusal(err)
	}
	return nil, &refusal{status: status, reason: bodyRefusals[status], cause: err}
}

// endsConnection reports whether a refusal is for what the connection's client sends, so
// that its connection is closed after the answer.
func (f *refusal) endsConnection() bool {
	return f.reason == reasonClients || f.reason == reasonSlowBody || f.reason == reasonBadBody
}
