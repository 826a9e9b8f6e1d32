package telemetry

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Forward records the metrics of forwarded requests. Its zero value records
// nothing. It is safe for concurrent use.
type Forward struct {
	answered metric.Float64Histogram
	missing  metric.Int64Counter
	refused  metric.Int64Counter
	attempts metric.Float64Histogram
	handOver metric.Int64Counter
	declined metric.Int64Counter
	backOffs metric.Int64Counter
	figures  metric.Int64Counter
	leftOut  metric.Int64Counter
	limited  metric.Int64Counter
	limits   metric.Int64Counter
	lost     metric.Int64Counter
	// series caches the attribute set of each series of attempts.
	series sync.Map // of attemptSeries to metric.MeasurementOption
}

// attemptSeries identifies one series of attempts.
type attemptSeries struct{ service, outcome string }

// forwardBounds are the bucket boundaries of latency histograms, in seconds.
var forwardBounds = []float64{.002, .005, .01, .02, .03, .04, .06, .08, .12, .2, .3, .5, 1, 2, 5}

func newForward(b *builder) *Forward {
	return &Forward{
		answered: b.histogram("peridotmux_forward_answer_seconds", "s", "Time to the answer, by route.", forwardBounds),
		missing:  b.counter("peridotmux_forward_missing_parts", "1", "Shards that gathered answers lack, by route."),
		refused:  b.counter("peridotmux_forward_refusals", "1", "Requests without a target's answer, by reason."),
		handOver: b.counter("peridotmux_forward_handover_failures", "1", "Shards handed to a helper that didn't answer, by what followed."),
		declined: b.counter("peridotmux_forward_parts_refused", "1", "Shards of other routers that were refused, by reason."),
		backOffs: b.counter("peridotmux_forward_bad_back_offs", "1", "Back-off times of targets that were malformed or too long."),
		figures:  b.counter("peridotmux_forward_odd_figures", "1", "Load reports whose figure is absent, malformed or out of range, by fault."),
		leftOut:  b.counter("peridotmux_forward_left_out", "1", "Shards that queries left out from the start since they were scarce, by route."),
		limited:  b.counter("peridotmux_forward_limited_attempts", "1", "Attempts at targets with a rate limit, by service."),
		limits:   b.counter("peridotmux_forward_bad_limits", "1", "Rate limits of targets that were malformed."),
		lost:     b.counter("peridotmux_forward_lost_targets", "1", "Attempts whose target closed the connection before its answer, by service and kind."),
		attempts: b.histogram("peridotmux_forward_attempt_seconds", "s", "Time of attempts at targets, by service and outcome.", forwardBounds),
	}
}

// Answered records an answer.
func (f *Forward) Answered(route string, after time.Duration, missing int) {
	if f.answered == nil {
		return
	}
	by := metric.WithAttributes(attribute.String("route", route))
	f.answered.Record(context.Background(), after.Seconds(), by)
	if missing > 0 {
		f.missing.Add(context.Background(), int64(missing), by)
	}
}

// Refused records a refusal.
func (f *Forward) Refused(reason string) {
	if f.refused != nil {
		f.refused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
	}
}

// HandOverFailed records that a helper that shards were handed to didn't answer.
func (f *Forward) HandOverFailed(then string) {
	if f.handOver != nil {
		f.handOver.Add(context.Background(), 1, metric.WithAttributes(attribute.String("then", then)))
	}
}

// PartsRefused records that shards of another router were refused.
func (f *Forward) PartsRefused(reason string) {
	if f.declined != nil {
		f.declined.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
	}
}

// BadBackOff records that a target's back-off time was malformed or had to be bounded.
func (f *Forward) BadBackOff() {
	if f.backOffs != nil {
		f.backOffs.Add(context.Background(), 1)
	}
}

// SentToLimited records an attempt at a target with a rate limit.
func (f *Forward) SentToLimited(service string) {
	if f.limited != nil {
		f.limited.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
	}
}

// BadLimit records that a target's rate limit was malformed.
func (f *Forward) BadLimit() {
	if f.limits != nil {
		f.limits.Add(context.Background(), 1)
	}
}

// TargetLost records an attempt whose target closed the connection before its answer.
// kind says whether it was the first one, a hedge or a retry.
func (f *Forward) TargetLost(service, kind string) {
	if f.lost != nil {
		f.lost.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("kind", kind)))
	}
}

// OddFigure records a load report whose figure is absent or absurd.
func (f *Forward) OddFigure(fault string) {
	if f.figures != nil {
		f.figures.Add(context.Background(), 1, metric.WithAttributes(attribute.String("fault", fault)))
	}
}

// LeftOut records that a query left shards out from the start.
func (f *Forward) LeftOut(route string, shards int) {
	if f.leftOut != nil && shards > 0 {
		f.leftOut.Add(context.Background(), int64(shards), metric.WithAttributes(attribute.String("route", route)))
	}
}

// Attempt records an attempt at a target. It is on the hot path, called for each
// part of each answer, so it caches attribute sets.
func (f *Forward) Attempt(service, outcome string, d time.Duration) {
	if f.attempts == nil {
		return
	}
	name := attemptSeries{service: service, outcome: outcome}
	by, known := f.series.Load(name)
	if !known {
		set := attribute.NewSet(attribute.String("service", service), attribute.String("outcome", outcome))
		by, _ = f.series.LoadOrStore(name, metric.WithAttributeSet(set))
	}
	f.attempts.Record(context.Background(), d.Seconds(), by.(metric.MeasurementOption))
}
