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
	// headerForwarded marks a request that a member passed on.
	headerForwarded = "Peridot-Forwarded"
	// forwardTimeout bounds the leader's time for a request passed on.
	forwardTimeout = proposeTimeout + time.Second
	// forwardDial bounds the time to connect to the leader.
	forwardDial = 500 * time.Millisecond
)

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: forwardDial}
	return &http.Client{
		Timeout:   forwardTimeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: time.Minute},
	}
}

// passOn hands a request to the leader. It reports false if this member should
// answer a read from its own, maybe outdated, records.
func (h *Handler) passOn(w http.ResponseWriter, r *http.Request, body []byte, leaderRPC string) bool {
	leader := h.httpAddr(leaderRPC)
	read := r.Method == http.MethodGet
	if leader == "" || r.Header.Get(headerForwarded) != "" {
		if read {
			return false
		}
		f := refusal(api.CodeNotLeader, "this member doesn't lead, and knows nobody that does")
		if leader != "" {
			f.Message = "this member doesn't lead; ask " + leader
			f.Leader = leader
		}
		h.refuse(w, r, f)
		return true
	}
	answer, err := h.ask(r, body, leader)
	if err != nil {
		if read {
			return false
		}
		h.refuse(w, r, lostLeader(err, leader))
		return true
	}
	defer func() { _ = answer.Body.Close() }()
	w.Header().Set("Content-Type", answer.Header.Get("Content-Type"))
	w.WriteHeader(answer.StatusCode)
	_, _ = io.Copy(w, answer.Body)
	return true
}

func (h *Handler) ask(r *http.Request, body []byte, leader string) (*http.Response, error) {
	q, err := http.NewRequestWithContext(r.Context(), r.Method,
		"http://"+leader+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Header.Set(headerForwarded, "1")
	q.Header.Set("Content-Type", "application/json")
	return h.client.Do(q)
}

// lostLeader tells a request that certainly didn't reach the leader from one
// that may have.
func lostLeader(err error, leader string) *api.Refusal {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		f := refusal(api.CodeControlUnreachable, "the leader can't be reached")
		f.Leader = leader
		return f
	}
	f := unknownOutcome(err)
	f.Leader = leader
	return f
}

func unknownOutcome(err error) *api.Refusal {
	return &api.Refusal{
		Code:      api.CodeUnknownOutcome,
		Message:   "it may or may not be done; send it again with the same command number: " + err.Error(),
		Execution: api.OutcomeUnknown,
	}
}

func (h *Handler) httpAddr(rpcAddr string) string {
	if rpcAddr == "" {
		return ""
	}
	for _, p := range h.c.Peers {
		if p.RPC == rpcAddr {
			return p.HTTP
		}
	}
	return ""
}
