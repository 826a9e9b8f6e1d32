package bench

import (
	"encoding/json"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/standin"
	"github.com/peridotmux/peridotmux/topology"
)

// Measures is what one policy did in one run.
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
	// Queries counts the measured queries, Answered those with an answer.
	Queries  int `json:"queries"`
	Answered int `json:"answered"`
	// Resent counts the sends after the first.
	Resent int `json:"resent"`
	// Missing counts shards that answers left out, by reason.
	Missing map[api.MissingReason]int `json:"missing,omitempty"`
	// Refusals counts refusals by code.
	Refusals map[api.Code]int `json:"refusals,omitempty"`
	// ShedByTargets and RefusedConnections come from the targets.
	ShedByTargets      int `json:"shed_by_targets"`
	RefusedConnections int `json:"refused_connections"`
	MaxConnections     int `json:"most_connections"`
}

// search names one shard of one query.
type search struct {
	hash  string
	shard topology.ShardID
}

// ledgers joins what all targets say they ran.
type ledgers struct {
	// begun counts the starts of a search, answered the versions it was
	// answered from.
	begun    map[search]int
	answered map[search]map[uint64]bool
	// ran counts the starts for a query.
	ran map[string]int
}

func readLedgers(w *Cluster, m *Measures) *ledgers {
	l := &ledgers{
		begun:    make(map[search]int),
		answered: make(map[search]map[uint64]bool),
		ran:      make(map[string]int),
	}
	for _, t := range w.Targets {
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
	s := search{hash: e.BodyHash, shard: e.Shard}
	l.begun[s]++
	l.ran[e.BodyHash]++
	if e.State != standin.Answered {
		return
	}
	if l.answered[s] == nil {
		l.answered[s] = make(map[uint64]bool)
	}
	l.answered[s][e.Version] = true
}

// measure checks all samples against the ledgers.
func measure(r *Run, samples []Sample, faults []Fault) *Measures {
	m := &Measures{Missing: make(map[api.MissingReason]int), Refusals: make(map[api.Code]int)}
	l := readLedgers(r.Cluster, m)
	c := newCollector(m, l)
	for i := range samples {
		if samples[i].Arrival.At >= 0 {
			c.take(&samples[i])
		}
	}
	c.finish()
	m.QuietViolationS = quietViolation(r.Cluster)
	m.WeightedService = weightedService(samples, faults)
	return m
}

// collector adds up the samples of one run.
type collector struct {
	m        *Measures
	l        *ledgers
	latency  *hdrhistogram.Histogram
	coverage float64
	complete int
	asked    int
	begun    int
}

func newCollector(m *Measures, l *ledgers) *collector {
	return &collector{m: m, l: l, latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (c *collector) take(s *Sample) {
	m, a := c.m, s.Arrival
	m.Queries++
	m.Resent += len(s.Replies) - 1
	c.asked += len(a.Group.Shards)
	sends := make(map[string]bool)
	if !a.Kind.Idempotent && c.ranTwice(a) {
		m.DuplicateRuns++
	}
	for _, reply := range s.Replies {
		sends[reply.Hash] = true
		c.refusal(reply.Hash, reply.Refusal)
		c.answer(a, reply.Hash, reply.Answer)
	}
	for hash := range sends {
		c.begun += c.l.ran[hash]
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
	case last.Refusal == nil:
		m.Lost++
	}
}

func onTime(s *Sample) bool { return s.Latency <= s.Arrival.Kind.Deadline }

func (c *collector) ranTwice(a *Arrival) bool {
	for _, shard := range a.Group.Shards {
		if c.l.begun[search{a.Hash, shard}] > 1 {
			return true
		}
	}
	return false
}

func (c *collector) refusal(hash string, r *api.Refusal) {
	if r == nil {
		return
	}
	c.m.Refused++
	c.m.Refusals[r.Code]++
	if r.Execution != api.NotRun {
		return
	}
	c.m.RefusedNotRun++
	if c.l.ran[hash] > 0 {
		c.m.FalseRefusals++
	}
}

// answer checks one answer against the ledgers.
func (c *collector) answer(a *Arrival, hash string, answer *api.Answer) {
	if answer == nil {
		return
	}
	for _, missing := range answer.Missing {
		c.m.Missing[missing.Reason]++
	}
	if !c.truthful(a, hash, answer) {
		c.m.FalseCoverage++
	}
	versions := make(map[uint64]bool)
	crossed := false
	for i := range answer.Results {
		result, ok := decodeResult(answer.Results[i].Body)
		versions[result.Version] = true
		if !ok || result.BodyHash != hash || result.Shard != answer.Results[i].Shard {
			crossed = true
		}
	}
	if crossed {
		c.m.MismatchedResults++
	}
	if len(versions) > 1 || len(versions) == 1 && !versions[answer.Snapshot] {
		c.m.MixedSnapshots++
	}
}

// truthful reports whether the answer names each asked shard once, and the
// targets' ledgers hold an answer for each one that it says it covers.
func (c *collector) truthful(a *Arrival, hash string, answer *api.Answer) bool {
	named := make(map[topology.ShardID]bool)
	for _, r := range answer.Results {
		if named[r.Shard] || len(c.l.answered[search{hash, r.Shard}]) == 0 {
			return false
		}
		named[r.Shard] = true
	}
	for _, missing := range answer.Missing {
		if named[missing.Shard] {
			return false
		}
		named[missing.Shard] = true
	}
	for _, shard := range a.Group.Shards {
		if !named[shard] {
			return false
		}
	}
	return len(named) == len(a.Group.Shards) && answer.Covered == len(answer.Results) &&
		answer.Asked == len(a.Group.Shards) && answer.Complete == (len(answer.Missing) == 0)
}

func decodeResult(body json.RawMessage) (standin.Result, bool) {
	var result standin.Result
	err := json.Unmarshal(body, &result)
	return result, err == nil
}

func (c *collector) finish() {
	m := c.m
	m.P50MS = c.quantileMS(50)
	m.P99MS = c.quantileMS(99)
	m.P999MS = c.quantileMS(99.9)
	if m.Queries == 0 {
		return
	}
	m.Coverage = c.coverage / float64(m.Queries)
	m.Complete = float64(c.complete) / float64(m.Queries)
	m.ExtraLoad = float64(c.begun)/float64(c.asked) - 1
}

func (c *collector) quantileMS(q float64) float64 {
	const usPerMS = 1000
	return float64(c.latency.ValueAtQuantile(q)) / usPerMS
}

// quietViolation returns how long after the acceptance of a change the last
// start at a quiet target was, in seconds.
func quietViolation(w *Cluster) float64 {
	worst := time.Duration(0)
	for _, q := range w.quiets {
		for _, e := range w.Targets[q.target].Ledger().Entries() {
			if e.StartedAt.After(q.accepted) && (q.until.IsZero() || e.StartedAt.Before(q.until)) {
				worst = max(worst, e.StartedAt.Sub(q.accepted))
			}
		}
	}
	return worst.Seconds()
}

// weightedService returns the service of the worst second over that of the
// time before the first fault. The service of a second is the weight of the
// queries answered on time with the minimum coverage of their kind, over the
// weight of all queries sent in it.
func weightedService(samples []Sample, faults []Fault) float64 {
	steadyEnd := time.Duration(1<<63 - 1)
	if len(faults) > 0 {
		steadyEnd = faults[0].At
	}
	var steady service
	bySecond := make(map[int]*service)
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
			bySecond[second] = &service{}
		}
		bySecond[second].add(s)
	}
	worst := 1.0
	for _, b := range bySecond {
		worst = min(worst, b.share()/max(steady.share(), 1e-9))
	}
	return worst
}

// service adds up weights of queries.
type service struct{ sent, served float64 }

func (v *service) add(s *Sample) {
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

func (v *service) share() float64 {
	if v.sent == 0 {
		return 1
	}
	return v.served / v.sent
}
