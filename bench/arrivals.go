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

// Load describes the arrivals of one run.
type Load struct {
	Seed     uint64
	Share    float64
	Warmup   time.Duration
	Duration time.Duration
	// Queries bounds the measured queries, 0 for no bound.
	Queries int
}

// meanService is the mean of the stand-ins' lognormal service time.
func meanService() time.Duration {
	const sigma = standin.DefaultSigma
	return time.Duration(float64(standin.DefaultMedian) * math.Exp(sigma*sigma/2))
}

// Arrivals draws the queries of one run from its seed.
func Arrivals(s *Site, l Load) []Arrival {
	rng := rand.New(rand.NewPCG(l.Seed, 2)) //nolint:gosec // Repeatable on purpose.
	index := topology.NewIndex(s.Deployment)
	rate := s.Rate(l.Share, meanService())
	var all []Arrival
	measured := 0
	at := -l.Warmup
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= l.Duration || (l.Queries > 0 && measured == l.Queries) {
			return all
		}
		if at >= 0 {
			measured++
		}
		m := pick(s.Mix, rng.Float64())
		a := Arrival{At: at, Kind: index.Kind(m.Kind), Group: index.Group(m.Group)}
		a.Body = fmt.Appendf(nil, `{"q":"%s-%d-%d"}`, m.Kind, l.Seed, len(all))
		a.Hash = standin.HashBody(a.Body)
		if !a.Kind.Idempotent {
			a.Key = fmt.Sprintf("%s-%d-%d", m.Kind, l.Seed, len(all))
		}
		all = append(all, a)
	}
}

func pick(mix []Share, x float64) Share {
	for _, m := range mix {
		if x < m.Share {
			return m
		}
		x -= m.Share
	}
	return mix[len(mix)-1]
}
