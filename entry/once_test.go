package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/internal/faketarget"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

const order = `{"kind":"order","request_key":"k1","body":{"order":1}}`

// startsOfShards counts the starts at the targets of each shard.
func (w *whole) startsOfShards() map[topology.ShardID]int {
	top := w.board.View().Topology
	out := make(map[topology.ShardID]int)
	for id, started := range w.starts(top) {
		out[top.Target(id).Shard] += len(started)
	}
	return out
}

func (w *whole) ranAtMostOnce(t *testing.T) {
	t.Helper()
	for shard, n := range w.startsOfShards() {
		if n > 1 {
			t.Errorf("%s ran %d times", shard, n)
		}
	}
}

func TestResendGetsTheRecordedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWhole(t, small, faketarget.Steady(20*time.Millisecond, 3))
		first, f := ask(t, w.entry, order)
		if f != nil || !first.Complete || first.Recorded {
			t.Fatalf("got %+v, %+v", first, f)
		}
		again, f := ask(t, w.newEntry(), order)
		if f != nil || !again.Recorded || again.RequestID != first.RequestID || again.Covered != 3 {
			t.Errorf("the resend got %+v, %+v", again, f)
		}
		_, f = ask(t, w.entry, `{"kind":"order","request_key":"k1","body":{"order":2}}`)
		if f == nil || f.Code != api.CodeKeyConflict || f.Execution != api.NotRun {
			t.Errorf("another body with the key got %+v", f)
		}
		w.ranAtMostOnce(t)
	})
}

func TestResendWhileTheFirstRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWhole(t, small, faketarget.Steady(100*time.Millisecond, 3))
		go func() { _, _ = ask(t, w.entry, order) }()
		time.Sleep(50 * time.Millisecond)
		_, f := ask(t, w.newEntry(), order)
		if f == nil || f.Code != api.CodeKeyHeld || f.Execution != api.OutcomeUnknown {
			t.Errorf("got %+v", f)
		}
		time.Sleep(time.Second)
		w.ranAtMostOnce(t)
	})
}

func TestClaimThatFailsRunsNothing(t *testing.T) {
	for _, status := range []pb.ClaimStatus{
		pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE, pb.ClaimStatus_CLAIM_STATUS_UNKNOWN, pb.ClaimStatus_CLAIM_STATUS_UNSPECIFIED,
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newWhole(t, small, faketarget.Steady(20*time.Millisecond, 3))
			w.claims.entries["k1"] = nil
			w.claims.status = status
			if status == 0 {
				w.claims.status = -1
			}
			_, f := ask(t, w.entry, order)
			if f == nil || f.Code != api.CodeControlAway || f.Execution != api.OutcomeUnknown {
				t.Errorf("%v: got %+v", status, f)
			}
			w.nothingRan(t)
		})
	}
}

// TestRouterLostAtEachPoint loses the entry after the claim, the hand-over or
// the answer: its claim is never settled. A resend must not run it again.
func TestRouterLostAtEachPoint(t *testing.T) {
	points := map[string]func(*whole, topology.VMName, *pb.SubRequest, *pb.SubReply) *pb.SubReply{
		"after the hand-over": func(_ *whole, _ topology.VMName, q *pb.SubRequest, r *pb.SubReply) *pb.SubReply {
			if q.GetIndexVersion() != 0 && q.GetShard() == "g/001" {
				return nil
			}
			return r
		},
		"after the answer": func(_ *whole, _ topology.VMName, _ *pb.SubRequest, r *pb.SubReply) *pb.SubReply { return r },
	}
	for name, hook := range points {
		synctest.Test(t, func(t *testing.T) {
			w := newWhole(t, small, faketarget.Steady(20*time.Millisecond, 3))
			w.claims.failSettle = true
			w.hook = func(vm topology.VMName, q *pb.SubRequest, r *pb.SubReply) *pb.SubReply { return hook(w, vm, q, r) }
			ask(t, w.entry, order)
			_, f := ask(t, w.newEntry(), order)
			if f == nil || f.Code != api.CodeKeyHeld || f.Execution != api.OutcomeUnknown {
				t.Errorf("%s: the resend got %+v", name, f)
			}
			w.ranAtMostOnce(t)
			time.Sleep(time.Minute) // The tries to settle end.
		})
	}
	synctest.Test(t, func(t *testing.T) {
		w := newWhole(t, small, faketarget.Steady(20*time.Millisecond, 3))
		if _, err := w.claims.Claim(t.Context(), "k1", 0); err != nil {
			t.Fatal(err)
		}
		w.claims.entries["k1"] = &claimEntry{hash: w.hashOf(t)}
		_, f := ask(t, w.newEntry(), order)
		if f == nil || f.Execution != api.OutcomeUnknown {
			t.Errorf("after the claim: the resend got %+v", f)
		}
		w.nothingRan(t)
	})
}

// hashOf learns the hash that an entry claims the order with.
func (w *whole) hashOf(t *testing.T) uint64 {
	t.Helper()
	probe := &claimBook{entries: make(map[string]*claimEntry), status: pb.ClaimStatus_CLAIM_STATUS_HELD}
	w.claims = probe
	ask(t, w.newEntry(), order)
	return probe.lastHash
}

// TestFailedShardsOfAnOrderAreNotRetried loses the connection to a target after
// the start, and lets another one refuse before it.
func TestFailedShardsOfAnOrderAreNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWhole(t, small, func(tg *topology.Target) *faketarget.Target {
			f := faketarget.Steady(20*time.Millisecond, 3)(tg)
			switch {
			case tg.Shard == "g/000":
				f.ResetConnections = true
			case tg.ID == "g/001-0":
				f.OverrideOutcome = func(target.Search) (target.Outcome, bool) {
					return target.Outcome{Status: target.NotStarted, Reason: target.ReasonShed, Process: 1, TargetDone: true}, true
				}
			}
			return f
		})
		a, f := ask(t, w.entry, order)
		if f != nil || a.Covered != 2 || a.Missing[0] != (api.MissingShard{Shard: "g/000", Reason: api.MissingTargetError}) {
			t.Errorf("got %+v, %+v", a, f)
		}
		w.ranAtMostOnce(t)
	})
}

func TestNotRunIsTrue(t *testing.T) {
	cases := []struct {
		name string
		out  target.Outcome
		want api.Execution
	}{
		{"all shed", target.Outcome{Status: target.NotStarted, Reason: target.ReasonShed, TargetDone: true}, api.NotRun},
		{"all lost", target.Outcome{Status: target.Unknown, Reason: target.ReasonConnectionLost}, api.OutcomeUnknown},
	}
	for _, c := range cases {
		for _, body := range []string{order, `{"kind":"wide"}`} {
			synctest.Test(t, func(t *testing.T) {
				w := newWhole(t, small, func(tg *topology.Target) *faketarget.Target {
					f := faketarget.Steady(20*time.Millisecond, 3)(tg)
					f.OverrideOutcome = func(target.Search) (target.Outcome, bool) { return c.out, true }
					return f
				})
				_, f := ask(t, w.entry, body)
				if f == nil || f.Execution != c.want {
					t.Errorf("%s: got %+v", c.name, f)
				}
			})
		}
	}
}
