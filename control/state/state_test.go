package state_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/controltest"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

var limits = state.Limits{
	PlanLifetime: time.Minute, Plans: 1000, Intents: 1000, Commands: 1000,
	Tombstones: 2, Keys: 1000, MinKeyAge: time.Hour, OutcomeBytes: 1 << 20,
}

var dcs = []topology.DataCentre{"bern-a", "olten-b", "aarau-c"}

// history turns numbers into commands, some of them sent again, and runs them
// at the state machine and the naive version.
type history struct {
	now      time.Time
	index    uint64
	sut      *state.State
	naive    *naive
	sent     []state.Command
	plans    []string
	bases    []uint64
	followed map[string]*pb.Record
	applied  uint64
}

func newHistory() *history {
	return &history{
		now: time.UnixMilli(1_000_000), sut: state.New(limits), naive: newNaive(),
		followed: map[string]*pb.Record{},
	}
}

// step runs what a number stands for and returns a difference, if there is one.
func (h *history) step(n uint32) string {
	op, a, b := n%16, int(n>>4%64), int(n>>10%64)
	h.now = h.now.Add(time.Duration(n>>16%64) * 100 * time.Millisecond)
	switch {
	case op == 14:
		return h.restart(a)
	case op == 15 && a%4 > 0:
		return ""
	case op == 15:
		return h.follow()
	}
	return h.run(h.command(op, a, b))
}

func (h *history) command(op uint32, a, b int) state.Command {
	c := state.Command{Number: fmt.Sprintf("c%d", len(h.sent))}
	switch op {
	case 0, 1, 2:
		c.Submit = &state.Submit{Spec: h.spec(a, b)}
	case 3, 4, 5:
		if len(h.plans) > 0 {
			i := len(h.plans) - 1 - a%min(len(h.plans), 4)
			c.Confirm = &state.Confirm{Plan: h.plans[i], Base: h.bases[i]}
			if b%8 == 0 {
				c.Confirm.Base++
			}
			break
		}
		c.Confirm = &state.Confirm{Plan: "p-none"}
	case 6:
		c.Withdraw = &state.Withdraw{Intent: fmt.Sprintf("i-%d", a)}
	case 7:
		if len(h.sent) > 0 {
			c = h.sent[a%len(h.sent)]
			if b%16 == 0 && c.Confirm != nil {
				c.Confirm = &state.Confirm{Plan: "p-other", Base: c.Confirm.Base}
			}
			break
		}
		c.Return = true
	case 8:
		c.Expire, c.Return = b%2 == 0, b%2 == 1
	case 9:
		c.Router = &state.Router{
			VM: vm(a), DataCentre: dcs[a%3], RPCAddr: "127.0.0.1:1", HTTPAddr: "127.0.0.1:2",
			Incarnation: uint64(b % 3), Leaving: b%5 == 0,
		}
	case 10:
		c.RouterLost = &state.RouterLost{VM: vm(a), Incarnation: uint64(b % 3)}
	case 11:
		c.Assign = []state.Assign{{Target: target(a), Owner: vm(b)}, {Target: target(b), Owner: vm(a)}}
	default:
		c.Claims = []state.Claim{claim(a, b), claim(b, a)}
	}
	return c
}

func vm(i int) topology.VMName       { return topology.VMName(fmt.Sprintf("vm-%d", i%4)) }
func target(i int) topology.TargetID { return topology.TargetID(fmt.Sprintf("desk-%04d-%d", i%5, i%3)) }

func kinds(i int) []topology.KindName {
	return []topology.KindName{[]topology.KindName{"sweep", "none"}[i%2]}
}
func targets(i int) []topology.TargetID { return []topology.TargetID{target(i), target(i + 3)} }

func claim(a, b int) state.Claim {
	return state.Claim{
		Key: fmt.Sprintf("k%d", a%5), BodyHash: uint64(b % 8 / 7), VM: "vm", Incarnation: uint64(a % 2),
		Token: uint64(b % 3), Settle: b%4 == 1, Release: b%7 == 2, Outcome: fmt.Append(nil, "o", b),
	}
}

