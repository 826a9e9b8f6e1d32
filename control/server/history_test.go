package server_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/admin"
	"github.com/peridotmux/peridotmux/control/adminclient"
	"github.com/peridotmux/peridotmux/control/controltest"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

const (
	historyTime  = 1500 * time.Millisecond
	checkTimeout = 30 * time.Second
	forever      = int64(1) << 62
)

// disturb changes the leader and loses answers until ctx ends.
func disturb(ctx context.Context, group *controltest.Group, members int) {
	r := rand.New(rand.NewPCG(1, 2))
	for n := 0; ctx.Err() == nil; n++ {
		if n%8 == 7 {
			group.SetLeader(r.IntN(members))
		}
		group.LoseResponses(r.IntN(members), 1+r.IntN(2), r.IntN(2) == 0)
		time.Sleep(10 * time.Millisecond)
	}
	group.SetLeader(0)
}

// recorder gathers the operations of concurrent clients.
type recorder struct {
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (r *recorder) now() int64 { return int64(time.Since(r.start)) }

func (r *recorder) add(client int, input any, call int64, output any, end int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: end})
}

type claimInput struct {
	key             string
	token           uint64
	settle, release bool
	outcome         string
}

type claimOutput struct {
	status  pb.ClaimStatus
	outcome string
}

type claimState struct {
	token   uint64
	settled bool
	outcome string
}

// claimModel is one key: nobody's, held by a token, or settled.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(claimInput).key
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return claimState{} },
	Step: func(s, i, o any) (bool, any) {
		want, next := claimStep(s.(claimState), i.(claimInput))
		got := o.(claimOutput)
		return got.status == pb.ClaimStatus_CLAIM_STATUS_UNKNOWN || got == want, next
	},
	DescribeOperation: func(i, o any) string { return fmt.Sprintf("%+v -> %+v", i, o) },
}

func claimStep(s claimState, q claimInput) (claimOutput, claimState) {
	status := func(c pb.ClaimStatus) claimOutput { return claimOutput{status: c} }
	settled := claimOutput{pb.ClaimStatus_CLAIM_STATUS_SETTLED, s.outcome}
	mine := s.token == q.token
	switch {
	case q.release && mine && !s.settled:
		return status(pb.ClaimStatus_CLAIM_STATUS_GRANTED), claimState{}
	case q.release && s.token == 0:
		return status(pb.ClaimStatus_CLAIM_STATUS_GRANTED), s
	case q.release, q.settle && !mine:
		return status(pb.ClaimStatus_CLAIM_STATUS_CONFLICT), s
	case q.settle && !s.settled:
		s.settled, s.outcome = true, q.outcome
		return claimOutput{pb.ClaimStatus_CLAIM_STATUS_SETTLED, q.outcome}, s
	case q.settle, s.settled:
		return settled, s
	case s.token == 0:
		return status(pb.ClaimStatus_CLAIM_STATUS_GRANTED), claimState{token: q.token}
	case mine:
		return status(pb.ClaimStatus_CLAIM_STATUS_GRANTED), s
	default:
		return status(pb.ClaimStatus_CLAIM_STATUS_HELD), s
	}
}

// claimer is one router that claims, then settles or gives up, and asks again
// for what it can't tell.
type claimer struct {
	id       int
	links    []*rpc.ClaimLink
	recorder *recorder
	tokens   *atomic.Uint64
	random   *rand.Rand
	// run counts the runs of each key whose claim was granted and not given up.
	run func(key string)
}

func (c *claimer) ask(ctx context.Context, in claimInput) claimOutput {
	q := &pb.ClaimRequest{
		Key: in.key, Vm: fmt.Sprint("vm-", c.id), Token: in.token,
		Settle: in.settle, Release: in.release, Outcome: []byte(in.outcome),
	}
	call := c.recorder.now()
	r, err := c.links[c.random.IntN(len(c.links))].Call(ctx, q, nil)
	if err != nil {
		c.recorder.add(c.id, in, call, claimOutput{status: pb.ClaimStatus_CLAIM_STATUS_UNKNOWN}, forever)
		return claimOutput{status: pb.ClaimStatus_CLAIM_STATUS_UNKNOWN}
	}
	out := claimOutput{r.GetStatus(), string(r.GetOutcome())}
	switch out.status {
	case pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE:
	case pb.ClaimStatus_CLAIM_STATUS_UNKNOWN:
		c.recorder.add(c.id, in, call, out, forever)
	default:
		c.recorder.add(c.id, in, call, out, c.recorder.now())
	}
	return out
}

