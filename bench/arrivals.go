package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/peridotmux/peridotmux/standin"
	"github.com/peridotmux/peridotmux/topology"
)

// Arrival is one query that callers will send.
type Arrival struct {
	// At is the intended send time after the begin of the load. It is negative
	// for queries that only warm the system up.
	At    time.Duration
	Kind  *topology.Kind
	Group *topology.Group
	// Key is the request key of a non-idempotent query.
	Key  string
	Body []byte
	Hash string
}

// resend returns what the caller sends at its nth try. A query with a request
// key is sent again as it is. One without a key can't be told from a new one, so
// it gets a body of its own, by which the targets' ledgers tell its sends apart.
func (a *Arrival) resend(try int) *Arrival {
	if try == 0 || a.Key != "" {
		return a
	}
	again := *a
	again.Body = fmt.Appendf(nil, `{"resend":%d,"of":%s}`, try, a.Body)
	again.Hash = standin.HashBody(again.Body)
	return &again
}

// Load describes the arrivals of one run.
type Load struct {
	Seed        uint64
	Utilization float64
	Warmup      time.Duration
	Duration    time.Duration
	// Queries bounds the measured queries, 0 for no bound.
	Queries int
}

// meanService is the mean of the stand-ins' lognormal service time.
func meanService() time.Duration {
	const sigma = standin.DefaultServiceTimeSigma
	return time.Duration(float64(standin.DefaultMedianServiceTime) * math.Exp(sigma*sigma/2))
}

// Arrivals draws the queries of one run from its seed. The measured ones don't
// depend on the length of the warm-up.
func Arrivals(s *Site, l Load) []Arrival {
	rate := s.Rate(l.Utilization, meanService())
	d := drawer{site: s, index: topology.NewIndex(s.Deployment), load: l, rate: rate * gentleShare}
	full := -l.Warmup / 3
	all := d.draw("g", 5, -l.Warmup, full, 0)
	d.rate = rate
	all = append(all, d.draw("w", 6, full, 0, 0)...)
	return append(all, d.draw("q", 2, 0, l.Duration, l.Queries)...)
}

// gentleShare is the share of the load in the first two thirds of the warm-up.
const gentleShare = 0.5

// drawer draws arrivals.
type drawer struct {
	site  *Site
	index *topology.Index
	load  Load
	rate  float64
}

// draw returns the arrivals between two times, at most limit of them unless it
// is 0. Stream tells apart what is drawn from one seed.
func (d *drawer) draw(prefix string, stream uint64, from, to time.Duration, limit int) []Arrival {
	rng := rand.New(rand.NewPCG(d.load.Seed, stream)) //nolint:gosec // Repeatable on purpose.
	var all []Arrival
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() / d.rate * float64(time.Second))
		if at >= to || (limit > 0 && len(all) == limit) {
			return all
		}
		m := pick(d.site.Mix, rng.Float64())
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

func pick(mix []KindShare, x float64) KindShare {
	for _, m := range mix {
		if x < m.Share {
			return m
		}
		x -= m.Share
	}
	return mix[len(mix)-1]
}
