package main

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// answer is what a client got for one attempt. Status is 0 if there was none.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	err     error
	gateway string
}

var lastID atomic.Uint64

// newID returns a request's id, which is used once.
func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)+uint64(time.Now().UnixNano())<<20) }

// newClient returns a client that keeps connections open.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
}

// send sends one attempt to a gateway and waits for the answer.
func (l *lab) send(c *http.Client, p *process, method, host, path, id string, deadline time.Duration) answer {
	return l.sendBody(c, p, method, host, path, id, deadline, nil)
}

// sendBody is send with a body, nil for none.
func (l *lab) sendBody(c *http.Client, p *process, method, host, path, id string, deadline time.Duration, body io.Reader) answer {
	a := answer{gateway: p.name}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", p.ip, l.frontPort, path), body)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	c.Timeout = deadline
	resp, err := c.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.body, a.err = io.ReadAll(resp.Body)
	a.status, a.header = resp.StatusCode, resp.Header
	return a
}

// slowBody is a request's body of two pieces, with a pause between them.
type slowBody struct {
	pieces []string
	pause  time.Duration
	sent   int
}

// Read implements io.Reader.
func (b *slowBody) Read(to []byte) (int, error) {
	if b.sent == len(b.pieces) {
		return 0, io.EOF
	}
	if b.sent > 0 {
		time.Sleep(b.pause)
	}
	b.sent++
	return copy(to, b.pieces[b.sent-1]), nil
}
