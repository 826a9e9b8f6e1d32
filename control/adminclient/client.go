// Package adminclient is a client of the administration API. It retries on all
// members of the control plane with the same command number, so that a command
// is executed once even if a response is lost.
package adminclient

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/peridotmux/peridotmux/api"
)

const (
	// attemptTimeout limits one request to one member.
	attemptTimeout = 5 * time.Second
	// dialTimeout limits the connection setup to a member.
	dialTimeout = time.Second
	// retryInterval is the time between two rounds over the members.
	retryInterval = 300 * time.Millisecond
	// maxResponseBytes is the maximum size of a response body.
	maxResponseBytes = 64 << 20
)

// UnreachableError reports that no member gave a final response before the
// context ended. Unless NotSent is true, the command may have been executed.
type UnreachableError struct {
	NotSent bool
	Cause   error
}

// Error describes the failure.
func (e *UnreachableError) Error() string {
	if e.NotSent {
		return "no member of control can be reached; nothing was done: " + e.Cause.Error()
	}
	return "no member of control answered; it may or may not be done, so send it again with the same --command: " +
		e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// BadResponseError reports that a member's response can't be decoded. Status is
// its HTTP status.
type BadResponseError struct {
	Status int
	Cause  error
}

// Error describes the failure.
func (e *BadResponseError) Error() string {
	return "status " + http.StatusText(e.Status) + " with an answer that can't be read: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BadResponseError) Unwrap() error { return e.Cause }

// Client calls the administration API at any of its members. It is safe for
// concurrent use.
type Client struct {
	addrs []string
	http  *http.Client
}

// New returns a client for the members at addrs (host:port).
func New(addrs []string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{addrs: addrs, http: &http.Client{
		Timeout:   attemptTimeout,
		Transport: &http.Transport{DialContext: dialer.DialContext},
	}}
}

// NewCommandNumber returns a random command number.
func NewCommandNumber() string { return rand.Text() }

// Submit submits an intent and returns it with its plan.
func (c *Client) Submit(ctx context.Context, s *api.Submission) (*api.Intent, error) {
	return call[api.Intent](ctx, c, http.MethodPost, api.PathIntents, s)
}

// Confirm confirms the plan with the given ID.
func (c *Client) Confirm(ctx context.Context, plan string, q *api.Confirmation) (*api.Intent, error) {
	return call[api.Intent](ctx, c, http.MethodPost, strings.Replace(api.PathConfirm, "{plan}", plan, 1), q)
}

// Withdraw ends an intent that has not been confirmed.
func (c *Client) Withdraw(ctx context.Context, id string, q *api.Withdrawal) (*api.Intent, error) {
	return call[api.Intent](ctx, c, http.MethodPost, strings.Replace(api.PathWithdraw, "{id}", id, 1), q)
}

// Intents returns the intents, newest first.
func (c *Client) Intents(ctx context.Context) (*api.IntentList, error) {
	return call[api.IntentList](ctx, c, http.MethodGet, api.PathIntents, nil)
}

// Intent returns one intent by its ID or the ID of its plan.
func (c *Client) Intent(ctx context.Context, id string) (*api.Intent, error) {
	return call[api.Intent](ctx, c, http.MethodGet, strings.Replace(api.PathIntent, "{id}", id, 1), nil)
}

// Status returns the state of the system.
func (c *Client) Status(ctx context.Context) (*api.Status, error) {
	return call[api.Status](ctx, c, http.MethodGet, api.PathStatus, nil)
}

// Members returns the members of the control plane.
func (c *Client) Members(ctx context.Context) (*api.MemberList, error) {
	return call[api.MemberList](ctx, c, http.MethodGet, api.PathMembers, nil)
}

// ChangeMember makes one membership change and returns the members after it.
func (c *Client) ChangeMember(ctx context.Context, q *api.MemberChange) (*api.MemberList, error) {
	return call[api.MemberList](ctx, c, http.MethodPost, api.PathMembers, q)
}

// call tries the members in turn until one gives a final response or ctx ends.
func call[T any](ctx context.Context, c *Client, method, path string, body any) (*T, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	notSent := true
	var last error
	for {
		for _, addr := range c.addrs {
			out, err := attempt[T](ctx, c, method, addr+path, data)
			if err == nil || isFinal(err) {
				return out, err
			}
			notSent = notSent && notExecuted(err)
			last = err
		}
		select {
		case <-ctx.Done():
			return nil, &UnreachableError{NotSent: notSent, Cause: last}
		case <-time.After(retryInterval):
		}
	}
}

// attempt sends one request to one member. It returns an *api.Refusal if the
// member refuses it.
func attempt[T any](ctx context.Context, c *Client, method, url string, data []byte) (*T, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := c.http.Do(q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if r.StatusCode != http.StatusOK {
		return nil, readRefusal(r.StatusCode, body)
	}
	out := new(T)
	if err := json.Unmarshal(body, out); err != nil {
		return nil, &BadResponseError{Status: r.StatusCode, Cause: err}
	}
	return out, nil
}

func readRefusal(status int, body []byte) error {
	f := &api.Refusal{Status: status}
	if err := json.Unmarshal(body, f); err != nil {
		return &BadResponseError{Status: status, Cause: err}
	}
	return f
}

// isFinal reports whether retrying at another member can't help.
func isFinal(err error) bool {
	var f *api.Refusal
	if !errors.As(err, &f) {
		return false
	}
	switch f.Code {
	case api.CodeNotLeader, api.CodeControlUnreachable, api.CodeUnknownOutcome, api.CodeOverloaded:
		return false
	default:
		return true
	}
}

// notExecuted reports whether the command was certainly not executed.
func notExecuted(err error) bool {
	var f *api.Refusal
	if errors.As(err, &f) {
		return f.Execution == api.NotRun
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
