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

// idleConnections bounds the connections kept to each router.
const idleConnections = 512

// RouterCaller calls routers in turn.
type RouterCaller struct {
	addrs  []string
	kind   topology.KindName
	client *http.Client
}

// NewRouterCaller returns a caller of the routers at addrs for queries of one kind
// to all shards.
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

// DirectCaller calls a random replica of each shard, without a router.
type DirectCaller struct {
	index  *topology.Index
	client *target.Client
	// wait is the deadline of each query.
	wait     time.Duration
	attempts atomic.Uint64
}

// NewDirectCaller returns a caller of the targets of d.
func NewDirectCaller(d *topology.Deployment, kind topology.KindName) (*DirectCaller, error) {
	x := topology.NewIndex(d)
	k := x.Kind(kind)
	if k == nil {
		return nil, &UnknownKindError{Kind: kind}
	}
	return &DirectCaller{index: x, client: target.NewClient(target.Options{}), wait: k.Deadline}, nil
}

// UnknownKindError says that a deployment has no such kind of query.
type UnknownKindError struct {
	Kind topology.KindName
}

// Error describes the failure.
func (e *UnknownKindError) Error() string { return "the deployment has no kind " + string(e.Kind) }

// Call implements Caller.
func (d *DirectCaller) Call(ctx context.Context, n int) (covered, asked int, err error) {
	deadline := time.Now().Add(d.wait)
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

func searchBody(n int) []byte { return strconv.AppendInt(nil, int64(n), 10) }