func (c *claimer) loop(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		in := claimInput{key: fmt.Sprint("k", n/4), token: c.tokens.Add(1)}
		got := c.ask(ctx, in)
		for try := 0; try < 3 && got.status == pb.ClaimStatus_CLAIM_STATUS_UNKNOWN; try++ {
			got = c.ask(ctx, in)
		}
		if got.status != pb.ClaimStatus_CLAIM_STATUS_GRANTED {
			continue
		}
		in.release = c.random.IntN(3) == 0
		if !in.release {
			c.run(in.key)
			in.settle, in.outcome = true, fmt.Sprint("by ", c.id)
		}
		c.ask(ctx, in)
		time.Sleep(time.Duration(c.random.IntN(2000)) * time.Microsecond)
	}
}

func TestClaimsAreLinearizable(t *testing.T) {
	group, peers := startGroup(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), historyTime)
	defer cancel()
	rec := &recorder{start: time.Now()}
	var tokens atomic.Uint64
	var mu sync.Mutex
	runs := map[string]int{}
	var wg sync.WaitGroup
	for id := range 5 {
		c := &claimer{
			id: id, recorder: rec, tokens: &tokens, random: rand.New(rand.NewPCG(7, uint64(id))),
			run: func(key string) {
				mu.Lock()
				defer mu.Unlock()
				runs[key]++
			},
		}
		for _, p := range peers {
			link := rpc.NewClaimLink(netip.MustParseAddrPort(p.RPC))
			t.Cleanup(link.Close)
			c.links = append(c.links, link)
		}
		wg.Go(func() { c.loop(ctx) })
	}
	disturb(ctx, group, len(peers))
	wg.Wait()
	for key, n := range runs {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
	if len(rec.ops) < 100 {
		t.Errorf("only %d operations", len(rec.ops))
	}
	if got := porcupine.CheckOperationsTimeout(claimModel, rec.ops, checkTimeout); got != porcupine.Ok {
		t.Errorf("%d operations: %s", len(rec.ops), got)
	}
}

type registerInput struct {
	confirm bool
	base    uint64
}

type registerOutput struct {
	won  bool
	base uint64
}

// registerModel is the configuration: a confirmation names the base version
// that it replaces.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(s, i, o any) (bool, any) {
		base, in, out := s.(uint64), i.(registerInput), o.(registerOutput)
		switch {
		case !in.confirm:
			return out.base == base, base
		case out.won:
			return in.base == base && out.base > base, out.base
		default:
			return in.base != base && out.base == base, base
		}
	},
	DescribeOperation: func(i, o any) string { return fmt.Sprintf("%+v -> %+v", i, o) },
}

func newConfigure(budget float64) api.IntentSpec {
	d := controltest.Deployment(2, 2, "bern-a", "olten-b")
	d.HedgeBudget = budget
	return api.IntentSpec{Kind: api.IntentConfigure, Deployment: d}
}

// operate states and confirms configurations until ctx ends.
func operate(ctx context.Context, client *adminclient.Client, id int, rec *recorder, wins *atomic.Int64) error {
	for n := 0; ctx.Err() == nil; n++ {
		call := rec.now()
		in, err := client.Submit(context.Background(), &api.Submission{
			Command: fmt.Sprintf("s-%d-%d", id, n), Intent: newConfigure(float64(id*10_000+n+1) / 1e6),
		})
		if err != nil {
			return err
		}
		rec.add(id, registerInput{}, call, registerOutput{base: in.Plan.Base}, rec.now())
		call = rec.now()
		confirmed, err := client.Confirm(context.Background(), in.Plan.ID, &api.Confirmation{
			Command: fmt.Sprintf("c-%d-%d", id, n), Base: in.Plan.Base,
		})
		input := registerInput{confirm: true, base: in.Plan.Base}
		var refusal *api.Refusal
		switch {
		case err == nil:
			wins.Add(1)
			rec.add(id, input, call, registerOutput{true, confirmed.Outcome.AcceptedIndex}, rec.now())
		case errors.As(err, &refusal) && refusal.Conflict != nil:
			rec.add(id, input, call, registerOutput{false, refusal.Conflict.Base}, rec.now())
		default:
			return err
		}
	}
	return nil
}

