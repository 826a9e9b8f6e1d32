package forward

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"
)

// WriteStatus writes what the server believes now, for people: the routes in
// force, the list's age, and each target with its state and the reason.
func (s *Server) WriteStatus(w io.Writer) {
	now := time.Now()
	if t := s.table.Load(); t != nil {
		_, _ = fmt.Fprintf(w, "routes: version %d, %d routes, %d services\n", t.Version, len(t.Routes), len(t.Services))
	} else {
		_, _ = fmt.Fprintln(w, "routes: none known")
	}
	list := s.cfg.Inventory.List()
	if list.RequestedAt.IsZero() {
		_, _ = fmt.Fprintln(w, "targets: no list yet")
		return
	}
	_, _ = fmt.Fprintf(w, "targets: %d, list read %v ago; requests being answered: %d\n",
		len(list.Targets), list.Age(now).Round(time.Millisecond), s.Active())
	for _, line := range s.fleet.describe(now) {
		_, _ = fmt.Fprintln(w, line)
	}
}

// describe returns a line for each target, by service.
func (f *fleet) describe(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*backend
	for _, b := range f.byID {
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b *backend) int {
		return cmp.Or(cmp.Compare(a.target.Service, b.target.Service), cmp.Compare(a.target.ID, b.target.ID))
	})
	out := make([]string, 0, len(all)+1)
	out = append(out, fmt.Sprintf("gateways known: %d", f.routers))
	for _, b := range all {
		c := b.candidate(now, b.target.DataCentre == f.dataCentre)
		out = append(out, fmt.Sprintf("%-16s %-20s %-10s %-12s in flight %d, connections %d, slowness %.1f, failing %.2f",
			b.target.Service, b.target.ID, b.target.DataCentre, f.state(b, now), c.inflight, b.pool.NumOpen(), c.slowness, c.failing))
	}
	return out
}

// state says in a word whether a target may get work, and why not.
func (f *fleet) state(b *backend, now time.Time) string {
	_, quiet := f.quiet[b.target.DataCentre]
	switch {
	case b.target.Draining:
		return "draining"
	case b.gone:
		return "replaced"
	case quiet:
		return "quiet"
	case b.doubted:
		return "doubted"
	case b.coldUntil().After(now):
		return "cold"
	case !f.usable(b, now):
		return "returning"
	case b.crowdedUntil.After(now):
		return "crowded"
	default:
		return "usable"
	}
}
