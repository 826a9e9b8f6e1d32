// Package route defines the operators' route table: which services handle which
// requests, which requests may be repeated, and how long they may take.
package route

import (
	"time"

	"github.com/peridotmux/peridotmux/workspace"
)

// ServiceName names a set of targets that are interchangeable.
type ServiceName string

// Name names a route.
type Name string

// Kind says whether a request may be repeated.
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

// WeightedService is one service of a traffic split and its weight among the
// others.
type WeightedService struct {
	Service ServiceName
	Weight  float64
}

// Gather describes a request that goes to one target of each shard, and how the
// parts are merged into one response.
type Gather struct {
	// Shards are the services that the request is sent to, one for each shard.
	Shards []ServiceName
	// TopK is the number of records in the response.
	TopK int
	// MinCoverage is the minimum share of shards, from 0 to 1, that a successful
	// response must cover.
	MinCoverage float64
}

// MinParts returns the minimum number of parts in a successful response.
func (g *Gather) MinParts() int {
	n := 1
	for float64(n) < g.MinCoverage*float64(len(g.Shards))-coverageSlack {
		n++
	}
	return n
}

// coverageSlack compensates for floating-point rounding of MinCoverage.
const coverageSlack = 1e-9

// Route is one entry of the table.
type Route struct {
	Name Name
	// Host is the host name that callers use, in lower case and without a port.
	Host string
	// Prefix is the path prefix of the route's requests. It begins and ends with a
	// slash.
	Prefix string
	Kind   Kind
	// TimeLimit is the maximum time until the final response to a request.
	TimeLimit time.Duration
	// Objective is the latency objective for a response.
	Objective time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Attempts is the maximum number of targets that may run one request, for each
	// shard.
	Attempts int
	// Split lists the services that requests are distributed over. It is empty for
	// a route with a Gather.
	Split []WeightedService
	// Gather is nil for a route to a single target.
	Gather *Gather
	// Public means that requests need no workspace's key.
	Public bool
}

// Services returns the services that the route uses.
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

// Service describes how to treat the targets of one service.
type Service struct {
	Name ServiceName
	// HealthPath is the path of a target's health check.
	HealthPath string
	// MaxConnections is the number of connections that a target accepts from all
	// clients together.
	MaxConnections int
	// ColdTime is the duration of a target's cold start.
	ColdTime time.Duration
	// ColdRate is the number of requests per second that a target can handle during
	// its cold start.
	ColdRate float64
}

// Limits bound the size of callers' requests and the time that callers may take. 0
// means no limit, except for BodyBytes.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the route table. It must not be modified after Index.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[ServiceName]Service
	Limits   Limits
	// Workspaces finds the workspace of a request by its key. It is nil if the
	// configuration has no workspaces, and then requests need no key.
	Workspaces *workspace.Directory

	byHost map[string]map[string]*Route
}

// Match returns the route with the longest prefix of path on host, or nil if there
// is none. Since all prefixes end with a slash, only those of path that do are
// looked up.
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

// Index validates the table and prepares it for Match. It returns a
// *ValidationError if the table is invalid.
func (t *Table) Index() error {
	if verr := t.check(); verr != nil {
		return verr
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

// UsedServices returns the services that a route names.
func (t *Table) UsedServices() map[ServiceName]bool {
	out := make(map[ServiceName]bool)
	for i := range t.Routes {
		for _, s := range t.Routes[i].Services() {
			out[s] = true
		}
	}
	return out
}
