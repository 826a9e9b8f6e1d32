package route

import (
	"strconv"
	"strings"
)

// Fault is why a route table can't be taken, with its place.
type Fault struct {
	// Place is the route or service and the field, empty for the whole table.
	Place  string
	Reason string
}

// Error describes the fault.
func (f *Fault) Error() string {
	if f.Place == "" {
		return f.Reason
	}
	return f.Place + ": " + f.Reason
}

// NormalHost returns a host in lower case and without a port.
func NormalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// check returns the first fault, nil if there is none.
func (t *Table) check() *Fault {
	if t.Version == 0 {
		return &Fault{Place: "version", Reason: "a version is above 0"}
	}
	type place struct{ host, prefix string }
	seen := make(map[place]Name)
	for i := range t.Routes {
		r := &t.Routes[i]
		if fault := t.checkRoute(r); fault != nil {
			fault.Place = "route " + strconv.Quote(string(r.Name)) + " " + fault.Place
			return fault
		}
		p := place{NormalHost(r.Host), r.Prefix}
		if other, ok := seen[p]; ok {
			return &Fault{
				Place:  "route " + strconv.Quote(string(r.Name)),
				Reason: "route " + strconv.Quote(string(other)) + " has the same host and prefix",
			}
		}
		seen[p] = r.Name
	}
	return nil
}

func (t *Table) checkRoute(r *Route) *Fault {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return &Fault{Place: "prefix", Reason: "a prefix begins and ends with a slash"}
	case r.TimeLimit <= 0:
		return &Fault{Place: "time limit", Reason: "a time limit is above 0"}
	case r.Attempts < 1:
		return &Fault{Place: "attempts", Reason: "at least one attempt"}
	case r.Gather != nil && len(r.Split) > 0:
		return &Fault{Place: "services", Reason: "either one target or a gather"}
	case r.Gather != nil && len(r.Gather.Shards) == 0, r.Gather == nil && len(r.Split) == 0:
		return &Fault{Place: "services", Reason: "no service is named"}
	}
	for _, s := range r.Services() {
		if _, ok := t.Services[s]; !ok {
			return &Fault{Place: "services", Reason: "unknown service " + strconv.Quote(string(s))}
		}
	}
	if r.Gather != nil {
		return checkGather(r)
	}
	return checkWeights(r.Split)
}

func checkGather(r *Route) *Fault {
	switch {
	case r.Kind != Idempotent:
		return &Fault{Place: "kind", Reason: "a gather is idempotent"}
	case r.Gather.Top < 1:
		return &Fault{Place: "top", Reason: "at least one record"}
	case r.Gather.MinCoverage < 0 || r.Gather.MinCoverage > 1:
		return &Fault{Place: "minimum coverage", Reason: "a share from 0 to 1"}
	}
	seen := make(map[ServiceName]bool)
	for _, s := range r.Gather.Shards {
		if seen[s] {
			return &Fault{Place: "shards", Reason: "shard " + strconv.Quote(string(s)) + " is named twice"}
		}
		seen[s] = true
	}
	return nil
}

func checkWeights(split []Share) *Fault {
	sum := 0.0
	for _, s := range split {
		if s.Weight < 0 {
			return &Fault{Place: "weights", Reason: "a weight is not below 0"}
		}
		sum += s.Weight
	}
	if sum <= 0 {
		return &Fault{Place: "weights", Reason: "the weights add up to 0"}
	}
	return nil
}
