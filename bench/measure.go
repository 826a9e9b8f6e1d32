package bench

import (
	"encoding/json"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/standin"
	"github.com/peridotmux/peridotmux/topology"
)

// Measures holds the measurements of one policy in one run. The counts of false
// refusals, false coverage, mixed snapshots, mismatched results and duplicate
// runs must be 0 for a correct policy.
//
//   - Latencies are those of answered queries, from the intended send time.
//   - Coverage is the mean fraction of shards covered, counting a query without
//     answer as 0. Complete is the fraction of queries answered in time by all
//     shards.
//   - ExtraLoad is the number of searches started over the number needed, minus 1.
//   - RefusedNotRun counts refusals that declare the query not run. FalseRefusals
//     counts those whose query a target did start.
//   - FalseCoverage counts answers that claim shards that didn't answer, or that
//     don't list each shard exactly once.
//   - MixedSnapshots counts answers from more than one index version, or from
//     another one than stated.
//   - MismatchedResults counts answers that contain the result of another query or
//     shard.
//   - DuplicateRuns counts non-idempotent queries that a shard started twice.
//   - Lost counts queries that were sent and got neither an answer nor a refusal,
//     not even late.
//   - QuietViolationS is the time in seconds from the acceptance of an operator's
//     change to the last search started on a target that it took out.
//   - WeightedService is the service of the worst second; see weightedService.
type Measures struct {
	P50MS             float64 `json:"p50_ms"`
	P99MS             float64 `json:"p99_ms"`
	P999MS            float64 `json:"p999_ms"`
	Coverage          float64 `json:"coverage"`
	Complete          float64 `json:"complete"`
	ExtraLoad         float64 `json:"extra_load"`
	Refused           int     `json:"refused"`
	RefusedNotRun     int     `json:"refused_not_run"`
	FalseRefusals     int     `json:"lying_refusals"`
	FalseCoverage     int     `json:"lying_coverage"`
	MixedSnapshots    int     `json:"mixed_snapshots"`
	MismatchedResults int     `json:"crossed"`
	DuplicateRuns     int     `json:"doubled"`
	Lost              int     `json:"lost"`
	ColdOverloads     int     `json:"cold_overloads"`
	QuietViolationS   float64 `json:"quiet_violation_s"`
	WeightedService   float64 `json:"weighted_service"`
	// Queries counts the measured queries, Answered those whose last reply was an
	// answer.
	Queries  int `json:"queries"`
	Answered int `json:"answered"`
	// Resent counts the sends after the first one of each query.
	Resent int `json:"resent"`
	// Unsent counts queries that the load generator could not send before their
	// deadline.
	Unsent int `json:"unsent,omitempty"`
	// Missing counts the missing shards of answers by reason.
	Missing map[api.MissingReason]int `json:"missing,omitempty"`
	// Refusals counts refusals by code.
	Refusals map[api.Code]int `json:"refusals,omitempty"`
	// ShedByTargets, RefusedConnections and MaxConnections are the counters of the
	// targets' ledgers; MaxConnections is the highest of any target.
	ShedByTargets      int `json:"shed_by_targets"`
	RefusedConnections int `json:"refused_connections"`
	MaxConnections     int `json:"most_connections"`
}

// searchKey identifies the search of one shard for one query, by body hash.
type searchKey struct {
	hash  string
	shard topology.ShardID
}

// ledgers aggregates the ledgers of all targets.
type ledgers struct {
	// starts counts the starts of a search on any target; answered holds the index
	// versions that it was answered from.
	starts   map[searchKey]int
	answered map[searchKey]map[uint64]bool
	// startsByBody counts the searches started for a query, by body hash.
	startsByBody map[string]int
}

// readLedgers aggregates the ledgers of all targets and adds their totals to m.
func readLedgers(cluster *Cluster, m *Measures) *ledgers {
	l := &ledgers{
		starts:       make(map[searchKey]int),
		answered:     make(map[searchKey]map[uint64]bool),
		startsByBody: make(map[string]int),
	}
	for _, t := range cluster.Targets {
		totals := t.Ledger().Totals()
		m.ColdOverloads += totals.ColdOverloads
		m.ShedByTargets += totals.Shed
		m.RefusedConnections += totals.RefusedConnections
		m.MaxConnections = max(m.MaxConnections, totals.MaxConnections)
		for _, e := range t.Ledger().Entries() {
			l.add(e)
		}
	}
	return l
}

