package route

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/peridotmux/peridotmux/workspace"
)

// Change is one difference between two tables.
type Change struct {
	// Location is the route, service or workspace, or a field of the whole table.
	Location string
	// From and To are the values as text, "" for an entry that isn't there.
	From, To string
}

// String returns the change as a line of text.
func (c Change) String() string {
	switch {
	case c.From == "":
		return "+ " + c.Location + " " + c.To
	case c.To == "":
		return "- " + c.Location + " " + c.From
	default:
		return "~ " + c.Location + " " + c.From + " -> " + c.To
	}
}

// Diff returns the changes from one table to another, sorted by location. Keys of
// workspaces are not among them; a workspace whose keys changed is.
func Diff(from, to *Table) []Change {
	var out []Change
	if from.Limits != to.Limits {
		out = append(out, Change{Location: "limits", From: fmt.Sprintf("%+v", from.Limits), To: fmt.Sprintf("%+v", to.Limits)})
	}
	out = append(out, diffEntries("route", routesByName(from), routesByName(to), describeRoute)...)
	out = append(out, diffEntries("service", from.Services, to.Services, func(s Service) string { return fmt.Sprintf("%+v", s) })...)
	out = append(out, diffEntries("workspace", workspacesByName(from), workspacesByName(to), describeWorkspace)...)
	return out
}

// diffEntries compares the entries of one kind by name.
func diffEntries[K ~string, V any](kind string, from, to map[K]V, describe func(V) string) []Change {
	var out []Change
	names := maps.Clone(from)
	maps.Copy(names, to)
	for _, name := range slices.SortedFunc(maps.Keys(names), cmp.Compare[K]) {
		before, had := from[name]
		after, has := to[name]
		if had && has && reflect.DeepEqual(before, after) {
			continue
		}
		c := Change{Location: quoted(kind, name)}
		if had {
			c.From = describe(before)
		}
		if has {
			c.To = describe(after)
		}
		out = append(out, c)
	}
	return out
}

func routesByName(t *Table) map[Name]Route {
	out := make(map[Name]Route, len(t.Routes))
	for _, r := range t.Routes {
		out[r.Name] = r
	}
	return out
}

func describeRoute(r Route) string {
	text := fmt.Sprintf("%s%s %v, time limit %v, objective %v, priority %d, attempts %d", r.Host, r.Prefix, r.Kind, r.TimeLimit, r.Objective, r.Priority, r.Attempts)
	if r.Public {
		text += ", public"
	}
	if r.Gather != nil {
		return text + fmt.Sprintf(", top %d of %v, minimum coverage %v", r.Gather.TopK, r.Gather.Shards, r.Gather.MinCoverage)
	}
	return text + fmt.Sprintf(", to %v", r.Split)
}

// workspaceView is a workspace with what can be compared of its keys.
type workspaceView struct {
	workspace.Workspace
	keys string
}

func workspacesByName(t *Table) map[workspace.Name]workspaceView {
	out := make(map[workspace.Name]workspaceView)
	if t.Workspaces == nil {
		return out
	}
	for w := range t.Workspaces.All {
		out[w.Name] = workspaceView{Workspace: *w, keys: t.Workspaces.KeysFingerprint(w.Name)}
	}
	return out
}

// describeWorkspace leaves the keys out: not even a digest of them is printed.
func describeWorkspace(w workspaceView) string {
	text := fmt.Sprintf("rate %v, burst %v, keys not shown", w.RatePerSecond, w.Burst)
	if w.HasPriority {
		text += fmt.Sprintf(", priority %d", w.Priority)
	}
	return text
}
