package route

import (
	"cmp"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

// Warning is something in a valid table that is probably not meant: an entry that no
// request can match, a service that gets nothing, or limits that contradict each other.
type Warning struct {
	// Location is the route, service or workspace, and the field.
	Location string
	Text     string
}

// String returns the warning as a line of text.
func (w Warning) String() string { return w.Location + ": " + w.Text }

// Warnings returns the warnings about a table, sorted by location.
func (t *Table) Warnings() []Warning {
	var out []Warning
	for i := range t.Routes {
		out = append(out, t.routeWarnings(&t.Routes[i])...)
	}
	out = append(out, t.serviceWarnings()...)
	out = append(out, t.workspaceWarnings()...)
	out = append(out, t.limitWarnings()...)
	slices.SortStableFunc(out, func(a, b Warning) int { return cmp.Compare(a.Location, b.Location) })
	return out
}

func quoted[T ~string](kind string, name T) string { return kind + " " + strconv.Quote(string(name)) }

func (t *Table) routeWarnings(r *Route) []Warning {
	var out []Warning
	warn := func(when bool, field, format string, args ...any) {
		if when {
			out = append(out, Warning{Location: quoted("route", r.Name) + " " + field, Text: fmt.Sprintf(format, args...)})
		}
	}
	warn(r.Host == "" || strings.ContainsAny(r.Host, "/ ?#@\t"), "host", "never matches: no request has this host")
	warn(!canBePath(r.Prefix), "prefix", "never matches: no request has such a path; characters in it must be escaped")
	warn(r.Objective <= 0, "latency objective", "no answer can meet it")
	warn(r.Objective > r.TimeLimit, "latency objective", "%v is above the time limit of %v, which ends requests before it", r.Objective, r.TimeLimit)
	for _, s := range r.Split {
		warn(s.Weight == 0, "weights", "service %q gets no requests", s.Service)
	}
	warn(t.Workspaces != nil && t.Workspaces.Len() == 0 && !r.Public, "workspaces", "all requests are refused: the configuration has no workspace, and the route isn't public")
	if r.Gather == nil {
		return out
	}
	warn(r.Gather.MinCoverage == 0, "minimum coverage", "0: an answer with a single part is a success")
	return out
}

// canBePath reports whether a request's escaped path can begin with a prefix.
func canBePath(prefix string) bool {
	u, err := url.ParseRequestURI(prefix)
	return err == nil && u.RawQuery == "" && u.EscapedPath() == prefix && !strings.ContainsAny(prefix, "?#")
}

func (t *Table) serviceWarnings() []Warning {
	var out []Warning
	used := t.UsedServices()
	for name, s := range t.Services {
		warn := func(when bool, field, text string) {
			if when {
				out = append(out, Warning{Location: quoted("service", name) + " " + field, Text: text})
			}
		}
		warn(!used[name], "use", "no route names it")
		warn(s.MaxConnections < 1, "connections", "below 1: its targets accept no connection")
		warn(!strings.HasPrefix(s.HealthPath, "/"), "health path", "doesn't begin with a slash; \"/health\" is asked in its place if it is empty")
	}
	return out
}

func (t *Table) workspaceWarnings() []Warning {
	if t.Workspaces == nil {
		return nil
	}
	var out []Warning
	for w := range t.Workspaces.All {
		if !w.Limited() && w.Burst > 0 {
			out = append(out, Warning{Location: quoted("workspace", w.Name) + " burst", Text: "has no effect without a rate, which is no limit"})
		}
		if w.Limited() && w.RatePerSecond+w.Burst < 1 {
			out = append(out, Warning{Location: quoted("workspace", w.Name) + " rate", Text: "allows less than one request in a second"})
		}
	}
	return out
}

func (t *Table) limitWarnings() []Warning {
	var out []Warning
	if t.Limits.BodyBytes <= 0 {
		out = append(out, Warning{Location: "limits body", Text: "0: requests with a body are refused"})
	}
	if t.Limits.HeaderTimeout > 0 && t.Limits.IdleTimeout > 0 && t.Limits.HeaderTimeout > t.Limits.IdleTimeout {
		out = append(out, Warning{Location: "limits idle timeout", Text: fmt.Sprintf("%v is below the time of %v in which a request's head may come", t.Limits.IdleTimeout, t.Limits.HeaderTimeout)})
	}
	return out
}
