package route

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// testRoute returns a valid route to the service s.
func testRoute(name, host, prefix string) Route {
	return Route{
		Name: Name(name), Host: host, Prefix: prefix, Kind: Idempotent, TimeLimit: time.Second, Attempts: 1,
		Split: []WeightedService{{Service: "s", Weight: 1}},
	}
}

// testTable returns a table of the routes with the services s and t.
func testTable(routes ...Route) *Table {
	return &Table{Version: 1, Routes: routes, Services: map[ServiceName]Service{"s": {Name: "s"}, "t": {Name: "t"}}}
}

// A request must go to the route of its host with the longest prefix of its path;
// the host's case and port are ignored.
func TestMatchLongestPrefix(t *testing.T) {
	x := testTable(testRoute("a", "h.example", "/"), testRoute("b", "h.example", "/x/"), testRoute("c", "h.example", "/x/y/"), testRoute("d", "other", "/x/y/z/"))
	if err := x.Index(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/", "a"},
		{"h.example", "/x", "a"},
		{"h.example", "/x/", "b"},
		{"H.Example:80", "/x/q", "b"},
		{"h.example", "/x/y/z/q", "c"},
		{"other", "/x/y/z/q", "d"},
		{"other", "/x/y/", ""},
		{"nobody", "/", ""},
		{"h.example", "", ""},
	} {
		got := ""
		if r := x.Match(c.host, c.path); r != nil {
			got = string(r.Name)
		}
		if got != c.want {
			t.Errorf("%s%s goes to %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Match must find the same route as a linear search for the longest prefix.
func TestMatchAgainstLinearSearch(t *testing.T) {
	properties := gopter.NewProperties(nil)
	parts := gen.SliceOf(gen.OneConstOf("a", "b", "ab"))
	properties.Property("longest prefix", prop.ForAll(func(prefixes [][]string, path []string) bool {
		x := testTable()
		seen := map[string]bool{}
		for i, p := range prefixes {
			prefix := "/" + strings.Join(append(p, ""), "/")
			prefix = strings.ReplaceAll(prefix, "//", "/")
			if !seen[prefix] {
				seen[prefix] = true
				x.Routes = append(x.Routes, testRoute(fmt.Sprint(i), "h", prefix))
			}
		}
		if err := x.Index(); err != nil {
			return false
		}
		requested := "/" + strings.Join(path, "/")
		want := ""
		for prefix := range seen {
			if strings.HasPrefix(requested, prefix) && len(prefix) > len(want) {
				want = prefix
			}
		}
		r := x.Match("h", requested)
		return (r == nil && want == "") || (r != nil && r.Prefix == want)
	}, gen.SliceOf(parts), parts))
	properties.TestingRun(t)
}

// An invalid table must be rejected with the route that is at fault.
func TestInvalidTablesAreRejected(t *testing.T) {
	change := func(edit func(*Route)) Route {
		r := testRoute("r", "h", "/")
		edit(&r)
		return r
	}
	gather := func(shards ...ServiceName) func(*Route) {
		return func(r *Route) { r.Split, r.Gather = nil, &Gather{Shards: shards, TopK: 1} }
	}
	for name, r := range map[string]Route{
		"unknown service":        change(func(r *Route) { r.Split[0].Service = "nobody" }),
		"no time limit":          change(func(r *Route) { r.TimeLimit = 0 }),
		"weights of 0":           change(func(r *Route) { r.Split[0].Weight = 0 }),
		"negative weight":        change(func(r *Route) { r.Split = append(r.Split, WeightedService{"t", -1}) }),
		"no service":             change(func(r *Route) { r.Split = nil }),
		"no trailing slash":      change(func(r *Route) { r.Prefix = "/x" }),
		"no attempt":             change(func(r *Route) { r.Attempts = 0 }),
		"duplicate shard":        change(gather("s", "s")),
		"unknown shard":          change(gather("s", "nobody")),
		"non-idempotent gather":  change(func(r *Route) { gather("s")(r); r.Kind = NonIdempotent }),
		"coverage above 1":       change(func(r *Route) { gather("s")(r); r.Gather.MinCoverage = 1.1 }),
		"split and gather":       change(func(r *Route) { s := r.Split; gather("s")(r); r.Split = s }),
		"no records in response": change(func(r *Route) { gather("s")(r); r.Gather.TopK = 0 }),
	} {
		var verr *ValidationError
		if err := testTable(r).Index(); !errors.As(err, &verr) || !strings.Contains(verr.Location, `"r"`) {
			t.Errorf("%s: %v", name, err)
		}
	}
	var verr *ValidationError
	if err := testTable(testRoute("a", "h", "/x/"), testRoute("b", "H:80", "/x/")).Index(); !errors.As(err, &verr) {
		t.Errorf("the same host and prefix: %v", err)
	}
	if err := (&Table{}).Index(); !errors.As(err, &verr) {
		t.Errorf("no version: %v", err)
	}
}

// MinParts must be the smallest number of parts that reaches the coverage, in spite
// of floating-point rounding.
func TestMinParts(t *testing.T) {
	for _, c := range []struct {
		shards int
		share  float64
		want   int
	}{{10, 0.89, 9}, {10, 0.9, 9}, {10, 0.75, 8}, {36, 0.95, 35}, {15, 0.89, 14}, {10, 0, 1}, {10, 1, 10}, {1, 0.5, 1}} {
		g := Gather{Shards: make([]ServiceName, c.shards), MinCoverage: c.share}
		if got := g.MinParts(); got != c.want {
			t.Errorf("%v of %d shards: minimum of %d parts, want %d", c.share, c.shards, got, c.want)
		}
	}
}

// Over any 300 consecutive requests, each service's share of requests must be
// within 0.1 of its share of the weights.
func TestPickFollowsWeights(t *testing.T) {
	split := []WeightedService{{"a", 1}, {"b", 0}, {"c", 3}, {"d", 6}}
	for start := range uint64(2000) {
		counts := map[ServiceName]int{}
		for turn := range uint64(300) {
			counts[Pick(split, start+turn)]++
		}
		for _, s := range split {
			if off := math.Abs(float64(counts[s.Service])/300 - s.Weight/10); off > 0.1 {
				t.Fatalf("from turn %d service %s is %.3f off", start, s.Service, off)
			}
		}
		if counts["b"] > 0 {
			t.Fatal("a service with weight 0 got requests")
		}
	}
}
