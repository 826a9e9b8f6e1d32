package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Capacity is what a target is thought to handle.
type Capacity struct {
	Service, Target string
	// Speed is the service time relative to the usual one, Limit the number of
	// concurrent requests, and Share the share of its requests that the target keeps.
	Speed, Limit, Share float64
	// Reason says what the estimate rests on.
	Reason string
}

// ObserveCapacity makes the metrics page show the targets whose capacity differs from
// the usual, as list returns them. The error is a *MetricsError.
func (m *Metrics) ObserveCapacity(list func() []Capacity) error {
	b := &builder{meter: m.provider.Meter(meterName)}
	speed := b.gauge("peridotmux_capacity_speed", "1", "Service time of an unusual target relative to the usual one, by service, target and reason.")
	limit := b.gauge("peridotmux_capacity_limit", "1", "Concurrent requests that an unusual target handles without slowing down.")
	share := b.gauge("peridotmux_capacity_share", "1", "Share of its requests that an unusual target keeps.")
	b.observe("peridotmux_capacity", func(_ context.Context, o metric.Observer) error {
		for _, c := range list() {
			by := metric.WithAttributes(attribute.String("service", c.Service), attribute.String("target", c.Target), attribute.String("reason", c.Reason))
			o.ObserveFloat64(speed, c.Speed, by)
			o.ObserveFloat64(limit, c.Limit, by)
			o.ObserveFloat64(share, c.Share, by)
		}
		return nil
	}, speed, limit, share)
	return b.err
}
