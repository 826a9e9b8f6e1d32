package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/metric"
)

// List records the metrics of the platform's list of targets as this process read it.
// Its zero value records nothing. It is safe for concurrent use.
type List struct {
	invalid metric.Int64Gauge
}

func newList(b *builder) List {
	const name = "peridotmux_list_invalid_entries"
	g, err := b.meter.Int64Gauge(name, metric.WithUnit("{entry}"),
		metric.WithDescription("Entries that name no target, in the last list that this process read from the platform."))
	b.keepError(name, err)
	return List{invalid: g}
}

// InvalidEntries records the number of entries of a whole list that name no target.
func (l *List) InvalidEntries(n int) {
	if l.invalid != nil {
		l.invalid.Record(context.Background(), int64(n))
	}
}
