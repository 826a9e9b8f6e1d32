package bench

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/standin"
	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

// Guards against built-in deployments with a wrong number of data centres, targets,
// shards or routers.
func TestSiteSizes(t *testing.T) {
	tests := []struct {
		name                 string
		dcs, targets, shards int
	}{{Duenger, 3, 89, 27}, {Brazos, 4, 83, 27}}
	for _, tt := range tests {
		s, err := NewSite(tt.name)
		if err != nil {
			t.Fatal(err)
		}
		shards := len(topology.NewIndex(s.Deployment).Shards())
		if len(s.DataCentres) != tt.dcs || len(s.Targets) != tt.targets || shards != tt.shards || len(s.Routers) != 8 {
			t.Errorf("%s: %d data centres, %d targets, %d shards", tt.name, len(s.DataCentres), len(s.Targets), shards)
		}
	}
}

// Guards against a rate that overloads the shard with the fewest slots for its
// share of the arrivals.
func TestRateFitsTheScarcestShard(t *testing.T) {
	s, _ := NewSite(Duenger)
	rate := s.Rate(0.5, meanService())
	// The scarcest shards have nine slots and get 0.4 of the arrivals.
	want := 0.5 * 9 / meanService().Seconds() / 0.4
	if math.Abs(rate-want) > 1e-6 {
		t.Fatalf("got %f, want %f", rate, want)
	}
}

// Guards against arrivals that differ between runs with the same seed, which
// would make policies incomparable.
func TestArrivalsAreRepeatable(t *testing.T) {
	l := Load{Seed: 3, Utilization: 0.5, Warmup: time.Second, Duration: 2 * time.Second}
	s, _ := NewSite(Brazos)
	a, b := Arrivals(s, l), Arrivals(s, l)
	if len(a) == 0 || len(a) != len(b) {
		t.Fatalf("%d and %d arrivals", len(a), len(b))
	}
	for i := range a {
		if a[i].At != b[i].At || a[i].Hash != b[i].Hash {
			t.Fatalf("arrival %d differs", i)
		}
	}
}

// Guards against an unknown scenario that is reported without an UnknownError.
func TestUnknownScenarioIsTyped(t *testing.T) {
	_, err := Measure(context.Background(), Request{Scenario: "no-such", Deployment: Brazos})
	var unknown *UnknownError
	if !errors.As(err, &unknown) {
		t.Fatalf("got %v", err)
	}
}

// ledgersOf returns the ledgers of a cluster that ran the given searches.
func ledgersOf(entries ...standin.Entry) *ledgers {
	l := &ledgers{
		starts: map[searchKey]int{}, answered: map[searchKey]map[uint64]bool{}, startsByBody: map[string]int{},
	}
	for _, e := range entries {
		l.add(e)
	}
	return l
}

