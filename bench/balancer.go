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
	// balancerPoll is the interval between readiness probes of a router.
	balancerPoll    = 200 * time.Millisecond
	balancerTimeout = time.Second
	// callerConns is the maximum number of idle connections per router.
	callerConns    = 256
	maxAnswerBytes = 64 << 20
)

// balancer simulates the platform's load balancer: it distributes queries over
// the ready routers in round-robin order.
type balancer struct {
	client      *http.Client
	probeClient *http.Client
	next        atomic.Uint64
	stop        context.CancelFunc
	done        sync.WaitGroup

	mu    sync.Mutex
	addrs []netip.AddrPort
	ready []bool
}

// newBalancer probes the routers at addrs once and starts to watch them.
func newBalancer(addrs []netip.AddrPort) *balancer {
	transport := &http.Transport{MaxIdleConnsPerHost: callerConns, DisableCompression: true}
	ctx, stop := context.WithCancel(context.Background())
	b := &balancer{
		client:      &http.Client{Transport: transport},
		probeClient: &http.Client{Timeout: balancerTimeout, Transport: &http.Transport{}},
		stop:        stop,
		addrs:       append([]netip.AddrPort(nil), addrs...),
		ready:       make([]bool, len(addrs)),
	}
	for i := range addrs {
		b.updateReady(ctx, i)
		b.done.Go(func() { b.watch(ctx, i) })
	}
	return b
}

func (b *balancer) close() {
	b.stop()
	b.done.Wait()
	b.client.CloseIdleConnections()
	b.probeClient.CloseIdleConnections()
}

// replace sets a new address for router i, which is not ready until probed.
func (b *balancer) replace(i int, addr netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addrs[i] = addr
	b.ready[i] = false
}

// watch probes router i at every balancerPoll until ctx ends.
func (b *balancer) watch(ctx context.Context, i int) {
	ticker := time.NewTicker(balancerPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.updateReady(ctx, i)
		}
	}
}

// updateReady probes router i once. The result is dropped if the router got a
// new address meanwhile.
func (b *balancer) updateReady(ctx context.Context, i int) {
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

// isReady reports whether the router at addr reports that it is ready.
func (b *balancer) isReady(ctx context.Context, addr netip.AddrPort) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+api.PathReady, nil)
	if err != nil {
		return false
	}
	resp, err := b.probeClient.Do(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// nextRouter returns the address of the next ready router, or of the next router
// if none is ready.
func (b *balancer) nextRouter() netip.AddrPort {
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

// lateReplyWait is how long a caller waits past its deadline, so that a reply that
// comes late counts as late and not as lost.
const lateReplyWait = 2 * time.Second

// query sends q to a router and returns its reply; the zero Reply means that the
// query was lost: neither an answer nor a refusal came within lateReplyWait of the
// deadline. If a dial fails, the next router is tried, since nothing was sent yet.
func (b *balancer) query(ctx context.Context, q *api.Query, wait time.Duration) Reply {
	body, err := json.Marshal(q)
	if err != nil {
		return Reply{}
	}
	ctx, cancel := context.WithTimeout(ctx, wait+lateReplyWait)
	defer cancel()
	for range b.addrs {
		reply, err := b.send(ctx, b.nextRouter(), body)
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" && ctx.Err() == nil {
			continue
		}
		return reply
	}
	return Reply{}
}

// send posts body to the router at addr.
func (b *balancer) send(ctx context.Context, addr netip.AddrPort, body []byte) (Reply, error) {
	url := "http://" + addr.String() + api.PathQuery
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := b.client.Do(r)
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

// decodeReply decodes an answer if status is 200, otherwise a refusal.
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
