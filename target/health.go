package target

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/peridotmux/peridotmux/topology"
)

// readPlain reads an answer without checking whose it is.
func readPlain(c *conn) ([]byte, error) {
	c.lim.N = 2 * maxHeadBytes
	resp, err := http.ReadResponse(c.br, nil)
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
	conn, err := p.get(ctx, nil)
	if err != nil {
		return Health{}, err
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(c.opts.ConnectTimeout)
	}
	body, err := conn.health(deadline)
	if err != nil {
		conn.drop()
		return Health{}, err
	}
	conn.put()
	var h Health
	err = json.Unmarshal(body, &h)
	return h, err
}

func (c *conn) health(deadline time.Time) ([]byte, error) {
	if err := c.nc.SetDeadline(deadline); err != nil {
		return nil, err
	}
	b := appendHead(c.out[:0], "GET "+PathHealth, c.pool.host)
	b = append(b, "\r\n"...)
	c.keepBuffer(b)
	if _, err := c.nc.Write(b); err != nil {
		return nil, err
	}
	return readPlain(c)
}
