// Package report shares what gateways count of rollouts with control's leader, as a topic
// of the exchange. Gateways report sums since the start of the rollout, so that lost and
// repeated reports do no harm and a new leader learns all of them.
package report

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotmux/peridotmux/rollout"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

const (
	// topicName identifies the topic on the wire.
	topicName = "rollouts"
	// refreshInterval is the time after which a gateway repeats which steps it follows,
	// and repeatInterval that after which it repeats all sums.
	refreshInterval = time.Second
	repeatInterval  = 10 * time.Second
	// maxSeries bounds the sums of one gateway.
	maxSeries = 4096
)

// Applied says which step of a rollout a gateway follows.
type Applied struct {
	Order, Step uint64
	// OldInFlight is the number of requests in flight at targets of old versions.
	OldInFlight int
}

// seriesKey identifies one sum.
type seriesKey struct {
	order uint64
	key   rollout.Key
}

// Collector sums up the counts of one gateway. It implements outlier.Topic and is safe
// for concurrent use.
type Collector struct {
	vm          string
	incarnation uint64

	mu      sync.Mutex
	applied func() []Applied
	sums    map[seriesKey]rollout.Counts
	changed map[seriesKey]bool
	// sentApplied is what was last reported at refreshedAt, and repeatedAt when all sums
	// were last reported.
	sentApplied             []Applied
	refreshedAt, repeatedAt time.Time
}

// NewCollector returns the collector of a gateway. incarnation differs for each start of
// its process.
func NewCollector(vm string, incarnation uint64) *Collector {
	return &Collector{
		vm: vm, incarnation: incarnation, applied: func() []Applied { return nil },
		sums: make(map[seriesKey]rollout.Counts), changed: make(map[seriesKey]bool),
	}
}

// SetApplied sets the function that returns which steps the gateway follows.
func (c *Collector) SetApplied(f func() []Applied) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applied = f
}

// Add adds counts to those of a rollout. Sums beyond maxSeries are dropped.
func (c *Collector) Add(order uint64, k rollout.Key, n rollout.Counts) {
	if n == (rollout.Counts{}) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	id := seriesKey{order, k}
	if _, known := c.sums[id]; !known && len(c.sums) >= maxSeries {
		return
	}
	c.sums[id] = c.sums[id].Plus(n)
	c.changed[id] = true
}

// Retain drops the sums of other rollouts than those given.
func (c *Collector) Retain(orders []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.sums {
		if !slices.Contains(orders, id.order) {
			delete(c.sums, id)
			delete(c.changed, id)
		}
	}
}

// Name implements outlier.Topic.
func (c *Collector) Name() string { return topicName }

// Apply implements outlier.Topic. The state says which leader collects the sums: after a
// change, or a lost connection, all of them are reported again.
func (c *Collector) Apply([]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.repeatAll()
}

// repeatAll marks all sums and steps as not reported. c.mu must be held.
func (c *Collector) repeatAll() {
	for id := range c.sums {
		c.changed[id] = true
	}
	c.refreshedAt = time.Time{}
}

// Report implements outlier.Topic.
func (c *Collector) Report() []byte {
	c.mu.Lock()
	f := c.applied
	c.mu.Unlock()
	return c.report(f(), time.Now())
}

// report returns the sums that changed and the steps that are followed, nil if there is
// nothing to tell.
func (c *Collector) report(applied []Applied, now time.Time) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.repeatedAt) >= repeatInterval {
		c.repeatAll()
		c.repeatedAt = now
	}
	g := &pb.RolloutGateway{Vm: c.vm, Incarnation: c.incarnation}
	if !slices.Equal(applied, c.sentApplied) || len(applied) > 0 && now.Sub(c.refreshedAt) >= refreshInterval {
		c.sentApplied, c.refreshedAt = applied, now
		for _, a := range applied {
			g.Applied = append(g.Applied, &pb.RolloutApplied{Order: a.Order, Step: a.Step, OldInFlight: uint32(a.OldInFlight)}) //nolint:gosec // Not negative.
		}
	}
	for id := range c.changed {
		g.Counts = append(g.Counts, encodeCounts(id, c.sums[id]))
	}
	clear(c.changed)
	if len(g.GetCounts()) == 0 && len(g.GetApplied()) == 0 {
		return nil
	}
	return encode(&pb.RolloutReport{Gateways: []*pb.RolloutGateway{g}})
}

//nolint:gosec // The counts are not negative.
func encodeCounts(id seriesKey, n rollout.Counts) *pb.RolloutCounts {
	return &pb.RolloutCounts{
		Order: id.order, Target: id.key.Target, IsNew: id.key.New, Route: id.key.Route,
		Sent: uint32(n.Sent), Good: uint32(n.Good), Slow: uint32(n.Slow), VerySlow: uint32(n.VerySlow), Failed: uint32(n.Failed),
	}
}

func decodeCounts(c *pb.RolloutCounts) (seriesKey, rollout.Counts) {
	return seriesKey{c.GetOrder(), rollout.Key{Target: c.GetTarget(), New: c.GetIsNew(), Route: c.GetRoute()}},
		rollout.Counts{Sent: int(c.GetSent()), Good: int(c.GetGood()), Slow: int(c.GetSlow()), VerySlow: int(c.GetVerySlow()), Failed: int(c.GetFailed())}
}

func encode(r *pb.RolloutReport) []byte {
	data, err := proto.Marshal(r)
	if err != nil {
		// Only texts that aren't UTF-8 can't be encoded. They are left out of counts by
		// the checks of the list and the routes.
		return nil
	}
	return data
}
