package entry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/entry"
	"github.com/peridotmux/peridotmux/internal/faketarget"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/owner"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// harness connects an entry with owners and fake targets in one process,
// without sockets. hook, if set, may change a reply or drop it by returning
// nil.
type harness struct {
	board   *board.Board
	lease   *lease.Lease
	targets *faketarget.Searcher
	owners  map[topology.VMName]*owner.Owner
	claims  *memoryClaimer
	entry   *entry.Server

	mu   sync.Mutex
	lost map[topology.VMName]bool
	hook func(topology.VMName, *pb.SubRequest, *pb.SubReply) *pb.SubReply
}

// hop is the one-way latency between an entry and an owner.
const hop = time.Millisecond

func newHarness(t testing.TB, shape faketarget.Shape, maker func(*topology.Target) *faketarget.Target) *harness {
	t.Helper()
	h := &harness{
		board:   board.New(),
		lease:   lease.New(time.Now()),
		targets: faketarget.New(maker),
		owners:  make(map[topology.VMName]*owner.Owner),
		claims:  &memoryClaimer{entries: make(map[string]*memoryClaim)},
		lost:    make(map[topology.VMName]bool),
	}
	h.board.Update(faketarget.View(shape))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	h.lease.Extend(time.Now(), 0)
	for _, name := range shape.Owners {
		o := owner.New(owner.Config{VM: name, Board: h.board, Lease: h.lease, Searcher: h.targets})
		h.owners[name] = o
		go o.Run(ctx)
	}
	go h.renew(ctx)
	h.entry = h.newEntry()
	return h
}

func (h *harness) newEntry() *entry.Server {
	return entry.New(entry.Config{VM: "e", Board: h.board, Lease: h.lease, Owners: h, Claimer: h.claims})
}

// renew extends the shared lease until ctx ends.
func (h *harness) renew(ctx context.Context) {
	for ctx.Err() == nil {
		h.lease.Extend(time.Now(), 0)
		select {
		case <-ctx.Done():
		case <-time.After(lease.RenewInterval):
		}
	}
}

// Call implements entry.Owners. It takes one hop each way.
func (h *harness) Call(ctx context.Context, vm topology.VMName, q *pb.SubRequest) (*pb.SubReply, error) {
	h.mu.Lock()
	lost, hook := h.lost[vm], h.hook
	h.mu.Unlock()
	if lost {
		return nil, &rpc.ConnectionLostError{Addr: string(vm), Cause: context.Canceled}
	}
	sleep(ctx, hop)
	reply := h.owners[vm].Do(ctx, q)
	sleep(ctx, hop)
	if hook != nil {
		reply = hook(vm, q, reply)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if reply == nil {
		return nil, &rpc.ConnectionLostError{Addr: string(vm), Sent: true, Cause: context.Canceled}
	}
	return reply, nil
}

func sleep(ctx context.Context, d time.Duration) {
	if d == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sendQuery sends one query and returns its answer or its refusal.
func sendQuery(t testing.TB, s *entry.Server, body string) (*api.Answer, *api.Refusal) {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, api.PathQuery, strings.NewReader(body))
	rec := httptest.NewRecorder()
	s.Handler().ServeHTTP(rec, r)
	if rec.Code == http.StatusOK {
		a := &api.Answer{}
		if err := json.Unmarshal(rec.Body.Bytes(), a); err != nil {
			t.Errorf("bad answer: %v: %s", err, rec.Body)
		}
		return a, nil
	}
	f := &api.Refusal{Status: rec.Code}
	if err := json.Unmarshal(rec.Body.Bytes(), f); err != nil {
		t.Errorf("bad refusal: %v: %s", err, rec.Body)
	}
	return nil, f
}

var wideShape = faketarget.Shape{
	Shards: 25, Replicas: 3, Slots: 3, ColdLimit: 1, Owners: []topology.VMName{"r1", "r2", "r3"},
}

// A query of all shards must get every shard's own body, all from one index
// version.
func TestQueryCoversEveryShardFromOneSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, wideShape, faketarget.Steady(20*time.Millisecond, 3))
		synctest.Wait()
		a, f := sendQuery(t, h.entry, `{"kind":"wide","body":{"q":"urea"}}`)
		if f != nil {
			t.Fatal(f)
		}
		if !a.Complete || a.Covered != 25 || a.Asked != 25 || a.Snapshot != 1 {
			t.Fatalf("got %+v", a)
		}
		for _, r := range a.Results {
			if string(r.Body) != `"`+string(r.Shard)+`"` {
				t.Errorf("shard %s has body %s, want its own ID", r.Shard, r.Body)
			}
		}
	})
}
