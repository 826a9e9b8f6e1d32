package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/api"
)

const (
	// balancerPoll is the time between two looks at a router's readiness.
	balancerPoll    = 200 * time.Millisecond
	balancerTimeout = time.Second
	// callerConns bounds the idle connections kept to one router.
	callerConns    = 256
	maxAnswerBytes = 64 << 20
)

// balancer is the platform's: it deals queries to the ready routers in turn.
type balancer struct {
	http  *http.Client
	probe *http.Client
	next  atomic.Uint64
	stop  context.CancelFunc
	done  sync.WaitGroup

	mu    sync.Mutex
	addrs []netip.AddrPort
	ready []bool
}

func newBalancer(addrs []netip.AddrPort) *balancer {
	transport := &http.Transport{MaxIdleConnsPerHost: callerConns, DisableCompression: true}
	ctx, stop := context.WithCancel(context.Background())
	b := &balancer{
		http:  &http.Client{Transport: transport},
		probe: &http.Client{Timeout: balancerTimeout, Transport: &http.Transport{}},
		stop:  stop,
		addrs: append([]netip.AddrPort(nil), addrs...),
		ready: make([]bool, len(addrs)),
	}
	for i := range addrs {
		b.look(ctx, i)
		b.done.Go(func() { b.watch(ctx, i) })
	}
	return b
}

func (b *balancer) close() {
	b.stop()
	b.done.Wait()
	b.http.CloseIdleConnections()
	b.probe.CloseIdleConnections()
}

// replace gives router i another address.
func (b *balancer) replace(i int, addr netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addrs[i] = addr
	b.ready[i] = false
}

func (b *balancer) watch(ctx context.Context, i int) {
	ticker := time.NewTicker(balancerPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.look(ctx, i)
		}
	}
}

func (b *balancer) look(ctx context.Context, i int) {
	b.mu.Lock()
	addr := b.addrs[i]
	b.mu.Unlock()
	ok := b.isReady(ctx, addr)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.addrs[i] == addr {
		b.ready[i] = ok
	}
}

func (b *balancer) isReady(ctx context.Context, addr netip.AddrPort) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+api.PathReady, nil)
	if err != nil {
		return false
	}
	resp, err := b.probe.Do(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// choose returns the next ready router, or any if none is ready.
func (b *balancer) choose() netip.AddrPort {
	n := int(b.next.Add(1) % uint64(len(b.addrs))) //nolint:gosec // Small.
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.addrs {
		if at := (n + i) % len(b.addrs); b.ready[at] {
			return b.addrs[at]
		}
	}
	return b.addrs[n]
}

// query sends q to a router. If no connection could be made, another one is
// tried, since nothing was sent.
func (b *balancer) query(ctx context.Context, q *api.Query, wait time.Duration) Reply {
	body, err := json.Marshal(q)
	if err != nil {
		return Reply{}
	}
	ctx, cancel := context.WithTimeout(ctx, wait+replyMargin)
	defer cancel()
	for range b.addrs {
		reply, err := b.send(ctx, b.choose(), body)
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" && ctx.Err() == nil {
			continue
		}
		return reply
	}
	return Reply{}
}

func (b *balancer) send(ctx context.Context, addr netip.AddrPort, body []byte) (Reply, error) {
	url := "http://" + addr.String() + api.PathQuery
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := b.http.Do(r)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Reply{}, err
	}
	return decodeReply(resp.StatusCode, data)
}

func decodeReply(status int, data []byte) (Reply, error) {
	if status == http.StatusOK {
		answer := &api.Answer{}
		if err := json.Unmarshal(data, answer); err != nil {
			return Reply{}, err
		}
		return Reply{Answer: answer}, nil
	}
	refusal := &api.Refusal{}
	if err := json.Unmarshal(data, refusal); err != nil {
		return Reply{}, err
	}
	refusal.Status = status
	return Reply{Refusal: refusal}, nil
}
