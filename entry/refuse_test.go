package entry_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/entry"
	"github.com/peridotmux/peridotmux/internal/faketarget"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

var smallShape = faketarget.Shape{Shards: 3, Replicas: 3, Slots: 3, ColdLimit: 1, Owners: []topology.VMName{"r1", "r2"}}

// Every invalid query must get the refusal code, the field and the HTTP status
// that callers rely on, and nothing may run.
func TestRefusalsAreTyped(t *testing.T) {
	cases := []struct {
		name, body string
		code       api.Code
		field      string
		status     int
	}{
		{"empty", ``, api.CodeMalformed, "", 400},
		{"not JSON", `{"kind":`, api.CodeMalformed, "", 400},
		{"two queries", `{"kind":"wide"}{"kind":"wide"}`, api.CodeMalformed, "", 400},
		{"unknown field", `{"kind":"wide","hurry":true}`, api.CodeMalformed, "", 400},
		{"wrong type", `{"kind":"wide","deadline_ms":"soon"}`, api.CodeBadField, "deadline_ms", 400},
		{"too large", `{"kind":"wide","body":"` + strings.Repeat("x", api.MaxQueryBytes) + `"}`, api.CodeTooLarge, "", 413},
		{"unknown kind", `{"kind":"narrow"}`, api.CodeUnknownKind, "kind", 400},
		{"unknown group", `{"kind":"wide","groups":["h"]}`, api.CodeUnknownGroup, "groups", 400},
		{"unknown shard", `{"kind":"wide","shards":["g/999"]}`, api.CodeUnknownShard, "shards", 400},
		{"deadline below zero", `{"kind":"wide","deadline_ms":-1}`, api.CodeBadDeadline, "deadline_ms", 400},
		{"absurd deadline", `{"kind":"wide","deadline_ms":10001}`, api.CodeBadDeadline, "deadline_ms", 400},
		{"deadline out of range", `{"kind":"wide","deadline_ms":99999999999999999999}`, api.CodeBadField, "deadline_ms", 400},
		{"unknown policy", `{"kind":"wide","policy":"luck"}`, api.CodeBadField, "policy", 400},
		{"coverage above one", `{"kind":"wide","min_coverage":1.1}`, api.CodeBadField, "min_coverage", 400},
		{"long key", `{"kind":"order","request_key":"` + strings.Repeat("k", 300) + `"}`, api.CodeBadField, "request_key", 400},
		{"no key", `{"kind":"order"}`, api.CodeKeyMissing, "request_key", 400},
		{"no key, loosened", `{"kind":"order","idempotent":true}`, api.CodeKeyMissing, "request_key", 400},
		{"no key, tightened", `{"kind":"wide","idempotent":false}`, api.CodeKeyMissing, "request_key", 400},
		{"no key, declared", `{"kind":"quick","idempotent":true}`, api.CodeKeyMissing, "request_key", 400},
	}
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, smallShape, faketarget.Steady(20*time.Millisecond, 3))
		h.board.Update(func(v *board.View) { v.NonIdempotent = map[topology.KindName]bool{"quick": true} })
		for _, c := range cases {
			_, f := sendQuery(t, h.entry, c.body)
			if f == nil {
				t.Errorf("%s: answered, want a refusal", c.name)
				continue
			}
			if f.Code != c.code || f.Field != c.field || f.Status != c.status || f.Execution != api.NotRun || f.RequestID == "" {
				t.Errorf("%s: got %+v", c.name, f)
			}
		}
		h.checkNothingRan(t)
	})
}

// starts returns the request IDs of the searches started at each target.
func (h *harness) starts(top *topology.Index) map[topology.TargetID][]string {
	out := make(map[topology.TargetID][]string)
	for i := range top.Deployment.Targets {
		tg := &top.Deployment.Targets[i]
		h.targets.Edit(tg, func(f *faketarget.Target) {
			if len(f.Started) > 0 {
				out[tg.ID] = append([]string(nil), f.Started...)
			}
		})
	}
	return out
}

// checkNothingRan fails the test if any target has started a search.
func (h *harness) checkNothingRan(t *testing.T) {
	t.Helper()
	if got := h.starts(h.board.View().Topology); len(got) > 0 {
		t.Errorf("searches started: %v, want none", got)
	}
}

