package forward

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"
)

// WriteStatus writes the server's current state as text: the routes in force, the
// list's age, and each target with its state.
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
	for _, line := range append(s.scarceLines(), s.fleet.statusLines(now)...) {
		_, _ = fmt.Fprintln(w, line)
	}
}

// statusLines returns the number of known gateways and a line for each target,
// sorted by service and ID.
func (f *fleet) statusLines(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*backend
	for _, b := range f.byID {
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b *backend) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.id, b.id))
	})
	out := make([]string, 0, len(all)+1)
	out = append(out, fmt.Sprintf("gateways known: %d", f.routers))
	out = append(out, f.rollouts.statusLines()...)
	for _, b := range all {
		c := b.candidate(now, b.target.DataCentre == f.dataCentre)
		out = append(out, fmt.Sprintf("%-16s %-20s %-10s %-12s in flight %d, connections %d, slowness %.1f, failing %.2f%s%s",
			b.service, b.id, b.target.DataCentre, f.stateName(b, now), c.inFlight, b.pool.NumOpen(), c.slowness, c.failureRate, f.learnedText(b, now), f.limitText(b)))
	}
	return out
}

// stateName returns a target's state, which says whether and why it gets no
// requests.
func (f *fleet) stateName(b *backend, now time.Time) string {
	_, quiet := f.quiet[b.target.DataCentre]
	switch {
	case !f.rollouts.admits(b, now):
		return "version off"
	case b.target.Draining:
		return "draining"
	case b.replaced:
		return "replaced"
	case b.leaving:
		return "leaving"
	case quiet:
		return "quiet"
	case b.suspect:
		return "doubted"
	case b.silent:
		return "silent"
	case b.coldUntil().After(now):
		return "cold"
	case b.backOffUntil.After(now):
		return "backing off"
	case !f.usable(b, now):
		return "returning"
	case b.connLimitedUntil.After(now):
		return "crowded"
	default:
		return "usable"
	}
}
