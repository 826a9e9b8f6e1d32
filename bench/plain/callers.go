package plain

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

// idleConnections is the maximum number of idle connections per router.
const idleConnections = 512

// RouterCaller sends queries to routers in round-robin order. It is safe for
// concurrent use.
type RouterCaller struct {
	addrs  []string
	kind   topology.KindName
	client *http.Client
}

// NewRouterCaller returns a Caller that sends queries of the given kind, each to
// all shards, to the routers at addrs.
func NewRouterCaller(addrs []string, kind topology.KindName) *RouterCaller {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections}
	return &RouterCaller{addrs: addrs, kind: kind, client: &http.Client{Transport: transport}}
}

// Call implements Caller.
func (r *RouterCaller) Call(ctx context.Context, n int) (covered, asked int, err error) {
	body, err := json.Marshal(&api.Query{Kind: r.kind, Body: searchBody(n)})
	if err != nil {
		return 0, 0, err
	}
	url := "http://" + r.addrs[n%len(r.addrs)] + api.PathQuery
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	a := &api.Answer{}
	if err := json.NewDecoder(resp.Body).Decode(a); err != nil {
		return 0, 0, err
	}
	return a.Covered, a.Asked, nil
}

// DirectCaller sends the searches of a query to one random replica of each shard,
// without a router. It is safe for concurrent use.
type DirectCaller struct {
	index  *topology.Index
	client *target.Client
	// timeout is the time limit of each query, the deadline of its kind.
	timeout  time.Duration
	attempts atomic.Uint64
}

// NewDirectCaller returns a Caller that sends searches to the targets of d. It
// returns an UnknownKindError if d has no such kind.
func NewDirectCaller(d *topology.Deployment, kind topology.KindName) (*DirectCaller, error) {
	x := topology.NewIndex(d)
	k := x.Kind(kind)
	if k == nil {
		return nil, &UnknownKindError{Kind: kind}
	}
	return &DirectCaller{index: x, client: target.NewClient(target.Options{}), timeout: k.Deadline}, nil
}

// UnknownKindError reports a kind of query that the deployment doesn't have.
type UnknownKindError struct {
	Kind topology.KindName
}

// Error implements error.
func (e *UnknownKindError) Error() string { return "the deployment has no kind " + string(e.Kind) }

// Call implements Caller.
func (d *DirectCaller) Call(ctx context.Context, n int) (covered, asked int, err error) {
	deadline := time.Now().Add(d.timeout)
	shards := d.index.Shards()
	var merged atomic.Int64
	var all sync.WaitGroup
	for _, s := range shards {
		all.Go(func() {
			if d.search(ctx, s, n, deadline) {
				merged.Add(1)
			}
		})
	}
	all.Wait()
	return int(merged.Load()), len(shards), nil
}

// search reports whether a random replica of s answered before the deadline.
func (d *DirectCaller) search(ctx context.Context, s topology.ShardID, n int, deadline time.Time) bool {
	replicas := d.index.Replicas(s)
	out := d.client.Search(ctx, target.Search{
		Target:       replicas[rand.IntN(len(replicas))],
		RequestID:    "direct-" + strconv.FormatUint(d.attempts.Add(1), 10),
		IndexVersion: 1,
		Deadline:     deadline,
		Body:         searchBody(n),
	})
	return out.Status == target.OK
}

// searchBody returns the body of the nth query.
func searchBody(n int) []byte { return strconv.AppendInt(nil, int64(n), 10) }
