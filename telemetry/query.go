package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/topology"
)

// latencyBounds are the histogram's buckets for latencies, in seconds.
var latencyBounds = []float64{
	0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.08, 0.1, 0.13, 0.16, 0.2, 0.25, 0.3, 0.4, 0.5, 0.75, 1, 2, 5, 10,
}

// coverageBounds are the histogram's buckets for coverage, as shares.
var coverageBounds = []float64{0, 0.25, 0.5, 0.75, 0.8, 0.9, 0.95, 0.99, 0.999}

// ExtraReason says why a sub-request was sent beside the first one of its shard.
type ExtraReason string

const (
	// ExtraHedge is a second attempt while the first still runs.
	ExtraHedge ExtraReason = "hedge"
	// ExtraRetry is an attempt after one that failed.
	ExtraRetry ExtraReason = "retry"
)

// Query records what becomes of queries. Its zero value records nothing.
type Query struct {
	latency  metric.Float64Histogram
	coverage metric.Float64Histogram
	refusals metric.Int64Counter
	first    metric.Int64Counter
	extra    metric.Int64Counter
	missing  metric.Int64Counter
}

func newQuery(b *builder) Query {
	return Query{
		latency:  b.histogram("peridot.query.latency", "s", "Time from request to answer.", latencyBounds),
		coverage: b.histogram("peridot.query.coverage", "1", "Share of asked shards in answers.", coverageBounds),
		refusals: b.counter("peridot.query.refusals", "{query}", "Refused queries."),
		first:    b.counter("peridot.subrequest.first", "{request}", "First sub-requests of a shard."),
		extra:    b.counter("peridot.subrequest.extra", "{request}", "Sub-requests beside the first of a shard."),
		missing:  b.counter("peridot.query.missing", "{shard}", "Shards that answers don't cover."),
	}
}

func kindOf(k topology.KindName) attribute.KeyValue { return attribute.String("kind", string(k)) }

// Answered records a query's answer.
func (q *Query) Answered(k topology.KindName, latency time.Duration, covered, asked int) {
	if q.latency == nil {
		return
	}
	ctx := context.Background()
	kind := metric.WithAttributes(kindOf(k))
	q.latency.Record(ctx, latency.Seconds(), kind)
	if asked > 0 {
		q.coverage.Record(ctx, float64(covered)/float64(asked), kind)
	}
}

// Refused records a refusal.
func (q *Query) Refused(k topology.KindName, code api.Code, execution api.Execution) {
	if q.refusals == nil {
		return
	}
	q.refusals.Add(context.Background(), 1, metric.WithAttributes(
		kindOf(k), attribute.String("code", string(code)), attribute.String("execution", string(execution))))
}

// Missing records a shard that an answer doesn't cover.
func (q *Query) Missing(k topology.KindName, reason api.MissingReason) {
	if q.missing == nil {
		return
	}
	q.missing.Add(context.Background(), 1, metric.WithAttributes(
		kindOf(k), attribute.String("reason", string(reason))))
}

// Sent records the first sub-requests of a query.
func (q *Query) Sent(k topology.KindName, shards int) {
	if q.first == nil {
		return
	}
	q.first.Add(context.Background(), int64(shards), metric.WithAttributes(kindOf(k)))
}

// SentExtra records a sub-request beside the first one of its shard.
func (q *Query) SentExtra(k topology.KindName, why ExtraReason) {
	if q.extra == nil {
		return
	}
	q.extra.Add(context.Background(), 1, metric.WithAttributes(
		kindOf(k), attribute.String("why", string(why))))
}
