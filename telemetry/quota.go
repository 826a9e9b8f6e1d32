package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Quota records the metrics of shared quotas. Its zero value records nothing. It is safe
// for concurrent use.
type Quota struct {
	waited   metric.Int64Counter
	granted  metric.Int64Counter
	sessions metric.Int64Gauge
}

func newQuota(b *builder) Quota {
	const sessions = "peridotmux_quota_sessions"
	g, err := b.meter.Int64Gauge(sessions, metric.WithUnit("{session}"),
		metric.WithDescription("Sessions of gateways at the holder of quotas, when the last one began."))
	b.keepError(sessions, err)
	return Quota{
		waited:   b.counter("peridotmux_quota_waits", "{request}", "Requests that had to wait for a credit of their workspace's quota, by outcome."),
		granted:  b.counter("peridotmux_quota_credits", "{credit}", "Credits that the holder of quotas granted."),
		sessions: g,
	}
}

// Waited records a request that waited for a credit, and why it was refused.
func (q *Quota) Waited(admitted bool, reason string) {
	if q.waited == nil {
		return
	}
	if admitted {
		reason = "admitted"
	}
	q.waited.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", reason)))
}

// Granted records granted credits.
func (q *Quota) Granted(n int) {
	if q.granted != nil && n > 0 {
		q.granted.Add(context.Background(), int64(n))
	}
}

// Sessions records the number of sessions.
func (q *Quota) Sessions(n int) {
	if q.sessions != nil {
		q.sessions.Record(context.Background(), int64(n))
	}
}
