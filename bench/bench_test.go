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

func TestSitesHaveTheirSizes(t *testing.T) {
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

func TestRateFitsTheScarcestShard(t *testing.T) {
	s, _ := NewSite(Duenger)
	rate := s.Rate(0.5, meanService())
	// Nine slots a shard, asked by 0.4 of the arrivals.
	want := 0.5 * 9 / meanService().Seconds() / 0.4
	if math.Abs(rate-want) > 1e-6 {
		t.Fatalf("got %f, want %f", rate, want)
	}
}

func TestArrivalsRepeat(t *testing.T) {
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

func TestUnknownNamesAreTyped(t *testing.T) {
	_, err := Measure(context.Background(), Request{Scenario: "no-such", Deployment: Brazos})
	var unknown *UnknownError
	if !errors.As(err, &unknown) {
		t.Fatalf("got %v", err)
	}
}

// record is a world whose only target ran the given searches.
func record(entries ...standin.Entry) *ledgers {
	l := &ledgers{
		begun: map[search]int{}, answered: map[search]map[uint64]bool{}, ran: map[string]int{},
	}
	for _, e := range entries {
		l.add(e)
	}
	return l
}

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
	whole := func(results ...api.ShardResult) Reply {
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
		{"true", record(ran("a"), ran("b")), whole(result("a", "h", 1), result("b", "h", 1)), Measures{}},
		{"shard that didn't run", record(ran("a")), whole(result("a", "h", 1), result("b", "h", 1)), Measures{FalseCoverage: 1}},
		{"shard left out silently", record(ran("a")), whole(result("a", "h", 1)), Measures{FalseCoverage: 1}},
		{"two versions", record(ran("a"), ran("b")), whole(result("a", "h", 1), result("b", "h", 2)), Measures{MixedSnapshots: 1}},
		{"another's body", record(ran("a"), ran("b")), whole(result("a", "h", 1), result("b", "x", 1)), Measures{MismatchedResults: 1}},
		{"ran twice", record(ran("a"), ran("b"), ran("b")), whole(result("a", "h", 1), result("b", "h", 1)), Measures{DuplicateRuns: 1}},
		{"refusal that lies", record(ran("a")), Reply{Refusal: &api.Refusal{Execution: api.NotRun}}, Measures{RefusedNotRun: 1, FalseRefusals: 1}},
		{"true refusal", record(), Reply{Refusal: &api.Refusal{Execution: api.NotRun}}, Measures{RefusedNotRun: 1}},
		{"unsure refusal", record(ran("a")), Reply{Refusal: &api.Refusal{Execution: api.OutcomeUnknown}}, Measures{}},
		{"lost", record(ran("a")), Reply{}, Measures{Lost: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := &Measures{Missing: map[api.MissingReason]int{}, Refusals: map[api.Code]int{}}
			c := newCollector(m, tt.ran)
			tt.reply.Hash = "h"
			c.take(&Sample{Arrival: arrival, Replies: []Reply{tt.reply}})
			got := Measures{
				FalseCoverage: m.FalseCoverage, MixedSnapshots: m.MixedSnapshots, MismatchedResults: m.MismatchedResults,
				DuplicateRuns: m.DuplicateRuns, RefusedNotRun: m.RefusedNotRun, FalseRefusals: m.FalseRefusals, Lost: m.Lost,
			}
			if got.promises() != tt.want.promises() {
				t.Fatalf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// promises lists the counts that must be 0 but for refused_not_run.
func (m *Measures) promises() [7]int {
	return [7]int{
		m.FalseCoverage, m.MixedSnapshots, m.MismatchedResults, m.DuplicateRuns, m.RefusedNotRun, m.FalseRefusals, m.Lost,
	}
}

func TestNaiveRunIsTruthful(t *testing.T) {
	site, _ := NewSite(Brazos)
	sc, _ := FindScenario("steady")
	l := Load{Seed: 1, Utilization: 0.1, Duration: time.Second}
	m, err := Execute(context.Background(), site, sc, l, NewNaive(1))
	if err != nil {
		t.Fatal(err)
	}
	if m.Queries == 0 || m.promises() != [7]int{} {
		t.Fatalf("got %+v", m)
	}
}

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

func TestQuietViolationIsTheLastStart(t *testing.T) {
	stand := standin.New(standin.Options{ID: "t", Shard: "s", MedianServiceTime: time.Millisecond})
	if err := stand.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	defer stand.Close()
	c := target.NewClient(target.Options{})
	defer c.Close()
	out := c.Search(context.Background(), target.Search{
		Target:       &topology.Target{ID: "t", Shard: "s", Addr: stand.Addr()},
		IndexVersion: 1, Deadline: time.Now().Add(5 * time.Second),
	})
	if out.Status != target.OK {
		t.Fatalf("got %+v", out)
	}
	begun := stand.Ledger().Entries()[0].StartedAt
	w := &Cluster{Targets: map[topology.TargetID]*standin.Target{"t": stand}}
	w.quiet(begun.Add(-2*time.Second), "t")
	if got := quietViolation(w); got != 2 {
		t.Fatalf("got %f s", got)
	}
	w.returned(begun.Add(-time.Second), "t")
	if got := quietViolation(w); got != 0 {
		t.Fatalf("got %f s for a start after the return", got)
	}
}

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
		t.Fatalf("a cut proxy gave %v", err)
	}
	p.heal()
	if err := echo(); err != nil {
		t.Fatal(err)
	}
}
