package telemetry

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/peridotmux/peridotmux/topology"
)

// TargetLoad is the load of one target at its owner.
type TargetLoad struct {
	Target topology.TargetID
	// InFlight is the number of searches in flight.
	InFlight int
	// Limit is the concurrency limit of the target.
	Limit int
	// Cold is true during a cold start.
	Cold bool
}

// ShardQueue is the number of sub-requests of one shard that are queued at an
// owner.
type ShardQueue struct {
	Shard  topology.ShardID
	Queued int
}

// OwnerLoad is the load of all targets and queues of one owner.
type OwnerLoad struct {
	Targets []TargetLoad
	Queues  []ShardQueue
}

// Owner records the metrics of an owner. Its zero value records nothing. It is
// safe for concurrent use.
type Owner struct {
	service metric.Float64Histogram
	source  *atomic.Pointer[func() OwnerLoad]
}

func newOwner(b *builder) Owner {
	o := Owner{
		service: b.histogram("peridot.target.service", "s", "Time of searches at targets.", latencyBounds),
		source:  &atomic.Pointer[func() OwnerLoad]{},
	}
	inFlight := b.gauge("peridot.target.in_flight", "{request}", "Searches in flight at a target.")
	limit := b.gauge("peridot.target.limit", "{request}", "Searches that a target may be sent at once.")
	cold := b.gauge("peridot.target.cold", "{target}", "1 while a target is in a cold start.")
	queued := b.gauge("peridot.shard.queued", "{request}", "Sub-requests that wait for a slot.")
	b.observe("peridot.target", func(_ context.Context, out metric.Observer) error {
		load := o.load()
		for _, t := range load.Targets {
			target := metric.WithAttributes(attribute.String("target", string(t.Target)))
			out.ObserveFloat64(inFlight, float64(t.InFlight), target)
			out.ObserveFloat64(limit, float64(t.Limit), target)
			out.ObserveFloat64(cold, boolGauge(t.Cold), target)
		}
		for _, q := range load.Queues {
			shard := metric.WithAttributes(attribute.String("shard", string(q.Shard)))
			out.ObserveFloat64(queued, float64(q.Queued), shard)
		}
		return nil
	}, inFlight, limit, cold, queued)
	return o
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// load returns the load from the source, empty if none is set.
func (o *Owner) load() OwnerLoad {
	if f := o.source.Load(); f != nil {
		return (*f)()
	}
	return OwnerLoad{}
}

// SetSource sets the function that returns the load. It is called at each
// collection of the metrics, from any goroutine.
func (o *Owner) SetSource(load func() OwnerLoad) {
	if o.source != nil {
		o.source.Store(&load)
	}
}

// Served records a search at a target that has ended.
func (o *Owner) Served(g topology.GroupName, outcome string, service time.Duration) {
	if o.service == nil {
		return
	}
	o.service.Record(context.Background(), service.Seconds(), metric.WithAttributes(
		attribute.String("group", string(g)), attribute.String("outcome", outcome)))
}
