package standin_test

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/standin"
	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

// fixture is a listening stand-in target "t1" of shard "g/00" with a client.
type fixture struct {
	*standin.Target
	client *target.Client
	target *topology.Target
}

func start(t *testing.T, o standin.Options) *fixture {
	t.Helper()
	o.ID, o.Shard = "t1", "g/00"
	s := &fixture{Target: standin.New(o), client: target.NewClient(target.Options{})}
	if err := s.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	t.Cleanup(s.client.Close)
	s.target = &topology.Target{ID: o.ID, Shard: o.Shard, Addr: s.Addr()}
	return s
}

func (s *fixture) search(ctx context.Context, version uint64, wait time.Duration) target.Outcome {
	return s.client.Search(ctx, target.Search{
		Target: s.target, RequestID: "r1", IndexVersion: version, Deadline: time.Now().Add(wait), Body: []byte(`{}`),
	})
}

// waitForSearches waits until the target has started n searches.
func (s *fixture) waitForSearches(t *testing.T, n int) {
	t.Helper()
	for range 5000 {
		if len(s.Ledger().Entries()) >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the search didn't start")
}

// Guards against a response or a ledger entry that doesn't identify the search
// that it belongs to; the checks of other tests rely on both.
func TestSearchIsAnsweredAndRecorded(t *testing.T) {
	s := start(t, standin.Options{Slots: 1, MedianServiceTime: time.Millisecond})
	out := s.search(context.Background(), 1, 5*time.Second)
	if out.Status != target.OK || out.Process == 0 {
		t.Fatalf("got %+v", out)
	}
	var result standin.Result
	if err := json.Unmarshal(out.Body, &result); err != nil {
		t.Fatal(err)
	}
	want := standin.Result{RequestID: "r1", Shard: "g/00", Target: "t1", Version: 1, BodyHash: standin.HashBody([]byte(`{}`))}
	if result != want {
		t.Fatalf("got %+v, want %+v", result, want)
	}
	entries := s.Ledger().Entries()
	if len(entries) != 1 || entries[0].State != standin.Answered || entries[0].RequestID != "r1" {
		t.Fatalf("ledger %+v", entries)
	}
}

// Guards against a cancel that leaves the search running, or that costs the
// connection on which the search was sent.
func TestCancelEndsTheSearchAndKeepsTheConnection(t *testing.T) {
	s := start(t, standin.Options{Slots: 1, MedianServiceTime: time.Hour})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan target.Outcome)
	go func() { done <- s.search(ctx, 1, 10*time.Second) }()
	s.waitForSearches(t, 1)
	cancel()
	out := <-done
	if out.Status != target.Unknown || out.Reason != target.ReasonCancelled || !out.TargetDone {
		t.Fatalf("got %+v", out)
	}
	if e := s.Ledger().Entries()[0]; e.State != standin.Cancelled {
		t.Fatalf("ledger %+v", e)
	}
	s.SetSlowdown(1e-9)
	if out := s.search(context.Background(), 1, 10*time.Second); out.Status != target.OK {
		t.Fatalf("next search: %+v", out)
	}
	if n := s.Ledger().Totals().MaxConnections; n != 2 {
		t.Fatalf("%d connections, want the search's and the cancel's", n)
	}
}

// Guards against a search that keeps running after its time budget has expired.
func TestBudgetEndsTheSearch(t *testing.T) {
	s := start(t, standin.Options{Slots: 1, MedianServiceTime: time.Hour})
	out := s.search(context.Background(), 1, 50*time.Millisecond)
	if out.Status != target.Unknown || out.Reason != target.ReasonDeadline {
		t.Fatalf("got %+v", out)
	}
}

// Guards against a refusal, for a missing index version or while draining, that
// reports or records the search as started.
func TestRefusalsAreNotStarted(t *testing.T) {
	s := start(t, standin.Options{Slots: 1, MedianServiceTime: time.Millisecond})
	if out := s.search(context.Background(), 2, time.Second); out.Status != target.NotStarted || out.Reason != target.ReasonVersionGone {
		t.Fatalf("version gone: %+v", out)
	}
	s.SetVersions(2, 1)
	if out := s.search(context.Background(), 2, 5*time.Second); out.Status != target.OK || len(out.Versions) != 2 {
		t.Fatalf("after the version change: %+v", out)
	}
	s.SetDraining(true)
	if out := s.search(context.Background(), 2, time.Second); out.Status != target.NotStarted || out.Reason != target.ReasonDraining {
		t.Fatalf("draining: %+v", out)
	}
	if n := len(s.Ledger().Entries()); n != 1 {
		t.Fatalf("%d searches started, want 1", n)
	}
}

