package route

import (
	"strconv"
	"strings"
)

// ValidationError is why a route table can't be taken, with its place.
type ValidationError struct {
	// Location is the route or service and the field, empty for the whole table.
	Location string
	Reason   string
}

// Error describes the fault.
func (f *ValidationError) Error() string {
	if f.Location == "" {
		return f.Reason
	}
	return f.Location + ": " + f.Reason
}

// NormalizeHost returns a host in lower case and without a port.
func NormalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// check returns the first fault, nil if there is none.
func (t *Table) check() *ValidationError {
	if t.Version == 0 {
		return &ValidationError{Location: "version", Reason: "a version is above 0"}
	}
	type place struct{ host, prefix string }
	seen := make(map[place]Name)
	for i := range t.Routes {
		r := &t.Routes[i]
		if fault := t.checkRoute(r); fault != nil {
			fault.Location = "route " + strconv.Quote(string(r.Name)) + " " + fault.Location
			return fault
		}
		p := place{NormalizeHost(r.Host), r.Prefix}
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