// A router without a lease or a deployment, or one that is draining, must
// refuse queries with Retry-After and run nothing. The refusal of a keyed
// request must say that the outcome is unknown.
func TestUnreadyRouterRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, smallShape, faketarget.Steady(20*time.Millisecond, 3))
		frozen := entry.New(entry.Config{Board: h.board, Lease: lease.New(time.Now()), Owners: h, Claimer: h.claims})
		unready := entry.New(entry.Config{Board: board.New(), Lease: h.lease, Owners: h, Claimer: h.claims})
		draining := h.newEntry()
		if err := draining.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		cases := []struct {
			name   string
			server *entry.Server
			code   api.Code
		}{
			{"no lease", frozen, api.CodeNoLease},
			{"no deployment", unready, api.CodeNotReady},
			{"draining", draining, api.CodeDraining},
		}
		for _, c := range cases {
			rec := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodPost, api.PathQuery, strings.NewReader(`{"kind":"wide"}`))
			c.server.Handler().ServeHTTP(rec, r)
			if rec.Code != 503 || rec.Header().Get("Retry-After") == "" {
				t.Errorf("%s: %d, Retry-After %q", c.name, rec.Code, rec.Header().Get("Retry-After"))
			}
			if _, f := sendQuery(t, c.server, `{"kind":"wide"}`); f == nil || f.Code != c.code || f.Execution != api.NotRun {
				t.Errorf("%s: got %+v", c.name, f)
			}
			// An earlier send of a keyed request may have run elsewhere.
			if _, f := sendQuery(t, c.server, `{"kind":"order","request_key":"k"}`); f == nil || f.Execution != api.OutcomeUnknown {
				t.Errorf("%s, keyed: got %+v", c.name, f)
			}
		}
		h.checkNothingRan(t)
	})
}

// Drain must not return while a query is running, or a shutdown loses its
// answer.
func TestDrainWaitsForRunningQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, smallShape, faketarget.Steady(100*time.Millisecond, 3))
		answered := make(chan *api.Answer, 1)
		go func() {
			a, _ := sendQuery(t, h.entry, `{"kind":"wide"}`)
			answered <- a
		}()
		time.Sleep(50 * time.Millisecond)
		if err := h.entry.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		select {
		case a := <-answered:
			if a == nil || !a.Complete {
				t.Errorf("got %+v", a)
			}
		case <-time.After(time.Millisecond):
			t.Error("Drain returned before the running query was answered")
		}
	})
}

// A panic in one request must not affect another one that runs at the same
// time.
func TestPanicFailsOnlyItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, smallShape, faketarget.Steady(20*time.Millisecond, 3))
		h.hook = func(_ topology.VMName, q *pb.SubRequest, r *pb.SubReply) *pb.SubReply {
			if q.GetKind() == "quick" && q.GetShard() == "g/001" {
				panic("bad reply")
			}
			return r
		}
		done := make(chan *api.Answer, 1)
		go func() {
			a, _ := sendQuery(t, h.entry, `{"kind":"wide"}`)
			done <- a
		}()
		if a, _ := sendQuery(t, h.entry, `{"kind":"quick"}`); a == nil || a.Covered != 2 {
			t.Errorf("request that panics: got %+v, want 2 shards covered", a)
		}
		if a := <-done; a == nil || !a.Complete {
			t.Errorf("other request: got %+v, want a complete answer", a)
		}
		if got := h.entry.Counters().Panics.Load(); got == 0 {
			t.Error("panic wasn't counted")
		}
	})
}

// A reply with another shard's target, another version or an invalid body must
// not become part of an answer.
func TestMismatchedRepliesAreDropped(t *testing.T) {
	corruptions := map[string]func(*pb.SubReply){
		"another shard's target": func(r *pb.SubReply) { r.Target = "g/001-0" },
		"unknown target":         func(r *pb.SubReply) { r.Target = "x" },
		"another version":        func(r *pb.SubReply) { r.IndexVersion = 9 },
		"not JSON":               func(r *pb.SubReply) { r.Body = []byte(`{"a"`) },
	}
	for name, edit := range corruptions {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, smallShape, faketarget.Steady(20*time.Millisecond, 3))
			h.hook = func(_ topology.VMName, q *pb.SubRequest, r *pb.SubReply) *pb.SubReply {
				if q.GetShard() == "g/000" && r.GetStatus() == pb.SubStatus_SUB_STATUS_OK {
					edit(r)
				}
				return r
			}
			a, f := sendQuery(t, h.entry, `{"kind":"wide"}`)
			if f != nil || a.Covered != 2 || len(a.Missing) != 1 || a.Missing[0] != (api.MissingShard{Shard: "g/000", Reason: api.MissingBadAnswer}) {
				t.Errorf("%s: got %+v, %+v", name, a, f)
			}
			if h.entry.Counters().Dropped.Load() == 0 {
				t.Errorf("%s: dropped reply wasn't counted", name)
			}
		})
	}
}
