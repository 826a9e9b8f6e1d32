package target

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/peridotmux/peridotmux/internal/connpool"
	"github.com/peridotmux/peridotmux/internal/response"
	"github.com/peridotmux/peridotmux/topology"
)

// readUnmatched reads the body of an answer without checking that it belongs to the
// request. The error is a *StatusError if the status is not 200.
func readUnmatched(c *connpool.Conn) ([]byte, error) {
	resp, body, err := response.Read(c, http.MethodGet, response.Limits{HeadBytes: maxHeaderBytes, BodyBytes: maxHeaderBytes})
	if err != nil {
		return nil, err
	}
	c.SetAnswered()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: resp.StatusCode}
	}
	return body, nil
}

// StatusError reports that a target answered with a status other than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "target answered with status " + strconv.Itoa(e.Status) }

// Health implements Searcher. Without a deadline in ctx, the connect timeout bounds
// the exchange.
func (c *Client) Health(ctx context.Context, t *topology.Target) (Health, error) {
	p := c.pool(t)
	conn, err := p.Get(ctx, nil)
	if err != nil {
		return Health{}, err
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(c.opts.ConnectTimeout)
	}
	body, err := fetchHealth(conn, p.Host(), deadline)
	if err != nil {
		conn.Close()
		return Health{}, err
	}
	conn.Put()
	var h Health
	err = json.Unmarshal(body, &h)
	return h, err
}

// fetchHealth requests PathHealth over c and returns the body of the answer.
func fetchHealth(c *connpool.Conn, host string, deadline time.Time) ([]byte, error) {
	if err := c.Net.SetDeadline(deadline); err != nil {
		return nil, err
	}
	b := appendRequestHead(c.RequestBuffer[:0], "GET "+PathHealth, host)
	b = append(b, "\r\n"...)
	c.KeepRequestBuffer(b)
	if _, err := c.Net.Write(b); err != nil {
		return nil, err
	}
	return readUnmatched(c)
}
