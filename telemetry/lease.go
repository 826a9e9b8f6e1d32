package telemetry

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// LeaseState is a router's lease and the versions that it works on.
type LeaseState struct {
	// Left is the time until the lease ends, negative once it has ended.
	Left time.Duration
	// Age is the time since the confirmation that the lease rests on.
	Age time.Duration
	// Index is the log index up to which records are applied.
	Index uint64
	// ConfigVersion is the version of the deployment in force.
	ConfigVersion uint64
}

// Direction says which way bytes went.
type Direction string

const (
	// Received counts bytes that this process read.
	Received Direction = "received"
	// Sent counts bytes that this process wrote.
	Sent Direction = "sent"
)

// Lease records the lease and the traffic with control. Its zero value records
// nothing.
type Lease struct {
	bytes  metric.Int64Counter
	source *atomic.Pointer[func() LeaseState]
}

func newLease(b *builder) Lease {
	l := Lease{
		bytes:  b.counter("peridot.control.traffic", "By", "Bytes between this process and control."),
		source: &atomic.Pointer[func() LeaseState]{},
	}
	left := b.gauge("peridot.lease.left", "s", "Time until the lease ends.")
	age := b.gauge("peridot.lease.age", "s", "Time since the confirmation under the lease.")
	index := b.gauge("peridot.control.index", "{index}", "Log index up to which records are applied.")
	version := b.gauge("peridot.deployment.version", "{version}", "Version of the deployment in force.")
	b.observe("peridot.lease", func(_ context.Context, out metric.Observer) error {
		f := l.source.Load()
		if f == nil {
			return nil
		}
		s := (*f)()
		out.ObserveFloat64(left, s.Left.Seconds())
		out.ObserveFloat64(age, s.Age.Seconds())
		out.ObserveFloat64(index, float64(s.Index))
		out.ObserveFloat64(version, float64(s.ConfigVersion))
		return nil
	}, left, age, index, version)
	return l
}

// SetSource sets where the lease is read each time the metrics are asked for. State
// is called from any goroutine.
func (l *Lease) SetSource(state func() LeaseState) {
	if l.source != nil {
		l.source.Store(&state)
	}
}

// AddBytes records traffic with control.
func (l *Lease) AddBytes(d Direction, n int) {
	if l.bytes == nil {
		return
	}
	l.bytes.Add(context.Background(), int64(n), metric.WithAttributes(attribute.String("direction", string(d))))
}
