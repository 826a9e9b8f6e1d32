package admin

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/peridotmux/peridotmux/api"
)

const (
	// headerForwarded marks a request that another member forwarded. It is not
	// forwarded again.
	headerForwarded = "Peridot-Forwarded"
	// forwardTimeout limits a forwarded request. It exceeds the leader's own
	// limit.
	forwardTimeout = proposeTimeout + time.Second
	// forwardDialTimeout limits the connection setup to the leader.
	forwardDialTimeout = 500 * time.Millisecond
)

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: forwardDialTimeout}
	return &http.Client{
		Timeout:   forwardTimeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: time.Minute},
	}
}

// forwardToLeader forwards a request to the leader and writes the response or a
// refusal. It returns false without writing anything if this member should
// serve a read from its own, possibly outdated, records.
func (h *Handler) forwardToLeader(w http.ResponseWriter, r *http.Request, body []byte, leaderRPC string) bool {
	leader := h.httpAddr(leaderRPC)
	read := r.Method == http.MethodGet
	if leader == "" || r.Header.Get(headerForwarded) != "" {
		if read {
			return false
		}
		f := newRefusal(api.CodeNotLeader, "this member doesn't lead, and knows nobody that does")
		if leader != "" {
			f.Message = "this member doesn't lead; ask " + leader
			f.Leader = leader
		}
		h.refuse(w, r, f)
		return true
	}
	resp, err := h.sendToLeader(r, body, leader)
	if err != nil {
		if read {
			return false
		}
		h.refuse(w, r, forwardRefusal(err, leader))
		return true
	}
	defer func() { _ = resp.Body.Close() }()
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
	return true
}

// sendToLeader sends a copy of request r, marked as forwarded, to the leader's
// HTTP address.
func (h *Handler) sendToLeader(r *http.Request, body []byte, leader string) (*http.Response, error) {
	q, err := http.NewRequestWithContext(r.Context(), r.Method,
		"http://"+leader+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Header.Set(headerForwarded, "1")
	q.Header.Set("Content-Type", "application/json")
	return h.client.Do(q)
}

// forwardRefusal returns a refusal that says whether a failed request certainly
// did not reach the leader or may have been executed.
func forwardRefusal(err error, leader string) *api.Refusal {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		f := newRefusal(api.CodeControlUnreachable, "the leader can't be reached")
		f.Leader = leader
		return f
	}
	f := unknownOutcomeRefusal(err)
	f.Leader = leader
	return f
}

// unknownOutcomeRefusal returns the refusal for a command that may or may not
// have been executed.
func unknownOutcomeRefusal(err error) *api.Refusal {
	return &api.Refusal{
		Code:      api.CodeUnknownOutcome,
		Message:   "it may or may not be done; send it again with the same command number: " + err.Error(),
		Execution: api.OutcomeUnknown,
	}
}

// httpAddr returns the HTTP address of the peer with the given rpc address, or
// "".
func (h *Handler) httpAddr(rpcAddr string) string {
	if rpcAddr == "" {
		return ""
	}
	for _, p := range h.cfg.Peers {
		if p.RPC == rpcAddr {
			return p.HTTP
		}
	}
	return ""
}
