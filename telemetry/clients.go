package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Clients records the metrics of what clients hold. Its zero value records nothing. It is
// safe for concurrent use.
type Clients struct {
	limited     metric.Int64Counter
	held        metric.Float64ObservableGauge
	connections metric.Float64ObservableGauge
	builder     *builder
}

func newClients(b *builder) Clients {
	return Clients{
		limited:     b.counter("peridotmux_clients_limited", "1", "Clients that were refused or closed, by class and cause."),
		held:        b.gauge("peridotmux_clients_held_bytes", "By", "Memory that clients hold: connections, heads, bodies and unread answers."),
		connections: b.gauge("peridotmux_clients_connections", "{connection}", "Open connections of clients, by class."),
		builder:     b,
	}
}

// Limited records that a client of a class was refused or closed.
func (c *Clients) Limited(class, cause string) {
	if c.limited != nil {
		c.limited.Add(context.Background(), 1, metric.WithAttributes(attribute.String("class", class), attribute.String("cause", cause)))
	}
}

// Observe makes current return what clients hold, in bytes, and their connections by
// class. It is called at each read of the metrics.
func (c *Clients) Observe(current func() (held int64, connections map[string]int)) {
	if c.builder == nil {
		return
	}
	c.builder.observe("peridotmux_clients_held_bytes", func(_ context.Context, o metric.Observer) error {
		held, connections := current()
		o.ObserveFloat64(c.held, float64(held))
		for class, n := range connections {
			o.ObserveFloat64(c.connections, float64(n), metric.WithAttributes(attribute.String("class", class)))
		}
		return nil
	}, c.held, c.connections)
}
