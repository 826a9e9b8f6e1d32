// Package route holds the operators' route table: which requests go to which
// services, what may be repeated, and how long a request may take.
package route

import (
	"cmp"
	"slices"
	"time"
)

// ServiceName names a set of targets that answer alike.
type ServiceName string

// Name names a route.
type Name string

// Kind says what may be repeated.
type Kind uint8

// The kinds of requests.
const (
	// NonIdempotent requests run at most once for each request of a caller.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	if k == Idempotent {
		return "idempotent"
	}
	return "non-idempotent"
}

// WeightedService is one service of a route and its weight among the others.
type WeightedService struct {
	Service ServiceName
	Weight  float64
}

// Gather says that a request goes to one target of each shard and how the
// parts become one answer.
type Gather struct {
	// Shards are the services asked, one a shard.
	Shards []ServiceName
	// TopK is the number of records in the answer.
	TopK int
	// MinCoverage is the least share of the shards in a successful answer.
	MinCoverage float64
}

// MinParts returns the least number of parts of a successful answer.
func (g *Gather) MinParts() int {
	n := 1
	for float64(n) < g.MinCoverage*float64(len(g.Shards))-coverageSlack {
		n++
	}
	return n
}

// coverageSlack absorbs the rounding of MinCoverage.
const coverageSlack = 1e-9

// Route is one entry of the table.
type Route struct {
	Name Name
	// Host is the host that callers name, in lower case and without a port.
	Host string
	// Prefix begins the paths of the route's requests.
	Prefix string
	Kind   Kind
	// TimeLimit bounds the time until a request's final answer.
	TimeLimit time.Duration
	// Objective is the time within which an answer is worth most.
	Objective time.Duration
	// Priority orders routes, 0 first.
	Priority int
	// Attempts bounds the targets that may run one request, for each shard.
	Attempts int
	// Split are the services among which requests are divided; empty for
	// a route with a Gather.
	Split []WeightedService
	// Gather is nil for a route to one target.
	Gather *Gather
}

// Services lists the services that the route names.
func (r *Route) Services() []ServiceName {
	if r.Gather != nil {
		return r.Gather.Shards
	}
	out := make([]ServiceName, len(r.Split))
	for i, s := range r.Split {
		out[i] = s.Service
	}
	return out
}

// Service says how the targets of one service are treated.
type Service struct {
	Name ServiceName
	// HealthPath is where a target tells how it is.
	HealthPath string
	// MaxConnections is what a target accepts from all callers together.
	MaxConnections int
	// ColdTime is how long a target stays cold after its start.
	ColdTime time.Duration
	// ColdRate is the number of requests a second that a cold target carries.
	ColdRate float64
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the route table. It isn't changed once it is indexed.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[ServiceName]Service
	Limits   Limits

	byHost map[string]map[string]*Route
}

// Match returns the route with the longest prefix of path on host, nil if there
// is none. Every prefix begins and ends with a slash.
func (t *Table) Match(host, path string) *Route {
	prefixes := t.byHost[NormalizeHost(host)]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r := prefixes[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// Index checks the table and makes it ready for Match. The error is a *Fault.
func (t *Table) Index() error {
	if fault := t.check(); fault != nil {
		return fault
	}
	t.byHost = make(map[string]map[string]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		r.Host = NormalizeHost(r.Host)
		if t.byHost[r.Host] == nil {
			t.byHost[r.Host] = make(map[string]*Route)
		}
		t.byHost[r.Host][r.Prefix] = r
	}
	return nil
}

// ByName returns the routes in the order of their names.
func (t *Table) ByName() []*Route {
	out := make([]*Route, len(t.Routes))
	for i := range t.Routes {
		out[i] = &t.Routes[i]
	}
	slices.SortFunc(out, func(a, b *Route) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