func (l *ledgers) add(e standin.Entry) {
	s := searchKey{hash: e.BodyHash, shard: e.Shard}
	l.starts[s]++
	l.startsByBody[e.BodyHash]++
	if e.State != standin.Answered {
		return
	}
	if l.answered[s] == nil {
		l.answered[s] = make(map[uint64]bool)
	}
	l.answered[s][e.Version] = true
}

// measure computes the measurements from the samples of the measured period and
// checks the replies against the targets' ledgers.
func measure(r *Run, samples []Sample, faults []Fault) *Measures {
	m := &Measures{Missing: make(map[api.MissingReason]int), Refusals: make(map[api.Code]int)}
	l := readLedgers(r.Cluster, m)
	c := newCollector(m, l)
	for i := range samples {
		if samples[i].Arrival.At >= 0 {
			c.add(&samples[i])
		}
	}
	c.finish()
	m.QuietViolationS = quietViolation(r.Cluster)
	m.WeightedService = weightedService(samples, faults)
	return m
}

// collector accumulates the samples of one run.
type collector struct {
	measures *Measures
	ledgers  *ledgers
	latency  *hdrhistogram.Histogram
	coverage float64
	complete int
	// asked counts the searches needed by the queries, started those that the
	// targets started for them.
	asked   int
	started int
}