func (h *history) spec(a, b int) api.IntentSpec {
	switch a % 6 {
	case 0:
		s := api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: dcs[b%3]}
		if b%2 == 0 {
			s.ReturnAt = h.now.Add(time.Duration(b) * time.Second).UTC()
		}
		return s
	case 1:
		return api.IntentSpec{Kind: api.IntentTakeOut, Targets: targets(b)}
	case 2:
		return api.IntentSpec{Kind: api.IntentBringBack, DataCentre: dcs[b%3]}
	case 3:
		return api.IntentSpec{Kind: api.IntentLeave, Targets: targets(b)}
	case 4:
		return api.IntentSpec{Kind: api.IntentNonIdempotent, Kinds: kinds(b), Lift: b%3 == 0}
	default:
		d := controltest.Deployment(4+b%2, 3, dcs...)
		d.HedgeBudget = float64(b) / 100
		return api.IntentSpec{Kind: api.IntentConfigure, Deployment: d}
	}
}

func (h *history) run(c state.Command) string {
	data := c.Encode(h.now)
	h.index++
	h.sent = append(h.sent, c)
	view, last := h.sut.View(), h.sut.Index()
	want := h.naive.apply(h.index, &c, view)
	result := h.sut.Apply(h.index, data)
	if r, ok := result.(*state.Result); ok && r.Intent != nil && r.Intent.Plan != nil && r.FirstUse {
		h.plans = append(h.plans, r.Intent.Plan.ID)
		h.bases = append(h.bases, r.Intent.Plan.Base)
	}
	if got := text(result); got != want {
		return fmt.Sprintf("entry %d: got %q, want %q", h.index, got, want)
	}
	if h.sut.Index() <= last || h.sut.View().ConfigVersion < view.ConfigVersion || h.sut.Base() != h.naive.base {
		return fmt.Sprintf("entry %d: a version went back, or base %d isn't %d", h.index, h.sut.Base(), h.naive.base)
	}
	if got, want := viewText(h.sut.View()), h.naive.recordsText(); !maps.Equal(got, want) {
		return fmt.Sprintf("entry %d: records %v, want %v", h.index, got, want)
	}
	return ""
}

// restart goes on with a new state machine from a snapshot. An older snapshot
// must not be taken by the one that runs.
func (h *history) restart(a int) string {
	data, err := h.sut.Snapshot()
	if err != nil {
		return err.Error()
	}
	if a%3 == 0 && h.index > 0 {
		diff := h.run(state.Command{Router: &state.Router{
			VM: vm(a), DataCentre: dcs[0], RPCAddr: "127.0.0.1:1", HTTPAddr: "127.0.0.1:2", Incarnation: 7,
		}})
		if err := h.sut.Restore(h.index-1, data); err == nil || diff != "" {
			return "an old snapshot was taken " + diff
		}
		return ""
	}
	next := state.New(limits)
	if err := next.Restore(h.index, data); err != nil {
		return err.Error()
	}
	h.sut = next
	again, _ := next.Snapshot()
	if string(again) != string(data) {
		return "a snapshot of a restored state differs"
	}
	return ""
}

// follow brings a follower up to date, that may be far behind.
func (h *history) follow() string {
	d := h.sut.Delta(h.applied)
	if d.Snapshot {
		clear(h.followed)
	}
	for _, rec := range d.Records {
		if old, ok := h.followed[rec.GetKey()]; ok && old.GetVersion() >= rec.GetVersion() {
			return fmt.Sprintf("%s went from version %d to %d", rec.GetKey(), old.GetVersion(), rec.GetVersion())
		}
		h.followed[rec.GetKey()] = rec
	}
	h.applied = d.Index
	for key, version := range h.naive.written {
		rec, ok := h.followed[key]
		_, live := h.naive.records[key]
		if live && (!ok || rec.GetDeleted() || rec.GetVersion() != version) {
			return fmt.Sprintf("at %d the follower lacks %s of %d: %v", h.index, key, version, rec)
		}
		if !live && ok && !rec.GetDeleted() {
			return fmt.Sprintf("at %d the follower still has %s", h.index, key)
		}
	}
	return ""
}

func TestStateIsThatOfNaiveVersion(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(20261204)
	p.MinSuccessfulTests = 150
	p.MaxSize = 1
	properties := gopter.NewProperties(p)
	properties.Property("histories with resends and restarts", prop.ForAllNoShrink(func(numbers []uint32) string {
		h := newHistory()
		first := controltest.Deployment(5, 3, dcs...)
		h.run(state.Command{Number: "first", Submit: &state.Submit{
			Spec: api.IntentSpec{Kind: api.IntentConfigure, Deployment: first},
		}})
		h.run(state.Command{Number: "second", Confirm: &state.Confirm{Plan: "p-1"}})
		for _, n := range numbers {
			if diff := h.step(n); diff != "" {
				return diff
			}
		}
		return h.follow()
	}, gen.SliceOfN(150, gen.UInt32())))
	properties.TestingRun(t)
}
