package entry

import (
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/internal/faketarget"
	"github.com/peridotmux/peridotmux/topology"
)

// FuzzQuery fuzzes decoding and validation. An accepted query must be within
// its bounds, and any other must get a typed refusal that says that it was not
// run.
func FuzzQuery(f *testing.F) {
	for _, seed := range []string{
		`{"kind":"wide"}`,
		`{"kind":"order","request_key":"k","body":{"a":[1,2]}}`,
		`{"kind":"quick","groups":["g"],"shards":["g/000"],"policy":"latency","min_coverage":0.5,"deadline_ms":100}`,
		`{"kind":"wide","deadline_ms":1e3}`, `{"kind":"wide","deadline_ms":-9223372036854775808}`,
		`{"kind":"wide","min_coverage":1e309}`, `{"KIND":"wide"}`, `[]`, `null`, `{"kind":null}`, "{\"kind\":\"\xff\"}",
		`{"kind":"wide","body":` + "[[[[[[[[]]]]]]]]" + `}`,
	} {
		f.Add([]byte(seed))
	}
	view := &board.View{}
	faketarget.View(faketarget.Shape{Shards: 3, Replicas: 2, Slots: 2, Owners: []topology.VMName{"r"}})(view)
	f.Fuzz(func(t *testing.T, raw []byte) {
		q, refusal := decode(raw)
		var r *request
		if refusal == nil {
			r, refusal = validate(q, view)
		}
		if refusal != nil {
			if refusal.Execution != api.NotRun || refusal.Status < 400 || refusal.Code == "" {
				t.Fatalf("refusal %+v", refusal)
			}
			return
		}
		if r.timeout <= 0 || r.timeout > api.MaxDeadlineMS*time.Millisecond || len(r.shards) == 0 || len(r.shards) > 3 {
			t.Fatalf("request %+v", r)
		}
		if r.minCoverage < 0 || r.minCoverage > 1 || r.atMostOnce && (r.key == "" || len(r.key) > maxKeyBytes) {
			t.Fatalf("request %+v", r)
		}
	})
}
