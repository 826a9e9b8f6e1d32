package bench

import (
	"net/netip"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/standin"
	"github.com/peridotmux/peridotmux/topology"
)

// Cluster is the server-in targets of one run, with a record of the times in which
// they should be quiet.
type Cluster struct {
	Site    *Site
	Index   *topology.Index
	Targets map[topology.TargetID]*standin.Target

	mu         sync.Mutex
	quietSpans []quietSpan
	notes      []string
}

// quietSpan is a period in which a target should receive no new searches.
type quietSpan struct {
	target   topology.TargetID
	accepted time.Time
	until    time.Time // zero if it hasn't ended
}

// NewCluster starts the targets of a site, all warm, and sets their addresses in
// the deployment of the site. It returns the error of the first target that can't
// listen.
func NewCluster(s *Site, seed uint64) (*Cluster, error) {
	c := &Cluster{Site: s, Targets: make(map[topology.TargetID]*standin.Target, len(s.Targets))}
	index := topology.NewIndex(s.Deployment)
	for i := range s.Targets {
		t := &s.Targets[i]
		o := standin.OptionsFor(t, index.Group(t.Group))
		o.Seed = seed*1000 + uint64(i) //nolint:gosec // Small and positive.
		o.OneWayLatency = func(client netip.Addr) time.Duration { return s.OneWayLatency(client, t.DataCentre) }
		server := standin.New(o)
		if err := server.Listen(t.Addr); err != nil {
			c.Close()
			return nil, err
		}
		t.Addr = server.Addr()
		c.Targets[t.ID] = server
	}
	c.Index = topology.NewIndex(s.Deployment)
	return c, nil
}

// Close stops all targets.
func (c *Cluster) Close() {
	var all sync.WaitGroup
	for _, t := range c.Targets {
		all.Go(t.Close)
	}
	all.Wait()
}

// TargetsInDC returns the targets in a data centre.
func (c *Cluster) TargetsInDC(dc topology.DataCentre) []topology.TargetID {
	var ids []topology.TargetID
	for i := range c.Site.Targets {
		if t := &c.Site.Targets[i]; t.DataCentre == dc {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// markQuiet records that targets should receive no new searches from accepted on.
func (c *Cluster) markQuiet(accepted time.Time, ids ...topology.TargetID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.quietSpans = append(c.quietSpans, quietSpan{target: id, accepted: accepted})
	}
}

// markReturned records that targets may receive new searches again from now on.
func (c *Cluster) markReturned(now time.Time, ids ...topology.TargetID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.quietSpans {
		q := &c.quietSpans[i]
		for _, id := range ids {
			if q.target == id && q.until.IsZero() {
				q.until = now
			}
		}
	}
}

// note records an event of the run.
func (c *Cluster) note(line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notes = append(c.notes, line)
}
