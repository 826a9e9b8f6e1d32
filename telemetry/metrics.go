package telemetry

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// meterName is the instrumentation scope of all metrics.
const meterName = "github.com/peridotmux/peridotmux"

// MetricsError reports that a metric could not be registered.
type MetricsError struct {
	// Name is the metric's name.
	Name  string
	Cause error
}

// Error implements error.
func (e *MetricsError) Error() string { return "metric " + e.Name + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MetricsError) Unwrap() error { return e.Cause }

// Metrics holds the recorders of one process's metrics and serves the metrics
// page. The recorders of its zero value record nothing; Forward is nil there.
type Metrics struct {
	Query   Query
	Owner   Owner
	Lease   Lease
	Control Control
	List    List
	Quota   Quota
	Rollout Rollout
	Clients Clients
	Forward *Forward

	registry *prometheus.Registry
	provider *sdk.MeterProvider
}

// NewMetrics returns metrics with a registry of their own, so that one process can
// hold several instances. The error is a *MetricsError.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, &MetricsError{Name: "exporter", Cause: err}
	}
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m := &Metrics{registry: registry, provider: sdk.NewMeterProvider(sdk.WithReader(exporter))}
	b := &builder{meter: m.provider.Meter(meterName)}
	m.Query = newQuery(b)
	m.Owner = newOwner(b)
	m.Lease = newLease(b)
	m.Control = newControl(b)
	m.Quota = newQuota(b)
	m.List = newList(b)
	m.Rollout = newRollout(b)
	m.Clients = newClients(b)
	m.Forward = newForward(b)
	if b.err != nil {
		return nil, b.err
	}
	return m, nil
}

// Handler returns the handler of the metrics page, in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close shuts the meter provider down.
func (m *Metrics) Close(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// builder creates instruments and keeps the first error.
type builder struct {
	meter metric.Meter
	err   error
}

// keepError keeps err if it is the first error.
func (b *builder) keepError(name string, err error) {
	if err != nil && b.err == nil {
		b.err = &MetricsError{Name: name, Cause: err}
	}
}

func (b *builder) counter(name, unit, text string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(text))
	b.keepError(name, err)
	return c
}

func (b *builder) histogram(name, unit, text string, bounds []float64) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(name, metric.WithUnit(unit), metric.WithDescription(text),
		metric.WithExplicitBucketBoundaries(bounds...))
	b.keepError(name, err)
	return h
}

func (b *builder) gauge(name, unit, text string) metric.Float64ObservableGauge {
	g, err := b.meter.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(text))
	b.keepError(name, err)
	return g
}

func (b *builder) observe(name string, callback metric.Callback, gauges ...metric.Observable) {
	_, err := b.meter.RegisterCallback(callback, gauges...)
	b.keepError(name, err)
}
