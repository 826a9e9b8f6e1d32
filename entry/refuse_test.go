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

var small = faketarget.Shape{Shards: 3, Replicas: 3, Slots: 3, ColdLimit: 1, Owners: []topology.VMName{"r1", "r2"}}

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
		w := newWhole(t, small, faketarget.Steady(20*time.Millisecond, 3))
		w.board.Update(func(v *board.View) { v.NonIdempotent = map[topology.KindName]bool{"quick": true} })
		for _, c := range cases {
			_, f := ask(t, w.entry, c.body)
			if f == nil {
				t.Errorf("%s: answered", c.name)
				continue
			}
			if f.Code != c.code || f.Field != c.field || f.Status != c.status || f.Execution != api.NotRun || f.RequestID == "" {
				t.Errorf("%s: got %+v", c.name, f)
			}
		}
		w.nothingRan(t)
	})
}

func (w *whole) starts(top *topology.Index) map[topology.TargetID][]string {
	out := make(map[topology.TargetID][]string)
	for i := range top.Deployment.Targets {
		tg := &top.Deployment.Targets[i]
		w.targets.Edit(tg, func(f *faketarget.Target) {
			if len(f.Started) > 0 {
				out[tg.ID] = append([]string(nil), f.Started...)
			}
		})
	}
	return out
}

func (w *whole) nothingRan(t *testing.T) {
	t.Helper()
	if got := w.starts(w.board.View().Topology); len(got) > 0 {
		t.Errorf("something ran: %v", got)
	}
}

func TestRouterThatMayNotWorkRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWhole(t, small, faketarget.Steady(20*time.Millisecond, 3))
		frozen := entry.New(entry.Config{Board: w.board, Lease: lease.New(time.Now()), Owners: w, Claimer: w.claims})
		unready := entry.New(entry.Config{Board: board.New(), Lease: w.lease, Owners: w, Claimer: w.claims})
		draining := w.newEntry()
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
			if _, f := ask(t, c.server, `{"kind":"wide"}`); f == nil || f.Code != c.code || f.Execution != api.NotRun {
				t.Errorf("%s: got %+v", c.name, f)
			}
			// An earlier send of a keyed request may have run elsewhere.
			if _, f := ask(t, c.server, `{"kind":"order","request_key":"k"}`); f == nil || f.Execution != api.OutcomeUnknown {
				t.Errorf("%s, keyed: got %+v", c.name, f)
			}
		}
		w.nothingRan(t)
	})
}

func TestDrainWaitsForWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWhole(t, small, faketarget.Steady(100*time.Millisecond, 3))
		answered := make(chan *api.Answer, 1)
		go func() {
			a, _ := ask(t, w.entry, `{"kind":"wide"}`)
			answered <- a
		}()
		time.Sleep(50 * time.Millisecond)
		if err := w.entry.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		select {
		case a := <-answered:
			if a == nil || !a.Complete {
				t.Errorf("got %+v", a)
			}
		case <-time.After(time.Millisecond):
			t.Error("the drain didn't wait for the running query")
		}
	})
}

func TestPanicCostsOnlyItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWhole(t, small, faketarget.Steady(20*time.Millisecond, 3))
		w.hook = func(_ topology.VMName, q *pb.SubRequest, r *pb.SubReply) *pb.SubReply {
			if q.GetKind() == "quick" && q.GetShard() == "g/001" {
				panic("bad reply")
			}
			return r
		}
		done := make(chan *api.Answer, 1)
		go func() {
			a, _ := ask(t, w.entry, `{"kind":"wide"}`)
			done <- a
		}()
		if a, _ := ask(t, w.entry, `{"kind":"quick"}`); a == nil || a.Covered != 2 {
			t.Errorf("the request that panics: %+v", a)
		}
		if a := <-done; a == nil || !a.Complete {
			t.Errorf("the other one: %+v", a)
		}
		if got := w.entry.Counters().Panics.Load(); got == 0 {
			t.Error("no panic was counted")
		}
	})
}

// TestForeignRepliesAreDropped mixes up shards, versions and bodies.
func TestForeignRepliesAreDropped(t *testing.T) {
	spoil := map[string]func(*pb.SubReply){
		"another shard's target": func(r *pb.SubReply) { r.Target = "g/001-0" },
		"unknown target":         func(r *pb.SubReply) { r.Target = "x" },
		"another version":        func(r *pb.SubReply) { r.IndexVersion = 9 },
		"not JSON":               func(r *pb.SubReply) { r.Body = []byte(`{"a"`) },
	}
	for name, edit := range spoil {
		synctest.Test(t, func(t *testing.T) {
			w := newWhole(t, small, faketarget.Steady(20*time.Millisecond, 3))
			w.hook = func(_ topology.VMName, q *pb.SubRequest, r *pb.SubReply) *pb.SubReply {
				if q.GetShard() == "g/000" && r.GetStatus() == pb.SubStatus_SUB_STATUS_OK {
					edit(r)
				}
				return r
			}
			a, f := ask(t, w.entry, `{"kind":"wide"}`)
			if f != nil || a.Covered != 2 || len(a.Missing) != 1 || a.Missing[0] != (api.MissingShard{Shard: "g/000", Reason: api.MissingBadAnswer}) {
				t.Errorf("%s: got %+v, %+v", name, a, f)
			}
			if w.entry.Counters().Dropped.Load() == 0 {
				t.Errorf("%s: nothing was counted", name)
			}
		})
	}
}
