package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/entry"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/owner"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

// wholePathReplicas is the number of targets per shard.
const wholePathReplicas = 2

// wholePath is an entry, owners and stub targets in this process. Owners and
// targets are connected over the same sockets as in production.
type wholePath struct {
	ctx     context.Context
	stop    context.CancelFunc
	board   *board.Board
	lease   *lease.Lease
	targets []*stubTarget
	clients []*target.Client
	links   map[topology.VMName]*rpc.OwnerLink
	handler http.Handler
}

// Call implements entry.Owners over the link to vm.
func (w *wholePath) Call(ctx context.Context, vm topology.VMName, q *pb.SubRequest) (*pb.SubReply, error) {
	return w.links[vm].Call(ctx, q, func(id uint64) *pb.SubRequest { return &pb.SubRequest{Id: id, Cancel: true} })
}

// newWholePath starts the targets, the owners and the entry, and returns after
// warmUp.
func newWholePath(shards, owners int) (*wholePath, error) {
	w := &wholePath{board: board.New(), lease: lease.New(time.Now()), links: make(map[topology.VMName]*rpc.OwnerLink)}
	w.ctx, w.stop = context.WithCancel(context.Background())
	d, err := w.startTargets(shards)
	if err != nil {
		return nil, err
	}
	w.board.Update(func(v *board.View) { fillView(v, d, owners) })
	w.lease.Extend(time.Now(), 0)
	go w.renew()
	for i := range owners {
		if err := w.startOwner(routerName(i)); err != nil {
			return nil, err
		}
	}
	w.handler = entry.New(entry.Config{VM: "entry", Board: w.board, Lease: w.lease, Owners: w}).Handler()
	return w, w.warmUp()
}

// fillView sets the deployment, the routers and the assignments of v. The
// replicas of a shard are assigned to consecutive owners.
func fillView(v *board.View, d *topology.Deployment, owners int) {
	v.Index, v.ConfigVersion, v.Topology = 2, 1, topology.NewIndex(d)
	v.Routers = make(map[topology.VMName]board.Router)
	v.Assignments = make(map[topology.TargetID]board.Assignment)
	for i := range owners {
		name := routerName(i)
		v.Routers[name] = board.Router{VM: topology.VM{Name: name}, Version: 1}
	}
	for i, t := range d.Targets {
		turn := i/wholePathReplicas + i%wholePathReplicas
		v.Assignments[t.ID] = board.Assignment{Owner: routerName(turn % owners), Epoch: 2}
	}
}

// startTargets starts the targets of the given number of shards and returns
// their deployment.
func (w *wholePath) startTargets(shards int) (*topology.Deployment, error) {
	g := topology.Group{Name: "archive", Slots: 6, Connections: 110, ColdLimit: 6}
	d := &topology.Deployment{Name: "trial", Region: "r", DataCentres: []topology.DataCentre{"a"}}
	d.Kinds = []topology.Kind{{
		Name: "price-sweep", Weight: 1, Policy: topology.PolicyCoverage, Deadline: 5 * time.Second, Idempotent: true,
	}}
	for i := range shards {
		id := topology.ShardID(fmt.Sprintf("archive/%03d", i))
		g.Shards = append(g.Shards, id)
		for r := range wholePathReplicas {
			t, err := newStubTarget(nil)
			if err != nil {
				return nil, err
			}
			w.targets = append(w.targets, t)
			d.Targets = append(d.Targets, topology.Target{
				ID: topology.TargetID(fmt.Sprintf("%s/%d", id, r)), Shard: id, Group: g.Name, DataCentre: "a",
				Addr: netip.MustParseAddrPort(t.listener.Addr().String()),
			})
		}
	}
	d.Groups = []topology.Group{g}
	return d, nil
}

// startOwner starts an owner on a free loopback port and opens the link to it.
func (w *wholePath) startOwner(name topology.VMName) error {
	l, err := listen()
	if err != nil {
		return err
	}
	c := target.NewClient(target.Options{})
	w.clients = append(w.clients, c)
	o := owner.New(owner.Config{VM: name, Board: w.board, Lease: w.lease, Searcher: c})
	go o.Run(w.ctx)
	go func() {
		_ = rpc.Serve(w.ctx, l, func(m drpc.Mux) error { return pb.DRPCRegisterOwner(m, o) })
	}()
	w.links[name] = rpc.NewOwnerLink(netip.MustParseAddrPort(l.Addr().String()))
	return nil
}

// renew extends the lease at the usual interval until the context is cancelled.
func (w *wholePath) renew() {
	tick := time.NewTicker(lease.RenewInterval)
	defer tick.Stop()
	for {
		w.lease.Extend(time.Now(), 0)
		select {
		case <-w.ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// IncompleteError reports that a query failed or that its answer doesn't cover
// all shards.
type IncompleteError struct {
	// Status is the HTTP status.
	Status int
	Body   string
}

// Error returns the status and the start of the body.
func (e *IncompleteError) Error() string { return fmt.Sprintf("status %d: %.300s", e.Status, e.Body) }

// query sends one query to the entry. It returns an *IncompleteError unless all
// shards answered.
func (w *wholePath) query() error {
	body := `{"kind":"price-sweep","body":{"q":"` + strings.Repeat("u", bodyBytes) + `"}}`
	rec := httptest.NewRecorder()
	w.handler.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, api.PathQuery, strings.NewReader(body)))
	if rec.Code != http.StatusOK || !strings.Contains(rec.Body.String(), `"complete":true`) {
		return &IncompleteError{Status: rec.Code, Body: rec.Body.String()}
	}
	return nil
}

// warmUp repeats a query until all shards answer and then sends 40 more, so
// that the index versions are known and connections are open.
func (w *wholePath) warmUp() error {
	var err error
	for range 50 {
		if err = w.query(); err == nil {
			return inParallel(concurrency, 40, w.query)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

func (w *wholePath) close() {
	w.stop()
	for _, l := range w.links {
		l.Close()
	}
	for _, c := range w.clients {
		c.Close()
	}
	for _, t := range w.targets {
		t.close()
	}
}

// fitWholePath measures the processor time of a query from the entry to the
// targets and back, at the entry, the owners and the targets together.
func fitWholePath(out *measurements) error {
	s := Slope{
		Key: "whole-path", Title: "Entry, 12 owners and targets: processor time a query",
		XLabel: "shards asked", YLabel: "microseconds",
	}
	var err error
	out.WholePath, err = measureSizes(s, []int{24, 48, 96, projectedFanOut}, func(n int) (float64, error) {
		w, err := newWholePath(n, fanOutOwners)
		if err != nil {
			return 0, err
		}
		defer w.close()
		queries := 20_000 / n
		start := processorTime()
		err = inParallel(concurrency, queries, w.query)
		return micros(processorTime()-start) / float64(queries), err
	})
	return err
}
