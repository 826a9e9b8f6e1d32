package router_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/controltest"
	"github.com/peridotmux/peridotmux/trial"
)

// metric returns the sum of all series of the named metric on the page.
func metric(t *testing.T, page []byte, name string) float64 {
	t.Helper()
	sum := 0.0
	lines := regexp.MustCompile(`(?m)^`+name+`(?:\{[^}]*\})? (\S+)$`).FindAllSubmatch(page, -1)
	if len(lines) == 0 {
		t.Errorf("no metric %s", name)
	}
	for _, line := range lines {
		v, err := strconv.ParseFloat(string(line[1]), 64)
		if err != nil {
			t.Fatal(err)
		}
		sum += v
	}
	return sum
}

// TestMetricsPageReportsRouterActivity guards against recorders that are not wired
// up: after one query, each of the main metrics must be above 0.
func TestMetricsPageReportsRouterActivity(t *testing.T) {
	s, err := trial.Start(trial.Config{
		Deployment: controltest.Deployment(4, 3, "a", "b", "c"), Members: 1, Routers: 2, DataDir: t.TempDir(),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Stop() }()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := s.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	base := "http://" + s.Routers[0].VM.HTTP.String()
	resp, err := http.Post(base+api.PathQuery, "application/json", bytes.NewReader([]byte(`{"kind":"sweep"}`)))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	resp, err = http.Get(base + api.PathMetrics)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	page, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{
		"peridot_query_latency_seconds_count", "peridot_query_coverage_count", "peridot_subrequest_first_total",
		"peridot_target_limit", "peridot_lease_left_seconds", "peridot_control_index", "peridot_deployment_version",
		"peridot_control_traffic_bytes_total",
	} {
		if v := metric(t, page, name); v <= 0 {
			t.Errorf("%s is %v", name, v)
		}
	}
}
