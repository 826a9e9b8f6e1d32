package state_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/controltest"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// applier applies commands at increasing indexes and at its own time.
type applier struct {
	s     *state.State
	index uint64
	now   time.Time
}

func newApplier(l state.Limits) *applier {
	return &applier{s: state.New(l), now: time.UnixMilli(1_000_000)}
}

func (a *applier) do(c state.Command) any {
	a.index++
	return a.s.Apply(a.index, c.Encode(a.now))
}

func (a *applier) claim(c state.Claim) *pb.ClaimReply {
	return a.do(state.Command{Claims: []state.Claim{c}}).([]*pb.ClaimReply)[0]
}

func (a *applier) submit(number string, spec api.IntentSpec) *state.Result {
	return a.do(state.Command{Number: number, Submit: &state.Submit{Spec: spec}}).(*state.Result)
}

func (a *applier) confirm(number string, in *api.Intent) *state.Result {
	return a.do(state.Command{Number: number, Confirm: &state.Confirm{
		Plan: in.Plan.ID, Base: in.Plan.Base,
	}}).(*state.Result)
}

func (a *applier) deploy() {
	r := a.submit("deploy", api.IntentSpec{
		Kind: api.IntentConfigure, Deployment: controltest.Deployment(5, 3, dcs...),
	})
	a.confirm("deploy-confirm", r.Intent)
}

// Evicting a key younger than MinKeyAge would let a resend run its request a
// second time. Claims beyond the limit are refused until the oldest key is old
// enough.
func TestKeysYoungerThanMinAgeAreKept(t *testing.T) {
	l := limits
	l.Keys, l.MinKeyAge = 3, time.Minute
	a := newApplier(l)
	key := func(i int) state.Claim { return state.Claim{Key: fmt.Sprint(i), VM: "vm"} }
	for i := range 3 {
		if got := a.claim(key(i)).GetStatus(); got != pb.ClaimStatus_CLAIM_STATUS_GRANTED {
			t.Fatalf("key %d: %v", i, got)
		}
	}
	if got := a.claim(key(3)).GetStatus(); got != pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE {
		t.Fatalf("a key beyond the limit: %v", got)
	}
	if got := a.claim(key(0)).GetStatus(); got != pb.ClaimStatus_CLAIM_STATUS_HELD {
		t.Fatalf("the oldest key: %v", got)
	}
	a.now = a.now.Add(l.MinKeyAge)
	if got := a.claim(key(3)).GetStatus(); got != pb.ClaimStatus_CLAIM_STATUS_GRANTED {
		t.Fatalf("once the oldest key has reached MinKeyAge: %v", got)
	}
}

// A settled key whose outcome was dropped to save memory must stay claimed:
// granting it again would run the request twice.
func TestKeyWithDroppedOutcomeIsNeverGrantedAgain(t *testing.T) {
	l := limits
	l.OutcomeBytes = 10
	a := newApplier(l)
	for i := range 3 {
		c := state.Claim{Key: fmt.Sprint(i), VM: "vm"}
		a.claim(c)
		c.Settle, c.Outcome = true, []byte("six...")
		a.claim(c)
	}
	want := []pb.ClaimStatus{
		pb.ClaimStatus_CLAIM_STATUS_HELD, pb.ClaimStatus_CLAIM_STATUS_HELD, pb.ClaimStatus_CLAIM_STATUS_SETTLED,
	}
	for i, w := range want {
		if got := a.claim(state.Claim{Key: fmt.Sprint(i), VM: "other"}).GetStatus(); got != w {
			t.Errorf("key %d: %v, want %v", i, got, w)
		}
	}
}

// A resend of a command must return the first outcome, as long as its number is
// among the most recent ones.
func TestCommandNumbersAreRememberedUpToTheLimit(t *testing.T) {
	l := limits
	l.Commands = 2
	a := newApplier(l)
	a.deploy()
	spec := api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: dcs[0]}
	first := a.submit("one", spec)
	if again := a.submit("one", spec); again.FirstUse || again.Intent.ID != first.Intent.ID {
		t.Fatalf("a resend created intent %s after %s", again.Intent.ID, first.Intent.ID)
	}
	a.submit("two", spec)
	a.submit("three", spec)
	if again := a.submit("one", spec); !again.FirstUse {
		t.Fatal("more command numbers are kept than the limit allows")
	}
}

// A take-out with a return time ends at that time without an operator, and
// plans made before the return must then be refused as conflicting.
func TestAutomaticReturnInvalidatesOlderPlans(t *testing.T) {
	a := newApplier(limits)
	a.deploy()
	out := a.submit("out", api.IntentSpec{
		Kind: api.IntentTakeOut, DataCentre: dcs[0], ReturnAt: a.now.Add(time.Second).UTC(),
	})
	a.confirm("out-confirm", out.Intent)
	plan := a.submit("next", api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: dcs[1], Overrides: []api.PlanReason{api.PlanInsufficientCapacity}})
	if plan.Intent.State != api.IntentPlanned {
		t.Fatalf("plan: %+v", plan.Intent.Plan.Refusals)
	}
	a.do(state.Command{Return: true})
	if _, quiet := a.s.View().QuietDCs[dcs[0]]; !quiet {
		t.Fatal("returned before its time")
	}
	a.now = a.now.Add(time.Second)
	a.do(state.Command{Return: true})
	if _, quiet := a.s.View().QuietDCs[dcs[0]]; quiet {
		t.Fatal("not returned")
	}
	in, _ := a.s.Intent(out.Intent.ID)
	if !in.Outcome.ReturnedAt.Equal(a.now) {
		t.Errorf("returned at %v", in.Outcome.ReturnedAt)
	}
	late := a.confirm("next-confirm", plan.Intent)
	if late.Refusal == nil || late.Refusal.Code != api.CodeConflict || late.Refusal.Conflict.Intent != in.ID {
		t.Errorf("confirming a plan made before the return: %+v", late.Refusal)
	}
}

// A malformed entry must not change the state beyond its index.
func TestMalformedEntryChangesNothing(t *testing.T) {
	a := newApplier(limits)
	a.deploy()
	before := a.s.View()
	a.index++
	if _, ok := a.s.Apply(a.index, []byte("{")).(*state.MalformedEntryError); !ok {
		t.Fatal("no *MalformedEntryError")
	}
	if after := a.s.View(); after.Index != a.index || after.ConfigVersion != before.ConfigVersion {
		t.Fatalf("view %+v", after)
	}
}
