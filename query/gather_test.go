package query

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

var (
	start = time.Unix(1000, 0)
	usual = Quantiles{
		P50: 20 * time.Millisecond, P95: 45 * time.Millisecond,
		P98: 56 * time.Millisecond, P99: 64 * time.Millisecond,
	}
)

func planOf(shards, owners int) Plan { return planAt(7, shards, owners) }

func planAt(version uint64, shards, owners int) Plan {
	p := Plan{Version: version}
	for i := range shards {
		sp := ShardPlan{Route: &Route{Shard: topology.ShardID(fmt.Sprintf("g/%02d", i)), Group: "g"}}
		for o := range owners {
			share := OwnerShare{Owner: topology.VMName(fmt.Sprintf("r%d", o)), Targets: 1, Slots: 3}
			state := OwnerState{Owner: share.Owner, Slots: 3, Versions: []uint64{version}}
			sp.Candidates = append(sp.Candidates, Candidate{OwnerShare: share, State: state})
		}
		p.Shards = append(p.Shards, sp)
	}
	return p
}

func optionsWith(tokens float64) Options {
	return Options{
		Policy: topology.PolicyCoverage, Start: start, Deadline: start.Add(500 * time.Millisecond),
		Quantiles: usual, Budget: &Budget{tokens: tokens},
	}
}

func reply(a Attempt, s pb.SubStatus, reason pb.SubReason) Result {
	r := &pb.SubReply{Status: s, Reason: reason, IndexVersion: a.Version, Body: []byte(fmt.Sprint(a.Shard))}
	if s == pb.SubStatus_SUB_STATUS_OK || s == pb.SubStatus_SUB_STATUS_UNKNOWN {
		r.Started = 1
	}
	return Result{Attempt: a, Reply: r, MaybeSent: true}
}

func ok(a Attempt) Result {
	return reply(a, pb.SubStatus_SUB_STATUS_OK, 0)
}

// ledger is the naive account of one query: it follows every attempt by itself.
type ledger struct {
	running map[Attempt]bool
	started map[int]int
	merged  map[int]bool
	good    bool
}

// TestGatherKeepsItsPromises plays random ends of attempts, repeated, late and
// foreign replies, and checks the gather against the naive account.
func TestGatherKeepsItsPromises(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(5))
	for _, once := range []bool{false, true} {
		properties.Property(fmt.Sprintf("once %v", once), prop.ForAll(func(seed uint64) bool {
			return playGather(rand.New(rand.NewPCG(seed, 7)), once)
		}, gen.UInt64()))
	}
	properties.TestingRun(t)
}

func playGather(rng *rand.Rand, once bool) bool {
	opts := optionsWith(float64(rng.IntN(4)))
	opts.AtMostOnce = once
	const shards = 6
	g, acts := NewGather(opts, planOf(shards, 1+rng.IntN(3)), start)
	l := &ledger{running: map[Attempt]bool{}, started: map[int]int{}, merged: map[int]bool{}, good: true}
	var pending, past []Attempt
	note := func(a Actions) {
		for _, s := range a.Send {
			l.note(s, once)
			pending = append(pending, s)
		}
		for _, c := range a.Cancel {
			delete(l.running, c)
		}
	}
	note(acts)
	now := start
	for len(pending) > 0 && l.good {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		tick, _ := g.Tick(now)
		note(tick)
		if len(past) > 0 && rng.IntN(4) == 0 {
			note(g.Step(ok(past[rng.IntN(len(past))]), now))
		}
		i := rng.IntN(len(pending))
		a := pending[i]
		pending = append(pending[:i:i], pending[i+1:]...)
		past = append(past, a)
		r := randomResult(rng, a)
		live := l.running[a]
		delete(l.running, a)
		if r.startedPerhaps() {
			l.started[a.Shard]++
		}
		if live && r.Reply.GetStatus() == pb.SubStatus_SUB_STATUS_OK {
			l.merged[a.Shard] = true
		}
		note(g.Step(r, now))
	}
	return l.good && l.agrees(g, shards)
}

// note checks a new attempt against what runs.
func (l *ledger) note(a Attempt, once bool) {
	for r := range l.running {
		if r.Shard == a.Shard && r.Owner == a.Owner && !a.Hedge {
			l.good = false
		}
		if r.Shard == a.Shard && once {
			l.good = false
		}
	}
	if once && (l.started[a.Shard] > 0 || a.Hedge) {
		l.good = false
	}
	if l.merged[a.Shard] {
		l.good = false
	}
	l.running[a] = true
}

func (l *ledger) agrees(g *Gather, shards int) bool {
	answer, _ := g.Finish()
	if answer.Asked != shards || answer.Covered != len(l.merged) || len(answer.Results) != answer.Covered {
		return false
	}
	if len(answer.Missing) != answer.Asked-answer.Covered || answer.Complete != (len(answer.Missing) == 0) {
		return false
	}
	for _, r := range answer.Results {
		var shard int
		_, _ = fmt.Sscanf(string(r.Shard), "g/%d", &shard)
		if string(r.Body) != fmt.Sprint(shard) || !l.merged[shard] {
			return false
		}
	}
	for _, n := range l.started {
		if n > 0 && !g.Counts.MaybeStarted {
			return false
		}
	}
	return true
}

