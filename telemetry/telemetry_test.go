package telemetry_test

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/telemetry"
)

func TestEachPartHasItsLevel(t *testing.T) {
	var out bytes.Buffer
	logs := telemetry.NewLogs(&out, settings.Log{
		Level: slog.LevelInfo,
		Parts: map[settings.Part]slog.Level{settings.PartOwner: slog.LevelDebug, settings.PartEntry: slog.LevelError},
	})
	logs.Logger(settings.PartOwner).Debug("owner line")
	logs.Logger(settings.PartEntry).Warn("entry line")
	logs.Logger(settings.PartRouter).Debug("router line")
	logs.Logger(settings.PartRouter).With("k", 1).Info("router info")
	var messages []string
	for line := range strings.Lines(out.String()) {
		var l struct{ Msg, Part string }
		if err := json.Unmarshal([]byte(line), &l); err != nil {
			t.Fatal(err)
		}
		messages = append(messages, l.Part+": "+l.Msg)
	}
	if got := strings.Join(messages, ", "); got != "owner: owner line, router: router info" {
		t.Fatal(got)
	}
}

func page(t *testing.T, m *telemetry.Metrics) string {
	t.Helper()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, api.PathMetrics, nil))
	return w.Body.String()
}

func TestMetricsPage(t *testing.T) {
	m, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	m.Query.Answered("sweep", 30*time.Millisecond, 3, 4)
	m.Query.Refused("sweep", api.CodeNoLease, api.NotRun)
	m.Query.Missing("sweep", api.MissingLate)
	m.Query.Sent("sweep", 4)
	m.Query.SentExtra("sweep", telemetry.ExtraHedge)
	m.Owner.Served("desk", "ok", time.Millisecond)
	m.Owner.SetSource(func() telemetry.OwnerLoad {
		return telemetry.OwnerLoad{
			Targets: []telemetry.TargetLoad{{Target: "desk/00/a", InFlight: 2, Limit: 3}},
			Queues:  []telemetry.ShardQueue{{Shard: "desk/00", Queued: 5}},
		}
	})
	m.Lease.SetSource(func() telemetry.LeaseState { return telemetry.LeaseState{Left: time.Second, Index: 17} })
	m.Lease.AddBytes(telemetry.Received, 100)
	text := page(t, m)
	for _, want := range []string{
		`peridot_query_latency_seconds_bucket{kind="sweep",le="0.03"} 1`,
		`peridot_query_coverage_bucket{kind="sweep",le="0.75"} 1`,
		`peridot_query_refusals_total{code="no-lease",execution="not run",kind="sweep"} 1`,
		`peridot_query_missing_total{kind="sweep",reason="late"} 1`,
		`peridot_subrequest_first_total{kind="sweep"} 4`,
		`peridot_subrequest_extra_total{kind="sweep",why="hedge"} 1`,
		`peridot_target_in_flight{target="desk/00/a"} 2`,
		`peridot_target_limit{target="desk/00/a"} 3`,
		`peridot_shard_queued{shard="desk/00"} 5`,
		`peridot_lease_left_seconds 1`,
		`peridot_control_traffic_bytes_total{direction="received"} 100`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("no line %s", want)
		}
	}
	if t.Failed() {
		t.Log(text)
	}
}

func TestTwoProcessesInOneHaveTheirOwnMetrics(t *testing.T) {
	a, errA := telemetry.NewMetrics()
	b, errB := telemetry.NewMetrics()
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
	a.Query.Sent("sweep", 1)
	if strings.Contains(page(t, b), "peridot_subrequest_first") {
		t.Fatal("the second process shows the first one's metric")
	}
}

func TestZeroRecordersRecordNothing(*testing.T) {
	var m telemetry.Metrics
	m.Query.Answered("k", time.Second, 1, 1)
	m.Query.Refused("k", api.CodeInternal, api.NotRun)
	m.Query.Missing("k", api.MissingLate)
	m.Query.Sent("k", 1)
	m.Query.SentExtra("k", telemetry.ExtraRetry)
	m.Owner.Served("g", "ok", time.Second)
	m.Owner.SetSource(nil)
	m.Lease.SetSource(nil)
	m.Lease.AddBytes(telemetry.Sent, 1)
}

func TestReadyPageTellsTheReasons(t *testing.T) {
	var reasons []telemetry.UnreadyReason
	h := telemetry.ReadyHandler(func() []telemetry.UnreadyReason { return reasons })
	for _, want := range []struct {
		reasons []telemetry.UnreadyReason
		status  int
	}{
		{nil, http.StatusOK},
		{[]telemetry.UnreadyReason{telemetry.UnreadyNoLease}, http.StatusServiceUnavailable},
	} {
		reasons = want.reasons
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, api.PathReady, nil))
		var body telemetry.Readiness
		err := json.Unmarshal(w.Body.Bytes(), &body)
		if err != nil || w.Code != want.status || len(body.Reasons) != len(reasons) || body.Ready != (len(reasons) == 0) {
			t.Errorf("%d %s", w.Code, w.Body)
		}
	}
}

func quietLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

func serve(t *testing.T, b settings.Bounds, h http.Handler) string {
	t.Helper()
	s := httptest.NewUnstartedServer(nil)
	s.Config = telemetry.NewServer(h, b, quietLog())
	s.Start()
	t.Cleanup(s.Close)
	return s.URL
}

func TestPanicBeforeTheAnswerIsARefusal(t *testing.T) {
	url := serve(t, settings.DefaultBounds, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic("broken")
	}))
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var r api.Refusal
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusInternalServerError || r.Execution != api.OutcomeUnknown {
		t.Fatalf("%d %+v", resp.StatusCode, r)
	}
}

func TestPanicInsideTheAnswerCutsIt(t *testing.T) {
	url := serve(t, settings.DefaultBounds, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half")
		panic("broken")
	}))
	resp, err := http.Get(url)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	if err == nil {
		t.Fatal("half an answer passed for a whole one")
	}
}

func TestLimitRefusesButKeepsHealthPages(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	bounds := settings.DefaultBounds
	bounds.InFlight = 1
	url := serve(t, bounds, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(entered)
			<-leave
		}
	}))
	done := make(chan struct{})
	go func() {
		defer close(done)
		if resp, err := http.Get(url + "/slow"); err == nil {
			resp.Body.Close()
		}
	}()
	<-entered
	for path, want := range map[string]int{"/other": http.StatusServiceUnavailable, api.PathLive: http.StatusOK} {
		resp, err := http.Get(url + path)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%s: %d", path, resp.StatusCode)
		}
	}
	close(leave)
	<-done
}

func TestHeadersOverTheBoundAreRefused(t *testing.T) {
	bounds := settings.DefaultBounds
	bounds.HeaderBytes = 1 << 10
	url := serve(t, bounds, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	req, _ := http.NewRequest(http.MethodGet, url, nil)
	req.Header.Set("X-Long", strings.Repeat("a", 64<<10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Fatal(resp.StatusCode)
	}
}
