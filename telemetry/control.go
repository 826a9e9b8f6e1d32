package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Control records the metrics of a control member. Its zero value records
// nothing. It is safe for concurrent use.
type Control struct {
	renewals metric.Int64Counter
	pushed   metric.Int64Counter
	claims   metric.Int64Counter
	moves    metric.Int64Counter
	diskFull metric.Int64Gauge
	scarce   metric.Int64Gauge
}

func newControl(b *builder) Control {
	const diskFull = "peridot.control.disk.full"
	full, err := b.meter.Int64Gauge(diskFull, metric.WithUnit("1"),
		metric.WithDescription("1 while the member waits for space in its data folder, otherwise 0."))
	b.keepError(diskFull, err)
	const scarceServices = "peridot.control.scarce.services"
	scarce, err := b.meter.Int64Gauge(scarceServices, metric.WithUnit("{service}"),
		metric.WithDescription("Services without spare capacity, at the leader."))
	b.keepError(scarceServices, err)
	return Control{
		scarce:   scarce,
		diskFull: full,
		renewals: b.counter("peridot.control.renewals", "{renewal}", "Renewals answered, by whether they gave a lease."),
		pushed:   b.counter("peridot.control.pushed", "{record}", "Records sent to routers."),
		claims:   b.counter("peridot.control.claims", "{claim}", "Claims answered, by status."),
		moves:    b.counter("peridot.control.moves", "{move}", "Targets given to another router, by reason."),
	}
}

// Renewed counts an answered renewal. Confirmed is true if it granted a lease.
func (c *Control) Renewed(confirmed bool) {
	addCount(c.renewals, 1, attribute.Bool("confirmed", confirmed))
}

// Pushed counts records sent to a router.
func (c *Control) Pushed(records int) { addCount(c.pushed, records) }

// Claimed counts an answered claim.
func (c *Control) Claimed(status string) { addCount(c.claims, 1, attribute.String("status", status)) }

// Moved counts the move of a target to another router.
func (c *Control) Moved(reason string) { addCount(c.moves, 1, attribute.String("reason", reason)) }

// DiskFull records whether the member waits for space in its data folder.
func (c *Control) DiskFull(full bool) {
	if c.diskFull == nil {
		return
	}
	value := int64(0)
	if full {
		value = 1
	}
	c.diskFull.Record(context.Background(), value)
}

// ScarceServices records the number of services without spare capacity.
func (c *Control) ScarceServices(n int) {
	if c.scarce != nil {
		c.scarce.Record(context.Background(), int64(n))
	}
}

// addCount adds n to c unless c is nil.
func addCount(c metric.Int64Counter, n int, attrs ...attribute.KeyValue) {
	if c != nil {
		c.Add(context.Background(), int64(n), metric.WithAttributes(attrs...))
	}
}