func randomResult(rng *rand.Rand, a Attempt) Result {
	reasons := []pb.SubReason{
		pb.SubReason_SUB_REASON_NO_TARGET, pb.SubReason_SUB_REASON_QUEUE_FULL, pb.SubReason_SUB_REASON_DEADLINE,
		pb.SubReason_SUB_REASON_SHED, pb.SubReason_SUB_REASON_NO_LEASE, pb.SubReason_SUB_REASON_DRAINING,
	}
	switch rng.IntN(6) {
	case 0:
		return reply(a, pb.SubStatus_SUB_STATUS_NOT_STARTED, reasons[rng.IntN(len(reasons))])
	case 1:
		return reply(a, pb.SubStatus_SUB_STATUS_UNKNOWN, pb.SubReason_SUB_REASON_TARGET_ERROR)
	case 2:
		return Result{Attempt: a, MaybeSent: rng.IntN(2) == 0}
	default:
		return ok(a)
	}
}

func TestLateShardIsHedgedAtAnotherOwner(t *testing.T) {
	g, acts := NewGather(optionsWith(5), planOf(10, 2), start)
	for _, a := range acts.Send[1:] {
		g.Step(ok(a), start.Add(20*time.Millisecond))
	}
	early, next := g.Tick(start.Add(30 * time.Millisecond))
	if len(early.Send) > 0 {
		t.Fatalf("hedged after 30 ms: %v", early.Send)
	}
	late, _ := g.Tick(next)
	if len(late.Send) != 1 || !late.Send[0].Hedge || late.Send[0].Owner == acts.Send[0].Owner {
		t.Fatalf("at %v: %+v", next.Sub(start), late.Send)
	}
	won := g.Step(ok(late.Send[0]), next.Add(20*time.Millisecond))
	if len(won.Cancel) != 1 || won.Cancel[0].Number != 0 {
		t.Errorf("the loser isn't cancelled: %+v", won)
	}
	if !g.Done(next.Add(20 * time.Millisecond)) {
		t.Error("the query isn't done")
	}
}

func TestNoHedges(t *testing.T) {
	late := start.Add(200 * time.Millisecond)
	cases := []struct {
		name   string
		tokens float64
		once   bool
		open   int
	}{
		{"without budget", 0, false, 1},
		{"of a non-idempotent query", 5, true, 1},
		{"while most shards are late", 5, false, 8},
	}
	for _, c := range cases {
		opts := optionsWith(c.tokens)
		opts.AtMostOnce = c.once
		g, acts := NewGather(opts, planOf(10, 2), start)
		for _, a := range acts.Send[c.open:] {
			g.Step(ok(a), start.Add(20*time.Millisecond))
		}
		if got, _ := g.Tick(late); len(got.Send) > 0 {
			t.Errorf("%s: %+v", c.name, got.Send)
		}
	}
}

func TestWhenToStopWaiting(t *testing.T) {
	soon, later := start.Add(100*time.Millisecond), start.Add(300*time.Millisecond)
	cases := []struct {
		name     string
		policy   topology.Policy
		minimum  float64
		answered int
		at       time.Time
		want     bool
	}{
		{"all answered", topology.PolicyCoverage, 1, 10, soon, true},
		{"coverage waits", topology.PolicyCoverage, 0.5, 9, later, false},
		{"coverage ends with the deadline", topology.PolicyCoverage, 0.5, 9, start.Add(500 * time.Millisecond), true},
		{"latency gives the rest a chance", topology.PolicyLatency, 0.5, 9, soon, false},
		{"latency goes without the rest", topology.PolicyLatency, 0.5, 9, later, true},
		{"latency keeps its minimum", topology.PolicyLatency, 0.95, 9, later, false},
	}
	for _, c := range cases {
		opts := optionsWith(0)
		opts.Policy, opts.MinCoverage = c.policy, c.minimum
		g, acts := NewGather(opts, planOf(10, 2), start)
		for _, a := range acts.Send[:c.answered] {
			g.Step(ok(a), start.Add(20*time.Millisecond))
		}
		if got := g.Done(c.at); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}

func TestVanishedVersionIsPlannedAnew(t *testing.T) {
	for _, once := range []bool{false, true} {
		opts := optionsWith(0)
		opts.AtMostOnce = once
		g, acts := NewGather(opts, planOf(3, 1), start)
		g.Step(ok(acts.Send[0]), start)
		gone := reply(acts.Send[1], pb.SubStatus_SUB_STATUS_VERSION_GONE, 0)
		gone.Reply.Versions = []uint64{8}
		if got := g.Step(gone, start); got.Replan == once {
			t.Errorf("once %v: replan %v although a shard has run", once, got.Replan)
		}
		if once {
			continue
		}
		again := g.Replan(planAt(8, 3, 1), start)
		if len(again.Cancel) != 1 || len(again.Send) != 3 || again.Send[0].Version != 8 {
			t.Fatalf("got %+v", again)
		}
		g.Step(ok(acts.Send[2]), start) // Late, of the old version.
		for _, a := range again.Send[1:] {
			r := ok(a)
			r.Reply.IndexVersion = 8
			g.Step(r, start)
		}
		answer, _ := g.Finish()
		if answer.Snapshot != 8 || answer.Covered != 2 || len(answer.Missing) != 1 || answer.Missing[0].Reason != api.MissingLate {
			t.Errorf("got %+v", answer)
		}
	}
}
