package bench

import (
	"net/netip"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/standin"
	"github.com/peridotmux/peridotmux/topology"
)

// Cluster is the stand-in targets of one run, with what was done to them.
type Cluster struct {
	Site    *Site
	Index   *topology.Index
	Targets map[topology.TargetID]*standin.Target

	mu     sync.Mutex
	quiets []quietSpan
	notes  []string
}

// quietSpan is a time in which a target should receive nothing new.
type quietSpan struct {
	target   topology.TargetID
	accepted time.Time
	until    time.Time // zero while it lasts
}

// NewCluster starts the targets of a site, all warm.
func NewCluster(s *Site, seed uint64) (*Cluster, error) {
	w := &Cluster{Site: s, Targets: make(map[topology.TargetID]*standin.Target, len(s.Targets))}
	groups := topology.NewIndex(s.Deployment)
	for i := range s.Targets {
		t := &s.Targets[i]
		o := standin.OptionsFor(t, groups.Group(t.Group))
		o.Seed = seed*1000 + uint64(i) //nolint:gosec // Small and positive.
		o.OneWayLatency = func(client netip.Addr) time.Duration { return s.OneWayLatency(client, t.DataCentre) }
		stand := standin.New(o)
		if err := stand.Listen(t.Addr); err != nil {
			w.Close()
			return nil, err
		}
		t.Addr = stand.Addr()
		w.Targets[t.ID] = stand
	}
	w.Index = topology.NewIndex(s.Deployment)
	return w, nil
}

// Close ends all targets.
func (w *Cluster) Close() {
	var all sync.WaitGroup
	for _, t := range w.Targets {
		all.Go(t.Close)
	}
	all.Wait()
}

// TargetsInDC returns the targets in a data centre.
func (w *Cluster) TargetsInDC(dc topology.DataCentre) []topology.TargetID {
	var ids []topology.TargetID
	for i := range w.Site.Targets {
		if t := &w.Site.Targets[i]; t.DataCentre == dc {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// quiet notes that targets should receive nothing new from accepted on.
func (w *Cluster) quiet(accepted time.Time, ids ...topology.TargetID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		w.quiets = append(w.quiets, quietSpan{target: id, accepted: accepted})
	}
}

// returned notes that targets may receive work again from now on.
func (w *Cluster) returned(now time.Time, ids ...topology.TargetID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.quiets {
		q := &w.quiets[i]
		for _, id := range ids {
			if q.target == id && q.until.IsZero() {
				q.until = now
			}
		}
	}
}

// note keeps a line about something that happened in the run.
func (w *Cluster) note(line string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, line)
}
