package service_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/control/controltest"
	"github.com/peridotmux/peridotmux/control/service"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// stream is an in-memory Follow stream.
type stream struct {
	drpc.Stream
	ctx       context.Context
	requests  chan *pb.FollowRequest
	responses chan *pb.FollowResponse
}

func (s *stream) Context() context.Context { return s.ctx }

func (s *stream) Send(r *pb.FollowResponse) error {
	select {
	case s.responses <- r:
		return nil
	case <-s.ctx.Done():
		return io.EOF
	}
}

func (s *stream) Recv() (*pb.FollowRequest, error) {
	select {
	case q := <-s.requests:
		return q, nil
	case <-s.ctx.Done():
		return nil, io.EOF
	}
}

// follower is a fake router: it renews, applies records and maintains its
// lease.
type follower struct {
	vm, dc  string
	lease   *lease.Lease
	svc     *service.Service
	records map[string]*pb.Record

	mu      sync.Mutex
	silent  bool
	applied uint64
	// behind counts responses with records or a confirmation from a member that
	// is behind the router.
	behind int
	// ended receives the error with which the service ended the stream.
	ended chan error
}

// follow starts a follower at a member. applied is the index that it has
// already applied.
func follow(t *testing.T, svc *service.Service, vm, dc string, applied uint64) *follower {
	t.Helper()
	f := &follower{
		vm: vm, dc: dc, svc: svc, lease: lease.New(time.Now()), applied: applied,
		records: make(map[string]*pb.Record), ended: make(chan error, 1),
	}
	ctx, cancel := context.WithCancel(t.Context())
	s := &stream{
		ctx: ctx, requests: make(chan *pb.FollowRequest, 100), responses: make(chan *pb.FollowResponse),
	}
	go func() {
		f.ended <- svc.Follow(s)
		cancel()
	}()
	go f.run(s)
	return f
}

func (f *follower) run(s *stream) {
	tick := time.NewTicker(lease.RenewInterval)
	defer tick.Stop()
	sent := make(map[uint64]time.Time)
	for seq := uint64(1); ; {
		f.mu.Lock()
		if !f.silent {
			sent[seq] = time.Now()
			s.requests <- &pb.FollowRequest{
				Vm: f.vm, Incarnation: 1, Seq: seq, Applied: f.applied, DataCentre: f.dc,
				RpcAddr: "127.0.0.1:1", HttpAddr: "127.0.0.1:2",
			}
			seq++
		}
		f.mu.Unlock()
		for waiting := true; waiting; {
			select {
			case <-s.ctx.Done():
				return
			case <-tick.C:
				waiting = false
			case r := <-s.responses:
				f.apply(r, sent)
			}
		}
	}
}

func (f *follower) apply(r *pb.FollowResponse, sent map[uint64]time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.GetIndex() < f.applied {
		if r.GetConfirmed() || len(r.GetRecords()) > 0 {
			f.behind++
		}
		return
	}
	if r.GetSnapshot() {
		clear(f.records)
	}
	for _, rec := range r.GetRecords() {
		f.records[rec.GetKey()] = rec
	}
	f.applied = r.GetIndex()
	if at, ok := sent[r.GetSeq()]; ok && r.GetConfirmed() {
		f.lease.Extend(at, time.Duration(r.GetConfirmAgeUs())*time.Microsecond)
	}
}

func (f *follower) setSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

// record returns the follower's record of key, or nil if there is none.
func (f *follower) record(key string) *pb.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	rec := f.records[key]
	if rec.GetDeleted() {
		return nil
	}
	return rec
}

// mayStart reports whether the router could start work in the data centre now:
// it has a lease and no quiet record for dc.
func (f *follower) mayStart(dc string) bool {
	return f.lease.Valid(time.Now()) && f.record("quiet-dc/"+dc) == nil
}

// cluster is a group of members on a fake log.
type cluster struct {
	t        *testing.T
	group    *controltest.Group
	states   []*state.State
	services []*service.Service
}

func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	c := &cluster{t: t}
	machines := make([]control.StateMachine, n)
	for i := range n {
		s := state.New(state.DefaultLimits())
		c.states = append(c.states, s)
		machines[i] = s
	}
	c.group = controltest.New(machines...)
	for i := range n {
		c.services = append(c.services, service.New(service.Config{
			Member: string(rune('a' + i)), State: c.states[i], Log: c.group.Member(i),
			Logger: slog.New(slog.DiscardHandler),
		}))
	}
	c.accept(0, api.IntentSpec{Kind: api.IntentConfigure, Deployment: controltest.Deployment(6, 3, "bern-a", "olten-b", "aarau-c")})
	return c
}

// lead runs the leader's controllers until the test ends.
func (c *cluster) lead() {
	ctx, cancel := context.WithCancel(c.t.Context())
	done := make(chan struct{})
	go func() {
		c.services[0].Run(ctx)
		close(done)
	}()
	c.t.Cleanup(func() {
		cancel()
		<-done
	})
}

// accept submits and confirms an intent at member i.
func (c *cluster) accept(i int, spec api.IntentSpec) *api.Intent {
	c.t.Helper()
	in := c.propose(i, &state.Command{Submit: &state.Submit{Spec: spec}})
	return c.propose(i, &state.Command{Confirm: &state.Confirm{Plan: in.Plan.ID, Base: in.Plan.Base}})
}

func (c *cluster) propose(i int, cmd *state.Command) *api.Intent {
	c.t.Helper()
	out, err := c.group.Member(i).Propose(c.t.Context(), cmd.Encode(time.Now()))
	if err != nil {
		c.t.Fatal(err)
	}
	r := out.(*state.Result)
	if r.Refusal != nil {
		c.t.Fatalf("refused: %v %+v", r.Refusal, r.Intent.Plan.Refusals)
	}
	return r.Intent
}

func (c *cluster) intent(i int, id string) api.Intent {
	in, _ := c.states[i].Intent(id)
	return in
}

func takeOut(dc topology.DataCentre, at time.Time) api.IntentSpec {
	return api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: dc, ReturnAt: at}
}
