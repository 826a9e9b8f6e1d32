package target

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/peridotmux/peridotmux/internal/connpool"
	"github.com/peridotmux/peridotmux/topology"
)

// readPlain reads an answer without checking whose it is.
func readPlain(c *connpool.Conn) ([]byte, error) {
	c.LimitedReader.N = 2 * maxHeadBytes
	resp, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		return nil, err
	}
	body, err := readBody(resp)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: resp.StatusCode}
	}
	return body, nil
}

// StatusError says that a target answered with a status that isn't a success.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "target answered " + strconv.Itoa(e.Status) }

// Health implements Searcher.
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
	body, err := health(conn, p.Host(), deadline)
	if err != nil {
		conn.Close()
		return Health{}, err
	}
	conn.Put()
	var h Health
	err = json.Unmarshal(body, &h)
	return h, err
}

func health(c *connpool.Conn, host string, deadline time.Time) ([]byte, error) {
	if err := c.Net.SetDeadline(deadline); err != nil {
		return nil, err
	}
	b := appendHead(c.RequestBuffer[:0], "GET "+PathHealth, host)
	b = append(b, "\r\n"...)
	c.KeepRequestBuffer(b)
	if _, err := c.Net.Write(b); err != nil {
		return nil, err
	}
	return readPlain(c)
}
