package bench

import (
	"context"
	"time"
)

// Request says what to measure.
type Request struct {
	Scenario   string
	Deployment string
	Load       Load
	// Policies names the policies in their order.
	Policies []string
}

// Names of the policies.
const (
	PolicyNaive   = "naive"
	PolicyProduct = "product"
	PolicyStatic  = "static"
)

// Report is the result of one request.
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

// Measure runs each policy in turn on fresh targets with the same arrivals and
// the same faults.
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
		report.put(name, m)
	}
	return report, nil
}

func measurePolicy(ctx context.Context, name string, site *Site, sc Scenario, l Load) (*Measures, error) {
	p, err := newPolicy(name, l.Seed)
	if err != nil {
		return nil, err
	}
	if name != PolicyProduct {
		l.Warmup = min(l.Warmup, plainWarmup)
	}
	return Execute(ctx, site, sc, l, p)
}

// siteFor builds the deployment with the scenario's mix of queries.
func siteFor(deployment string, sc Scenario) (*Site, error) {
	site, err := NewSite(deployment)
	if err != nil {
		return nil, err
	}
	if sc.NonIdempotentShare > 0 {
		site.setOnce(sc.NonIdempotentShare)
	}
	return site, nil
}

// setOnce gives non-idempotent kinds the given share of the arrivals.
func (s *Site) setOnce(share float64) {
	others := 0.0
	once := make(map[string]bool)
	for _, k := range s.Kinds {
		once[string(k.Name)] = !k.Idempotent
	}
	for _, m := range s.Mix {
		if !once[string(m.Kind)] {
			others += m.Share
		}
	}
	for i := range s.Mix {
		m := &s.Mix[i]
		if once[string(m.Kind)] {
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

func (r *Report) put(name string, m *Measures) {
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
	// owners take each target for cold until it has done its work.
	DefaultWarmup = 15 * time.Second
	// plainWarmup is enough for policies that learn nothing.
	plainWarmup = 2 * time.Second
)
