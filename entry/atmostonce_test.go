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

// orderQuery is a non-idempotent query.
const orderQuery = `{"kind":"order","request_key":"k1","body":{"order":1}}`

// startsByShard returns the number of searches started at the targets of each
// shard.
func (h *harness) startsByShard() map[topology.ShardID]int {
	top := h.board.View().Topology
	out := make(map[topology.ShardID]int)
	for id, started := range h.starts(top) {
		out[top.Target(id).Shard] += len(started)
	}
	return out
}

// checkRanAtMostOnce fails the test if a shard was run more than once.
func (h *harness) checkRanAtMostOnce(t *testing.T) {
	t.Helper()
	for shard, n := range h.startsByShard() {
		if n > 1 {
			t.Errorf("shard %s ran %d times, want at most once", shard, n)
		}
	}
}

// A resend with the same key and body, also at another router, must get the
// recorded answer and run nothing. The key must be refused for another body.
func TestResendGetsTheRecordedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, smallShape, faketarget.Steady(20*time.Millisecond, 3))
		first, f := sendQuery(t, h.entry, orderQuery)
		if f != nil || !first.Complete || first.Recorded {
			t.Fatalf("got %+v, %+v", first, f)
		}
		again, f := sendQuery(t, h.newEntry(), orderQuery)
		if f != nil || !again.Recorded || again.RequestID != first.RequestID || again.Covered != 3 {
			t.Errorf("resend got %+v, %+v, want the recorded answer", again, f)
		}
		_, f = sendQuery(t, h.entry, `{"kind":"order","request_key":"k1","body":{"order":2}}`)
		if f == nil || f.Code != api.CodeKeyConflict || f.Execution != api.NotRun {
			t.Errorf("another body with the same key got %+v", f)
		}
		h.checkRanAtMostOnce(t)
	})
}

// A resend that arrives while the first send is running must be refused with an
// unknown outcome and run nothing.
func TestResendWhileFirstSendRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, smallShape, faketarget.Steady(100*time.Millisecond, 3))
		go func() { _, _ = sendQuery(t, h.entry, orderQuery) }()
		time.Sleep(50 * time.Millisecond)
		_, f := sendQuery(t, h.newEntry(), orderQuery)
		if f == nil || f.Code != api.CodeKeyHeld || f.Execution != api.OutcomeUnknown {
			t.Errorf("got %+v", f)
		}
		time.Sleep(time.Second)
		h.checkRanAtMostOnce(t)
	})
}

// If the claim of the key fails or its result is unknown, the query must not
// run, and the refusal must not say that it wasn't run.
func TestFailedClaimRunsNothing(t *testing.T) {
	for _, status := range []pb.ClaimStatus{
		pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE, pb.ClaimStatus_CLAIM_STATUS_UNKNOWN, pb.ClaimStatus_CLAIM_STATUS_UNSPECIFIED,
	} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, smallShape, faketarget.Steady(20*time.Millisecond, 3))
			h.claims.entries["k1"] = nil
			h.claims.status = status
			if status == 0 {
				h.claims.status = -1
			}
			_, f := sendQuery(t, h.entry, orderQuery)
			if f == nil || f.Code != api.CodeControlUnreachable || f.Execution != api.OutcomeUnknown {
				t.Errorf("%v: got %+v", status, f)
			}
			h.checkNothingRan(t)
		})
	}
}

// A router is lost after the claim, after a sub-request was sent or after the
// answer, so that its claim is never settled. A resend must not run the query
// again.
func TestRouterLostAtEachPoint(t *testing.T) {
	points := map[string]func(*harness, topology.VMName, *pb.SubRequest, *pb.SubReply) *pb.SubReply{
		"after a sub-request was sent": func(_ *harness, _ topology.VMName, q *pb.SubRequest, r *pb.SubReply) *pb.SubReply {
			if q.GetIndexVersion() != 0 && q.GetShard() == "g/001" {
				return nil
			}
			return r
		},
		"after the answer": func(_ *harness, _ topology.VMName, _ *pb.SubRequest, r *pb.SubReply) *pb.SubReply { return r },
	}
	for name, hook := range points {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, smallShape, faketarget.Steady(20*time.Millisecond, 3))
			h.claims.failSettle = true
			h.hook = func(vm topology.VMName, q *pb.SubRequest, r *pb.SubReply) *pb.SubReply { return hook(h, vm, q, r) }
			sendQuery(t, h.entry, orderQuery)
			_, f := sendQuery(t, h.newEntry(), orderQuery)
			if f == nil || f.Code != api.CodeKeyHeld || f.Execution != api.OutcomeUnknown {
				t.Errorf("%s: resend got %+v, want a refusal with an unknown outcome", name, f)
			}
			h.checkRanAtMostOnce(t)
			time.Sleep(time.Minute) // Attempts to settle end.
		})
	}
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, smallShape, faketarget.Steady(20*time.Millisecond, 3))
		if _, err := h.claims.Claim(t.Context(), "k1", 0); err != nil {
			t.Fatal(err)
		}
		h.claims.entries["k1"] = &memoryClaim{hash: h.orderHash(t)}
		_, f := sendQuery(t, h.newEntry(), orderQuery)
		if f == nil || f.Execution != api.OutcomeUnknown {
			t.Errorf("after the claim: resend got %+v, want a refusal with an unknown outcome", f)
		}
		h.checkNothingRan(t)
	})
}

// orderHash returns the hash with which an entry claims orderQuery.
func (h *harness) orderHash(t *testing.T) uint64 {
	t.Helper()
	probe := &memoryClaimer{entries: make(map[string]*memoryClaim), status: pb.ClaimStatus_CLAIM_STATUS_HELD}
	h.claims = probe
	sendQuery(t, h.newEntry(), orderQuery)
	return probe.lastHash
}

// A shard of a non-idempotent query must not be retried after its target may
// have started it (here the connection is lost), but must be after a target has
// refused it.
func TestFailedShardsOfAnOrderAreNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, smallShape, func(tg *topology.Target) *faketarget.Target {
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
		a, f := sendQuery(t, h.entry, orderQuery)
		if f != nil || a.Covered != 2 || a.Missing[0] != (api.MissingShard{Shard: "g/000", Reason: api.MissingTargetError}) {
			t.Errorf("got %+v, %+v", a, f)
		}
		h.checkRanAtMostOnce(t)
	})
}

// A refusal must say "not run" only if no target can have started the query, or
// the caller resends a query that has run.
func TestRefusalReportsWhetherTargetsRan(t *testing.T) {
	cases := []struct {
		name string
		out  target.Outcome
		want api.Execution
	}{
		{"all shed", target.Outcome{Status: target.NotStarted, Reason: target.ReasonShed, TargetDone: true}, api.NotRun},
		{"all lost", target.Outcome{Status: target.Unknown, Reason: target.ReasonConnectionLost}, api.OutcomeUnknown},
	}
	for _, c := range cases {
		for _, body := range []string{orderQuery, `{"kind":"wide"}`} {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, smallShape, func(tg *topology.Target) *faketarget.Target {
					f := faketarget.Steady(20*time.Millisecond, 3)(tg)
					f.OverrideOutcome = func(target.Search) (target.Outcome, bool) { return c.out, true }
					return f
				})
				_, f := sendQuery(t, h.entry, body)
				if f == nil || f.Execution != c.want {
					t.Errorf("%s: got %+v", c.name, f)
				}
			})
		}
	}
}