// Guards against a restart that keeps connections, running searches or the
// process number.
func TestRestartLosesSearches(t *testing.T) {
	s := start(t, standin.Options{Slots: 2, MedianServiceTime: time.Hour, WarmAfter: time.Second})
	done := make(chan target.Outcome)
	go func() { done <- s.search(context.Background(), 1, 10*time.Second) }()
	s.waitForSearches(t, 1)
	s.Restart()
	if out := <-done; out.Status != target.Unknown || out.Reason != target.ReasonConnectionLost || out.TargetDone {
		t.Fatalf("got %+v", out)
	}
	s.SetSlowdown(1e-9)
	first := s.search(context.Background(), 1, 10*time.Second)
	if first.Status != target.OK {
		t.Fatalf("after the restart: %+v", first)
	}
	s.Restart()
	if out := s.search(context.Background(), 1, 10*time.Second); out.Process == first.Process {
		t.Fatal("the process number didn't change")
	}
}

// Guards against cold overloads that go uncounted: three concurrent searches to a
// cold target with a limit of one are two overloads.
func TestColdTargetCountsOverload(t *testing.T) {
	tests := []struct {
		name      string
		cold      bool
		overloads int
	}{{"warm", false, 0}, {"cold", true, 2}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := standin.Options{Slots: 3, MedianServiceTime: 100 * time.Millisecond, WarmAfter: time.Minute, StartCold: tt.cold}
			s := start(t, o)
			var all sync.WaitGroup
			for range 3 {
				all.Go(func() { s.search(context.Background(), 1, 5*time.Second) })
			}
			all.Wait()
			if got := s.Ledger().Totals(); got.ColdOverloads != tt.overloads || got.MaxInFlight != 3 {
				t.Fatalf("got %+v", got)
			}
		})
	}
}

// Guards against a target that stays cold after the service time in WarmAfter,
// and against a health page that shows the change before HealthLag.
func TestTargetWarmsByServiceTime(t *testing.T) {
	s := start(t, standin.Options{Slots: 2, MedianServiceTime: 10 * time.Millisecond, WarmAfter: 30 * time.Millisecond, StartCold: true})
	for range 20 {
		s.search(context.Background(), 1, 5*time.Second)
	}
	h, err := s.client.Health(context.Background(), s.target)
	if err != nil || h.Process == 0 {
		t.Fatalf("health %+v, %v", h, err)
	}
	if h.Cold == false {
		t.Fatal("the health page doesn't lag")
	}
	var all sync.WaitGroup
	for range 2 {
		all.Go(func() { s.search(context.Background(), 1, 5*time.Second) })
	}
	all.Wait()
	if n := s.Ledger().Totals().ColdOverloads; n != 0 {
		t.Fatalf("%d overloads of a warm target", n)
	}
}

// Guards against more open connections than the limit.
func TestConnectionLimit(t *testing.T) {
	s := start(t, standin.Options{Slots: 4, MaxConnections: 2, MedianServiceTime: 200 * time.Millisecond})
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() { s.search(context.Background(), 1, 5*time.Second) })
	}
	all.Wait()
	got := s.Ledger().Totals()
	if got.MaxConnections != 2 || got.RefusedConnections == 0 {
		t.Fatalf("got %+v", got)
	}
}

// Guards against a killed target that still accepts connections, and against one
// that can't be reached again after Revive.
func TestKilledTargetRefusesUntilRevived(t *testing.T) {
	s := start(t, standin.Options{Slots: 1, MedianServiceTime: time.Millisecond})
	s.Kill()
	if out := s.search(context.Background(), 1, time.Second); out.Status != target.NotStarted || out.Reason != target.ReasonConnect {
		t.Fatalf("killed: %+v", out)
	}
	if err := s.Revive(); err != nil {
		t.Fatal(err)
	}
	if out := s.search(context.Background(), 1, 5*time.Second); out.Status != target.OK {
		t.Fatalf("revived: %+v", out)
	}
}