func newCollector(m *Measures, l *ledgers) *collector {
	return &collector{measures: m, ledgers: l, latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (c *collector) add(s *Sample) {
	m, a := c.measures, s.Arrival
	m.Queries++
	m.Resent += len(s.Replies) - 1
	c.asked += len(a.Group.Shards)
	sends := make(map[string]bool)
	if !a.Kind.Idempotent && c.ranTwice(a) {
		m.DuplicateRuns++
	}
	for _, reply := range s.Replies {
		sends[reply.Hash] = true
		c.addRefusal(reply.Hash, reply.Refusal)
		c.addAnswer(a, reply.Hash, reply.Answer)
	}
	for hash := range sends {
		c.started += c.ledgers.startsByBody[hash]
	}
	last := s.LastReply()
	switch {
	case last.Answer != nil:
		m.Answered++
		_ = c.latency.RecordValue(s.Latency.Microseconds())
		c.coverage += float64(len(last.Answer.Results)) / float64(len(a.Group.Shards))
		if onTime(s) && len(last.Answer.Results) == len(a.Group.Shards) {
			c.complete++
		}
	case s.Unsent:
		m.Unsent++
	case last.Refusal == nil:
		m.Lost++
	}
}

// onTime reports whether the last reply arrived before the deadline.
func onTime(s *Sample) bool { return s.Latency <= s.Arrival.Kind.Deadline }

// ranTwice reports whether any shard started the search of a more than once.
func (c *collector) ranTwice(a *Arrival) bool {
	for _, shard := range a.Group.Shards {
		if c.ledgers.starts[searchKey{a.Hash, shard}] > 1 {
			return true
		}
	}
	return false
}

// addRefusal counts a refusal and checks it against the ledgers.
func (c *collector) addRefusal(hash string, r *api.Refusal) {
	if r == nil {
		return
	}
	c.measures.Refused++
	c.measures.Refusals[r.Code]++
	if r.Execution != api.NotRun {
		return
	}
	c.measures.RefusedNotRun++
	if c.ledgers.startsByBody[hash] > 0 {
		c.measures.FalseRefusals++
	}
}

// addAnswer counts the missing shards of an answer and checks it against the
// ledgers.
func (c *collector) addAnswer(a *Arrival, hash string, answer *api.Answer) {
	if answer == nil {
		return
	}
	for _, missing := range answer.Missing {
		c.measures.Missing[missing.Reason]++
	}
	if !c.coverageMatches(a, hash, answer) {
		c.measures.FalseCoverage++
	}
	versions := make(map[uint64]bool)
	mismatched := false
	for i := range answer.Results {
		result, ok := decodeResult(answer.Results[i].Body)
		versions[result.Version] = true
		if !ok || result.BodyHash != hash || result.Shard != answer.Results[i].Shard {
			mismatched = true
		}
	}
	if mismatched {
		c.measures.MismatchedResults++
	}
	if len(versions) > 1 || len(versions) == 1 && !versions[answer.Snapshot] {
		c.measures.MixedSnapshots++
	}
}

// coverageMatches reports whether the answer lists each shard of the query exactly
// once, its counts agree with the lists, and the targets' ledgers hold an answer
// for each shard that it claims to cover.
func (c *collector) coverageMatches(a *Arrival, hash string, answer *api.Answer) bool {
	listed := make(map[topology.ShardID]bool)
	for _, r := range answer.Results {
		if listed[r.Shard] || len(c.ledgers.answered[searchKey{hash, r.Shard}]) == 0 {
			return false
		}
		listed[r.Shard] = true
	}
	for _, missing := range answer.Missing {
		if listed[missing.Shard] {
			return false
		}
		listed[missing.Shard] = true
	}
	for _, shard := range a.Group.Shards {
		if !listed[shard] {
			return false
		}
	}
	return len(listed) == len(a.Group.Shards) && answer.Covered == len(answer.Results) &&
		answer.Asked == len(a.Group.Shards) && answer.Complete == (len(answer.Missing) == 0)
}

func decodeResult(body json.RawMessage) (standin.Result, bool) {
	var result standin.Result
	err := json.Unmarshal(body, &result)
	return result, err == nil
}

// finish computes the means and percentiles.
func (c *collector) finish() {
	m := c.measures
	m.P50MS = c.quantileMS(50)
	m.P99MS = c.quantileMS(99)
	m.P999MS = c.quantileMS(99.9)
	if m.Queries == 0 {
		return
	}
	m.Coverage = c.coverage / float64(m.Queries)
	m.Complete = float64(c.complete) / float64(m.Queries)
	m.ExtraLoad = float64(c.started)/float64(c.asked) - 1
}

// quantileMS returns a percentile of the latency in milliseconds; q is in percent.
func (c *collector) quantileMS(q float64) float64 {
	const usPerMS = 1000
	return float64(c.latency.ValueAtQuantile(q)) / usPerMS
}

// quietViolation returns the longest time in seconds between the acceptance of an
// operator's change and a search started on a target that should be quiet.
func quietViolation(cluster *Cluster) float64 {
	worst := time.Duration(0)
	for _, q := range cluster.quietSpans {
		for _, e := range cluster.Targets[q.target].Ledger().Entries() {
			if e.StartedAt.After(q.accepted) && (q.until.IsZero() || e.StartedAt.Before(q.until)) {
				worst = max(worst, e.StartedAt.Sub(q.accepted))
			}
		}
	}
	return worst.Seconds()
}

// weightedService returns the service of the worst second relative to the service
// before the first fault, at most 1. The service of a period is the weight of the
// queries answered on time with at least the minimum coverage of their kind,
// divided by the weight of all queries sent in it.
func weightedService(samples []Sample, faults []Fault) float64 {
	steadyEnd := time.Duration(1<<63 - 1)
	if len(faults) > 0 {
		steadyEnd = faults[0].At
	}
	var steady servedWeight
	bySecond := make(map[int]*servedWeight)
	for i := range samples {
		s := &samples[i]
		at := s.Arrival.At
		if at < 0 {
			continue
		}
		if at < steadyEnd {
			steady.add(s)
		}
		second := int(at / time.Second)
		if bySecond[second] == nil {
			bySecond[second] = &servedWeight{}
		}
		bySecond[second].add(s)
	}
	worst := 1.0
	for _, b := range bySecond {
		worst = min(worst, b.share()/max(steady.share(), 1e-9))
	}
	return worst
}

// servedWeight sums the weights of the queries sent and of those served.
type servedWeight struct{ sent, served float64 }

func (v *servedWeight) add(s *Sample) {
	weight := s.Arrival.Kind.Weight
	v.sent += weight
	a := s.LastReply().Answer
	if a == nil || !onTime(s) {
		return
	}
	if float64(len(a.Results)) >= s.Arrival.Kind.MinCoverage*float64(len(s.Arrival.Group.Shards)) {
		v.served += weight
	}
}

// share returns the served fraction of the weight, or 1 if nothing was sent.
func (v *servedWeight) share() float64 {
	if v.sent == 0 {
		return 1
	}
	return v.served / v.sent
}