// Guards against measurements that miss a fault of an answer or a refusal, or that
// report one for a correct reply. Replies are checked against the ledgers of the
// targets.
func TestAnswersAreCheckedAgainstLedgers(t *testing.T) {
	group := &topology.Group{Shards: []topology.ShardID{"a", "b"}}
	kind := &topology.Kind{Deadline: QueryDeadline, Idempotent: false}
	arrival := &Arrival{Group: group, Kind: kind, Hash: "h"}
	ran := func(shard topology.ShardID) standin.Entry {
		return standin.Entry{BodyHash: "h", Shard: shard, Version: 1, State: standin.Answered}
	}
	result := func(shard topology.ShardID, hash string, version uint64) api.ShardResult {
		body, _ := json.Marshal(standin.Result{Shard: shard, BodyHash: hash, Version: version})
		return api.ShardResult{Shard: shard, Body: body}
	}
	answer := func(results ...api.ShardResult) Reply {
		return Reply{Answer: &api.Answer{
			Snapshot: 1, Complete: true, Covered: len(results), Asked: 2, Results: results,
		}}
	}
	tests := []struct {
		name  string
		ran   *ledgers
		reply Reply
		want  Measures
	}{
		{"correct answer", ledgersOf(ran("a"), ran("b")), answer(result("a", "h", 1), result("b", "h", 1)), Measures{}},
		{"shard that didn't run", ledgersOf(ran("a")), answer(result("a", "h", 1), result("b", "h", 1)), Measures{FalseCoverage: 1}},
		{"shard neither covered nor missing", ledgersOf(ran("a")), answer(result("a", "h", 1)), Measures{FalseCoverage: 1}},
		{"two versions", ledgersOf(ran("a"), ran("b")), answer(result("a", "h", 1), result("b", "h", 2)), Measures{MixedSnapshots: 1}},
		{"result of another query", ledgersOf(ran("a"), ran("b")), answer(result("a", "h", 1), result("b", "x", 1)), Measures{MismatchedResults: 1}},
		{"shard ran twice", ledgersOf(ran("a"), ran("b"), ran("b")), answer(result("a", "h", 1), result("b", "h", 1)), Measures{DuplicateRuns: 1}},
		{"false refusal", ledgersOf(ran("a")), Reply{Refusal: &api.Refusal{Execution: api.NotRun}}, Measures{RefusedNotRun: 1, FalseRefusals: 1}},
		{"correct refusal", ledgersOf(), Reply{Refusal: &api.Refusal{Execution: api.NotRun}}, Measures{RefusedNotRun: 1}},
		{"refusal with unknown outcome", ledgersOf(ran("a")), Reply{Refusal: &api.Refusal{Execution: api.OutcomeUnknown}}, Measures{}},
		{"neither answer nor refusal", ledgersOf(ran("a")), Reply{}, Measures{Lost: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := &Measures{Missing: map[api.MissingReason]int{}, Refusals: map[api.Code]int{}}
			c := newCollector(m, tt.ran)
			tt.reply.Hash = "h"
			c.add(&Sample{Arrival: arrival, Replies: []Reply{tt.reply}})
			got := Measures{
				FalseCoverage: m.FalseCoverage, MixedSnapshots: m.MixedSnapshots, MismatchedResults: m.MismatchedResults,
				DuplicateRuns: m.DuplicateRuns, RefusedNotRun: m.RefusedNotRun, FalseRefusals: m.FalseRefusals, Lost: m.Lost,
			}
			if got.violations() != tt.want.violations() {
				t.Fatalf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// violations returns the counts that must be 0, and RefusedNotRun.
func (m *Measures) violations() [7]int {
	return [7]int{
		m.FalseCoverage, m.MixedSnapshots, m.MismatchedResults, m.DuplicateRuns, m.RefusedNotRun, m.FalseRefusals, m.Lost,
	}
}

// Guards against measurements that report violations where none can happen: the
// naive policy in a run without faults.
func TestNaiveRunHasNoViolations(t *testing.T) {
	site, _ := NewSite(Brazos)
	sc, _ := FindScenario("steady")
	l := Load{Seed: 1, Utilization: 0.1, Duration: time.Second}
	m, err := Execute(context.Background(), site, sc, l, NewNaive(1))
	if err != nil {
		t.Fatal(err)
	}
	if m.Queries == 0 || m.violations() != [7]int{} {
		t.Fatalf("got %+v", m)
	}
}

// Guards against wrong answers, lost queries and overloaded cold targets of the
// real system in a short run without faults.
func TestProductKeepsItsPromises(t *testing.T) {
	l := Load{Seed: 1, Utilization: 0.1, Warmup: time.Second, Duration: 2 * time.Second}
	report, err := Measure(context.Background(), Request{
		Scenario: "steady", Deployment: Brazos, Load: l, Policies: []string{PolicyProduct},
	})
	if err != nil {
		t.Fatal(err)
	}
	m := report.Product
	if m.Queries == 0 || m.Answered == 0 {
		t.Fatalf("nothing was answered: %+v", m)
	}
	if m.FalseCoverage+m.MixedSnapshots+m.MismatchedResults+m.Lost+m.FalseRefusals+m.DuplicateRuns+m.ColdOverloads != 0 {
		t.Fatalf("a promise was broken: %+v", m)
	}
}

// Guards against measured arrivals that change with the length of the warm-up,
// which differs between policies.
func TestMeasuredArrivalsDontDependOnTheWarmup(t *testing.T) {
	s, _ := NewSite(Duenger)
	l := Load{Seed: 3, Utilization: 0.5, Duration: time.Second}
	without := Arrivals(s, l)
	l.Warmup = time.Second
	with := Arrivals(s, l)
	with = with[len(with)-len(without):]
	for i := range without {
		if with[i].At != without[i].At || with[i].Hash != without[i].Hash {
			t.Fatalf("arrival %d differs", i)
		}
	}
}

// Guards against a quiet violation that isn't the time to the last search started,
// or that counts searches started after the target's return.
func TestQuietViolationIsTheLastStart(t *testing.T) {
	server := standin.New(standin.Options{ID: "t", Shard: "s", MedianServiceTime: time.Millisecond})
	if err := server.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	c := target.NewClient(target.Options{})
	defer c.Close()
	out := c.Search(context.Background(), target.Search{
		Target:       &topology.Target{ID: "t", Shard: "s", Addr: server.Addr()},
		IndexVersion: 1, Deadline: time.Now().Add(5 * time.Second),
	})
	if out.Status != target.OK {
		t.Fatalf("got %+v", out)
	}
	startedAt := server.Ledger().Entries()[0].StartedAt
	cluster := &Cluster{Targets: map[topology.TargetID]*standin.Target{"t": server}}
	cluster.markQuiet(startedAt.Add(-2*time.Second), "t")
	if got := quietViolation(cluster); got != 2 {
		t.Fatalf("got %f s", got)
	}
	cluster.markReturned(startedAt.Add(-time.Second), "t")
	if got := quietViolation(cluster); got != 0 {
		t.Fatalf("got %f s for a start after the return", got)
	}
}

// Guards against a cut proxy that passes data or closes connections, and against
// one that loses data when it heals.
func TestProxyCutsSilentlyAndHeals(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = io.Copy(c, c)
		}
	}()
	p, err := newProxy(loopback, netip.MustParseAddrPort(l.Addr().String()), 0)
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	c, err := net.Dial("tcp", p.addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	echo := func() error {
		_, _ = c.Write([]byte("x"))
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err := io.ReadFull(c, make([]byte, 1))
		return err
	}
	if err := echo(); err != nil {
		t.Fatal(err)
	}
	p.cut()
	_, _ = c.Write([]byte("x"))
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read through a cut proxy: %v, want a timeout", err)
	}
	p.heal()
	if err := echo(); err != nil {
		t.Fatal(err)
	}
}

// A take-out counts from when a leading member took it, not from when the operator's
// command began to look for one, and never from before it was sent.
func TestChangeCountsFromItsAcceptance(t *testing.T) {
	sent := time.Unix(1000, 0)
	confirmed := func(at time.Time) *api.Intent {
		return &api.Intent{History: []api.Transition{
			{State: api.IntentPlanned, At: sent.Add(-time.Second)}, {State: api.IntentConfirmed, At: at}, {State: api.IntentInForce, At: at.Add(time.Second)},
		}}
	}
	for _, c := range []struct{ at, want time.Time }{
		{sent.Add(2 * time.Second), sent.Add(2 * time.Second)},
		{sent.Add(-time.Millisecond), sent},
	} {
		if got := notAcceptedBefore(sent, confirmed(c.at)); !got.Equal(c.want) {
			t.Errorf("confirmed at %v: counts from %v, want %v", c.at, got, c.want)
		}
	}
	if got := notAcceptedBefore(sent, &api.Intent{}); !got.Equal(sent) {
		t.Errorf("without a confirmation: %v", got)
	}
}
