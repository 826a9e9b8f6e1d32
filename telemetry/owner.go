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
	Target   topology.TargetID
	InFlight int
	Limit    int
	Cold     bool
}

// ShardQueue is the number of sub-requests of one shard that wait at an owner.
type ShardQueue struct {
	Shard  topology.ShardID
	Queued int
}

// OwnerLoad is the load of all targets and queues of one owner.
type OwnerLoad struct {
	Targets []TargetLoad
	Queues  []ShardQueue
}

// Owner records what an owner does. Its zero value records nothing.
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

func (o *Owner) load() OwnerLoad {
	if f := o.source.Load(); f != nil {
		return (*f)()
	}
	return OwnerLoad{}
}

// SetSource sets where the load is read each time the metrics are asked for. Load
// is called from any goroutine.
func (o *Owner) SetSource(load func() OwnerLoad) {
	if o.source != nil {
		o.source.Store(&load)
	}
}

// Served records the end of one search at a target.
func (o *Owner) Served(g topology.GroupName, outcome string, service time.Duration) {
	if o.service == nil {
		return
	}
	o.service.Record(context.Background(), service.Seconds(), metric.WithAttributes(
		attribute.String("group", string(g)), attribute.String("outcome", outcome)))
}