func TestConfigurationIsALinearizableRegister(t *testing.T) {
	group, peers := startGroup(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), historyTime)
	defer cancel()
	rec := &recorder{start: time.Now()}
	var wins atomic.Int64
	var wg sync.WaitGroup
	for id := range 4 {
		var addrs []string
		for i := range peers {
			addrs = append(addrs, peers[(id+i)%len(peers)].HTTP)
		}
		wg.Go(func() {
			if err := operate(ctx, adminclient.New(addrs), id, rec, &wins); err != nil {
				t.Errorf("operator %d: %v", id, err)
			}
		})
	}
	disturb(ctx, group, len(peers))
	wg.Wait()
	if got := porcupine.CheckOperationsTimeout(registerModel, rec.ops, checkTimeout); got != porcupine.Ok {
		t.Errorf("%d operations: %s", len(rec.ops), got)
	}
	if wins.Load() < 5 || int(wins.Load()) == len(rec.ops)/2 {
		t.Errorf("%d of %d confirmations won; the race shows nothing", wins.Load(), len(rec.ops)/2)
	}
}

func TestResendAfterALostAnswerAndALeaderChangeGetsTheFirstOutcome(t *testing.T) {
	group, peers := startGroup(t, 3)
	submit := func(peer admin.Peer) (int, api.Intent) {
		var in api.Intent
		return call(t, http.MethodPost, peer.HTTP, api.PathIntents,
			&api.Submission{Command: "once", Intent: newConfigure(0.5)}, &in), in
	}
	group.LoseResponses(0, 1, true)
	if status, _ := submit(peers[0]); status != http.StatusGatewayTimeout {
		t.Fatalf("a lost answer: %d", status)
	}
	group.SetLeader(1)
	status, first := submit(peers[2])
	if status != http.StatusOK || first.State != api.IntentPlanned {
		t.Fatalf("the resend: %d %+v", status, first)
	}
	if _, again := submit(peers[0]); again.ID != first.ID {
		t.Errorf("another resend made %s after %s", again.ID, first.ID)
	}
	var list api.IntentList
	call(t, http.MethodGet, peers[0].HTTP, api.PathIntents, nil, &list)
	if len(list.Intents) != 1 {
		t.Errorf("%d intents", len(list.Intents))
	}
	var f api.Refusal
	status = call(t, http.MethodPost, peers[0].HTTP, api.PathIntents,
		&api.Submission{Command: "once", Intent: newConfigure(0.6)}, &f)
	if status != http.StatusConflict || f.Code != api.CodeCommandReused {
		t.Errorf("another command with the number: %d %+v", status, f)
	}
}

func TestMembersWithoutALeaderRefuseTruly(t *testing.T) {
	group, peers := startGroup(t, 2)
	group.SetLeader(-1)
	var f api.Refusal
	status := call(t, http.MethodPost, peers[0].HTTP, api.PathIntents,
		&api.Submission{Command: "c", Intent: newConfigure(0.5)}, &f)
	if status != http.StatusServiceUnavailable || f.Code != api.CodeNotLeader || f.Execution != api.NotRun {
		t.Errorf("a change: %d %+v", status, f)
	}
	var s api.Status
	if status := call(t, http.MethodGet, peers[0].HTTP, api.PathStatus, nil, &s); status != http.StatusOK || !s.Stale {
		t.Errorf("status: %d, stale %t", status, s.Stale)
	}
}

func TestUnknownPathsAreRefusedWithAType(t *testing.T) {
	_, peers := startGroup(t, 1)
	for _, path := range []string{"/nope", "/v1/nope", "/v1/status/x"} {
		var f api.Refusal
		if status := call(t, http.MethodGet, peers[0].HTTP, path, nil, &f); status != http.StatusNotFound || f.Code != api.CodeNotFound {
			t.Errorf("%s: %d %+v", path, status, f)
		}
	}
}
