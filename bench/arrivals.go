package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/peridotmux/peridotmux/standin"
	"github.com/peridotmux/peridotmux/topology"
)

// Arrival is one query that a simulated caller sends.
type Arrival struct {
	// At is the intended send time, relative to the start of the measurement. It
	// is negative for queries of the warm-up.
	At    time.Duration
	Kind  *topology.Kind
	Group *topology.Group
	// Key is the request key of a non-idempotent query; empty for others.
	Key  string
	Body []byte
	// Hash is the hash of Body, which identifies the query in the ledgers.
	Hash string
}

// resend returns the arrival to send at the given try, 0 being the first. A query
// with a request key is resent unchanged. One without a key gets a new body for
// each try, so that the targets' ledgers distinguish the sends.
func (a *Arrival) resend(try int) *Arrival {
	if try == 0 || a.Key != "" {
		return a
	}
	again := *a
	again.Body = fmt.Appendf(nil, `{"resend":%d,"of":%s}`, try, a.Body)
	again.Hash = standin.HashBody(again.Body)
	return &again
}

// Load describes the arrivals of one run. Utilization is the fraction of the
// scarcest shard's slots that the arrivals occupy on average.
type Load struct {
	Seed        uint64
	Utilization float64
	Warmup      time.Duration
	Duration    time.Duration
	// Queries limits the number of measured queries; 0 means no limit.
	Queries int
}

// meanService returns the mean of the stand-in targets' lognormal service time.
func meanService() time.Duration {
	const sigma = standin.DefaultServiceTimeSigma
	return time.Duration(float64(standin.DefaultMedianServiceTime) * math.Exp(sigma*sigma/2))
}

// Arrivals generates the queries of one run from its seed, ordered by time. The
// measured queries don't depend on the length of the warm-up.
func Arrivals(s *Site, l Load) []Arrival {
	rate := s.Rate(l.Utilization, meanService())
	d := arrivalGenerator{site: s, index: topology.NewIndex(s.Deployment), load: l, rate: rate * earlyWarmupFactor}
	full := -l.Warmup / 3
	all := d.generate("g", 5, -l.Warmup, full, 0)
	d.rate = rate
	all = append(all, d.generate("w", 6, full, 0, 0)...)
	return append(all, d.generate("q", 2, 0, l.Duration, l.Queries)...)
}

// earlyWarmupFactor scales the rate in the first two thirds of the warm-up.
const earlyWarmupFactor = 0.5

// arrivalGenerator generates Poisson arrivals at rate queries per second.
type arrivalGenerator struct {
	site  *Site
	index *topology.Index
	load  Load
	rate  float64
}

// generate returns the arrivals between two times, at most limit unless limit is
// 0. Sequences with the same seed and different streams are independent.
func (d *arrivalGenerator) generate(prefix string, stream uint64, from, to time.Duration, limit int) []Arrival {
	rng := rand.New(rand.NewPCG(d.load.Seed, stream)) //nolint:gosec // Repeatable by design.
	var all []Arrival
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() / d.rate * float64(time.Second))
		if at >= to || (limit > 0 && len(all) == limit) {
			return all
		}
		m := pickKind(d.site.Mix, rng.Float64())
		a := Arrival{At: at, Kind: d.index.Kind(m.Kind), Group: d.index.Group(m.Group)}
		name := fmt.Sprintf("%s-%s-%d-%d", prefix, m.Kind, d.load.Seed, len(all))
		a.Body = fmt.Appendf(nil, `{"q":%q}`, name)
		a.Hash = standin.HashBody(a.Body)
		if !a.Kind.Idempotent {
			a.Key = name
		}
		all = append(all, a)
	}
}

// pickKind returns the entry of mix that x, from [0, 1), falls into when the
// shares are laid end to end.
func pickKind(mix []KindShare, x float64) KindShare {
	for _, m := range mix {
		if x < m.Share {
			return m
		}
		x -= m.Share
	}
	return mix[len(mix)-1]
}
