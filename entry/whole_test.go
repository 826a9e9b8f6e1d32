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

// whole joins an entry with owners over fake targets, without sockets.
type whole struct {
	board   *board.Board
	lease   *lease.Lease
	targets *faketarget.Searcher
	owners  map[topology.VMName]*owner.Owner
	claims  *claimBook
	entry   *entry.Server

	mu   sync.Mutex
	lost map[topology.VMName]bool
	hook func(topology.VMName, *pb.SubRequest, *pb.SubReply) *pb.SubReply
}

const hop = time.Millisecond

func newWhole(t testing.TB, shape faketarget.Shape, maker func(*topology.Target) *faketarget.Target) *whole {
	t.Helper()
	w := &whole{
		board:   board.New(),
		lease:   lease.New(time.Now()),
		targets: faketarget.New(maker),
		owners:  make(map[topology.VMName]*owner.Owner),
		claims:  &claimBook{entries: make(map[string]*claimEntry)},
		lost:    make(map[topology.VMName]bool),
	}
	w.board.Update(faketarget.View(shape))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w.lease.Extend(time.Now(), 0)
	for _, name := range shape.Owners {
		o := owner.New(owner.Config{VM: name, Board: w.board, Lease: w.lease, Searcher: w.targets})
		w.owners[name] = o
		go o.Run(ctx)
	}
	go w.renew(ctx)
	w.entry = w.newEntry()
	return w
}

func (w *whole) newEntry() *entry.Server {
	return entry.New(entry.Config{VM: "e", Board: w.board, Lease: w.lease, Owners: w, Claimer: w.claims})
}

func (w *whole) renew(ctx context.Context) {
	for ctx.Err() == nil {
		w.lease.Extend(time.Now(), 0)
		select {
		case <-ctx.Done():
		case <-time.After(lease.RenewInterval):
		}
	}
}

// Call hands a sub-request over with one hop each way.
func (w *whole) Call(ctx context.Context, vm topology.VMName, q *pb.SubRequest) (*pb.SubReply, error) {
	w.mu.Lock()
	lost, hook := w.lost[vm], w.hook
	w.mu.Unlock()
	if lost {
		return nil, &rpc.ConnectionLostError{Addr: string(vm), Cause: context.Canceled}
	}
	sleep(ctx, hop)
	reply := w.owners[vm].Do(ctx, q)
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

// ask sends one query and returns what came back.
func ask(t testing.TB, s *entry.Server, body string) (*api.Answer, *api.Refusal) {
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

var today = faketarget.Shape{
	Shards: 25, Replicas: 3, Slots: 3, ColdLimit: 1, Owners: []topology.VMName{"r1", "r2", "r3"},
}

func TestQueryCoversEveryShardFromOneSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWhole(t, today, faketarget.Steady(20*time.Millisecond, 3))
		synctest.Wait()
		a, f := ask(t, w.entry, `{"kind":"wide","body":{"q":"urea"}}`)
		if f != nil {
			t.Fatal(f)
		}
		if !a.Complete || a.Covered != 25 || a.Asked != 25 || a.Snapshot != 1 {
			t.Fatalf("got %+v", a)
		}
		for _, r := range a.Results {
			if string(r.Body) != `"`+string(r.Shard)+`"` {
				t.Errorf("shard %s has the body %s", r.Shard, r.Body)
			}
		}
	})
}
