package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Rollout records the metrics of rollouts at control's leader. Its zero value records
// nothing. It is safe for concurrent use.
type Rollout struct {
	steps metric.Int64Counter
	share metric.Float64Gauge
}

func newRollout(b *builder) Rollout {
	const name = "peridotmux_rollout_share"
	share, err := b.meter.Float64Gauge(name, metric.WithUnit("1"),
		metric.WithDescription("Share of requests for the new version, by service, as this member last decided."))
	b.keepError(name, err)
	return Rollout{
		steps: b.counter("peridotmux_rollout_steps", "1", "Steps of rollouts that this member decided, by service and state."),
		share: share,
	}
}

// Step records a decided step.
func (r *Rollout) Step(service, state string, share float64) {
	if r.steps == nil {
		return
	}
	by := attribute.String("service", service)
	r.steps.Add(context.Background(), 1, metric.WithAttributes(by, attribute.String("state", state)))
	r.share.Record(context.Background(), share, metric.WithAttributes(by))
}
