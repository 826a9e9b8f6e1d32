package bench

import (
	"context"
	"time"
)

// Request describes a measurement. If Load.Utilization is 0, the scenario's
// applies.
type Request struct {
	Scenario   string
	Deployment string
	Load       Load
	// Policies names the policies to measure, in order.
	Policies []string
}

// Names of the policies.
const (
	PolicyNaive   = "naive"
	PolicyProduct = "product"
	PolicyStatic  = "static"
)

// Report is the result of one Request. Policies that weren't measured are nil.
type Report struct {
	Scenario    string      `json:"scenario"`
	Deployment  string      `json:"deployment"`
	Seed        uint64      `json:"seed"`
	Queries     int         `json:"queries"`
	DurationS   float64     `json:"duration_s"`
	Utilization float64     `json:"load"`
	Mix         []KindShare `json:"mix"`
	Naive       *Measures   `json:"naive,omitempty"`
	Product     *Measures   `json:"product,omitempty"`
	Static      *Measures   `json:"static,omitempty"`
}

// Measure runs the policies one after the other, each on fresh targets and with
// the same arrivals and faults. It returns an UnknownError for an unknown
// scenario, deployment or policy.
func Measure(ctx context.Context, q Request) (*Report, error) {
	sc, err := FindScenario(q.Scenario)
	if err != nil {
		return nil, err
	}
	if q.Load.Utilization == 0 {
		q.Load.Utilization = sc.Utilization
	}
	report := &Report{
		Scenario: q.Scenario, Deployment: q.Deployment, Seed: q.Load.Seed,
		DurationS: q.Load.Duration.Seconds(), Utilization: q.Load.Utilization,
	}
	for _, name := range q.Policies {
		site, err := siteFor(q.Deployment, sc)
		if err != nil {
			return nil, err
		}
		report.Mix = site.Mix
		m, err := measurePolicy(ctx, name, site, sc, q.Load)
		if err != nil {
			return nil, err
		}
		report.set(name, m)
	}
	return report, nil
}

// measurePolicy runs the scenario with the named policy.
func measurePolicy(ctx context.Context, name string, site *Site, sc Scenario, l Load) (*Measures, error) {
	p, err := newPolicy(name, l.Seed)
	if err != nil {
		return nil, err
	}
	if name != PolicyProduct {
		l.Warmup = min(l.Warmup, baselineWarmup)
	}
	return Execute(ctx, site, sc, l, p)
}

// siteFor returns the deployment with the scenario's mix of queries.
func siteFor(deployment string, sc Scenario) (*Site, error) {
	site, err := NewSite(deployment)
	if err != nil {
		return nil, err
	}
	if sc.NonIdempotentShare > 0 {
		site.setNonIdempotentShare(sc.NonIdempotentShare)
	}
	return site, nil
}

// setNonIdempotentShare sets the share of each non-idempotent kind and scales the
// shares of the others to make up the rest.
func (s *Site) setNonIdempotentShare(share float64) {
	others := 0.0
	nonIdempotent := make(map[string]bool)
	for _, k := range s.Kinds {
		nonIdempotent[string(k.Name)] = !k.Idempotent
	}
	for _, m := range s.Mix {
		if !nonIdempotent[string(m.Kind)] {
			others += m.Share
		}
	}
	for i := range s.Mix {
		m := &s.Mix[i]
		if nonIdempotent[string(m.Kind)] {
			m.Share = share
		} else {
			m.Share *= (1 - share) / others
		}
	}
}

func newPolicy(name string, seed uint64) (Policy, error) {
	switch name {
	case PolicyNaive:
		return NewNaive(seed), nil
	case PolicyStatic:
		return NewStatic(seed), nil
	case PolicyProduct:
		return NewProduct(), nil
	}
	return nil, &UnknownError{Kind: "policy", Name: name}
}

// set stores the measurements of the named policy.
func (r *Report) set(name string, m *Measures) {
	r.Queries = m.Queries
	switch name {
	case PolicyNaive:
		r.Naive = m
	case PolicyStatic:
		r.Static = m
	default:
		r.Product = m
	}
}

const (
	// DefaultWarmup is the time under load before the product is measured. Its
	// owners treat each target as cold until it has served enough searches.
	DefaultWarmup = 15 * time.Second
	// baselineWarmup limits the warm-up of the other policies, which keep no
	// state that depends on load.
	baselineWarmup = 2 * time.Second
)
