package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// balancer checks the gateways once a second, as the platform does: after two misses a
// gateway gets no new connections until it answers 200 again.
type balancer struct {
	c      *cluster
	misses []atomic.Int32
}

func (b *balancer) run(ctx context.Context) {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for ctx.Err() == nil {
		for i := range b.misses {
			resp, err := client.Get(fmt.Sprintf("http://%s/peridotmux/ready", b.c.net.addr(firstGateway+i, b.c.net.ports.readiness)))
			if err == nil {
				_ = resp.Body.Close()
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				b.misses[i].Store(0)
			} else {
				b.misses[i].Add(1)
			}
		}
		time.Sleep(time.Second)
	}
}

// usable returns the gateways that get new connections.
func (b *balancer) usable() []int {
	var out []int
	for i := range b.misses {
		if b.misses[i].Load() < 2 {
			out = append(out, i)
		}
	}
	if len(out) == 0 {
		for i := range b.misses {
			out = append(out, i)
		}
	}
	return out
}

// kind is a kind of request.
type kind struct {
	name, path string
	perSecond  float64
	clients    int
	deadline   time.Duration

	sent, served atomic.Int64
	// lateSent and lateServed count those of the time after mark.
	mark                 atomic.Bool
	lateSent, lateServed atomic.Int64
}

const host = "review.example"

// load sends requests of several kinds.
type load struct {
	c     *cluster
	rec   *record
	b     *balancer
	kinds []*kind
	seq   atomic.Int64
}

// run sends requests until ctx ends. Each client keeps its connections.
func (l *load) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, k := range l.kinds {
		clients := k.clients
		for i := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				s := &sender{l: l, home: i % len(l.c.gateways)}
				l.runClient(ctx, s, k, time.Duration(float64(clients)/k.perSecond*float64(time.Second)))
			}()
		}
	}
	wg.Wait()
}

// requestsPerConnection is the number of requests after which a client opens a new
// connection.
const requestsPerConnection = 2

// runClient is one client: it sends a request at each interval over a kept connection, and
// opens a new one now and then.
func (l *load) runClient(ctx context.Context, s *sender, k *kind, interval time.Duration) {
	time.Sleep(rand.N(interval))
	tick := time.NewTicker(interval)
	defer tick.Stop()
	defer s.drop()
	for n := 1; ; n++ {
		l.request(s, k)
		if n%requestsPerConnection == 0 {
			s.drop()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// sender is a client's connection.
type sender struct {
	l *load
	// home is the gateway of the client's zone, and at the one of its connection.
	home, at int
	client   *http.Client
}

// connect chooses a gateway for a new connection, if there is none: that of the client's
// zone unless it is out of rotation, and for a retry another one.
func (s *sender) connect(retry bool) {
	if s.client != nil {
		return
	}
	usable := s.l.b.usable()
	i := slices.Index(usable, s.home)
	switch {
	case i >= 0 && !retry:
	case i >= 0 && len(usable) > 1:
		i = (i + 1) % len(usable)
	default:
		i = rand.IntN(len(usable))
	}
	s.at = usable[i]
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, IdleConnTimeout: 12 * time.Second}}
}

func (s *sender) drop() {
	if s.client != nil {
		s.client.CloseIdleConnections()
		s.client = nil
	}
}

// maxAttempts is how often a client tries within the deadline.
const maxAttempts = 3

// request sends one request, and again as the page "Answers" says.
func (l *load) request(s *sender, k *kind) {
	until := time.Now().Add(k.deadline)
	late := k.mark.Load()
	k.sent.Add(1)
	if late {
		k.lateSent.Add(1)
	}
	for try := range maxAttempts {
		left := time.Until(until)
		if left < 10*time.Millisecond {
			return
		}
		ok, wait := l.attempt(s, k, left, try > 0)
		if ok {
			k.served.Add(1)
			if late {
				k.lateServed.Add(1)
			}
			return
		}
		s.drop()
		if wait > time.Until(until)/3 {
			return
		}
		time.Sleep(wait)
	}
}

// attempt sends a request once. It returns when the gateway wants the next try.
func (l *load) attempt(s *sender, k *kind, left time.Duration, retry bool) (served bool, wait time.Duration) {
	s.connect(retry)
	id := fmt.Sprintf("%s-%d", k.name, l.seq.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s%s", l.c.net.addr(firstGateway+s.at, l.c.net.ports.http), k.path, id), nil)
	if err != nil {
		return false, 0
	}
	q.Host = host
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	l.rec.line("sent id=%s gateway=%d", id, s.at)
	resp, err := s.client.Do(q)
	if err != nil {
		l.rec.line("failed id=%s gateway=%d: %v", id, s.at, err)
		return false, 50 * time.Millisecond
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	ok := err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get("X-Server-Stamp") != "" && bytes.HasSuffix(body, []byte(id+"\n"))
	reason := ""
	if !ok {
		reason = string(bytes.TrimSpace(body))
	}
	l.rec.line("answered id=%s gateway=%d status=%d whole=%v %s", id, s.at, resp.StatusCode, err == nil, reason)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return ok, time.Duration(seconds * float64(time.Second))
}
