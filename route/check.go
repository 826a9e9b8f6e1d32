package route

import (
	"strconv"
	"strings"
)

// ValidationError means that a route table is invalid.
type ValidationError struct {
	// Location is the route or service and the field, empty for the whole table.
	Location string
	Reason   string
}

// Error describes the failure.
func (e *ValidationError) Error() string {
	if e.Location == "" {
		return e.Reason
	}
	return e.Location + ": " + e.Reason
}

// NormalizeHost returns a host in lower case and without a port.
func NormalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// check returns the first error in the table, nil if there is none.
func (t *Table) check() *ValidationError {
	if t.Version == 0 {
		return &ValidationError{Location: "version", Reason: "a version is above 0"}
	}
	type hostPrefix struct{ host, prefix string }
	seen := make(map[hostPrefix]Name)
	for i := range t.Routes {
		r := &t.Routes[i]
		if verr := t.checkRoute(r); verr != nil {
			verr.Location = "route " + strconv.Quote(string(r.Name)) + " " + verr.Location
			return verr
		}
		p := hostPrefix{NormalizeHost(r.Host), r.Prefix}
		if other, ok := seen[p]; ok {
			return &ValidationError{
				Location: "route " + strconv.Quote(string(r.Name)),
				Reason:   "route " + strconv.Quote(string(other)) + " has the same host and prefix",
			}
		}
		seen[p] = r.Name
	}
	return nil
}

// checkRoute checks one route. The locations of its errors lack the route.
func (t *Table) checkRoute(r *Route) *ValidationError {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return &ValidationError{Location: "prefix", Reason: "a prefix begins and ends with a slash"}
	case r.TimeLimit <= 0:
		return &ValidationError{Location: "time limit", Reason: "a time limit is above 0"}
	case r.Attempts < 1:
		return &ValidationError{Location: "attempts", Reason: "at least one attempt"}
	case r.Gather != nil && len(r.Split) > 0:
		return &ValidationError{Location: "services", Reason: "either one target or a gather"}
	case r.Gather != nil && len(r.Gather.Shards) == 0, r.Gather == nil && len(r.Split) == 0:
		return &ValidationError{Location: "services", Reason: "no service is named"}
	}
	for _, s := range r.Services() {
		if _, ok := t.Services[s]; !ok {
			return &ValidationError{Location: "services", Reason: "unknown service " + strconv.Quote(string(s))}
		}
	}
	if r.Gather != nil {
		return checkGather(r)
	}
	return checkWeights(r.Split)
}

// checkGather checks the gather of a route. The locations of its errors lack the
// route.
func checkGather(r *Route) *ValidationError {
	switch {
	case r.Kind != Idempotent:
		return &ValidationError{Location: "kind", Reason: "a gather is idempotent"}
	case r.Gather.TopK < 1:
		return &ValidationError{Location: "top", Reason: "at least one record"}
	case r.Gather.MinCoverage < 0 || r.Gather.MinCoverage > 1:
		return &ValidationError{Location: "minimum coverage", Reason: "a share from 0 to 1"}
	}
	seen := make(map[ServiceName]bool)
	for _, s := range r.Gather.Shards {
		if seen[s] {
			return &ValidationError{Location: "shards", Reason: "shard " + strconv.Quote(string(s)) + " is named twice"}
		}
		seen[s] = true
	}
	return nil
}

// checkWeights checks that no weight is negative and that one is above 0.
func checkWeights(split []WeightedService) *ValidationError {
	sum := 0.0
	for _, s := range split {
		if s.Weight < 0 {
			return &ValidationError{Location: "weights", Reason: "a weight is not below 0"}
		}
		sum += s.Weight
	}
	if sum <= 0 {
		return &ValidationError{Location: "weights", Reason: "the weights add up to 0"}
	}
	return nil
}
