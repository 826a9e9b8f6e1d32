package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/topology"
)

const (
	// settleTime is the wait after the last reply for targets to finish their
	// searches.
	settleTime = 500 * time.Millisecond
	// replyMargin is the part of the deadline that a caller reserves for the
	// reply's transfer and for its own processing.
	replyMargin = 10 * time.Millisecond
	// resendPause is the time between a reply and the resend of the query.
	resendPause = 20 * time.Millisecond
	// startTimeout limits the start of a policy and the lookup of the leader.
	startTimeout = 30 * time.Second
)

// Run is the execution of one scenario with one policy. MeasureStart is the end
// of the warm-up; times of arrivals and faults are relative to it.
type Run struct {
	Cluster      *Cluster
	Policy       Policy
	MeasureStart time.Time
}

// Sample is the result of one arrival.
type Sample struct {
	Arrival *Arrival
	// Replies holds the reply to each send, at least one.
	Replies []Reply
	// Unsent means that the load generator was so late that the query wasn't sent.
	Unsent bool
	// Latency is the time from the intended send time to the last reply.
	Latency time.Duration
}

// LastReply returns the reply that the caller used.
func (s *Sample) LastReply() Reply { return s.Replies[len(s.Replies)-1] }

// Execute runs the scenario with one policy on fresh targets and returns the
// measurements. It returns the first error of starting the targets or the policy
// or of applying a fault.
func Execute(ctx context.Context, site *Site, sc Scenario, l Load, p Policy) (*Measures, error) {
	cluster, err := NewCluster(site, l.Seed)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := p.Start(startCtx, cluster); err != nil {
		return nil, err
	}
	defer p.Stop()
	arrivals := Arrivals(site, l)
	faults := sc.Faults(site, rand.New(rand.NewPCG(l.Seed, 4)), l.Duration) //nolint:gosec // Repeatable by design.
	r := &Run{Cluster: cluster, Policy: p, MeasureStart: time.Now().Add(l.Warmup)}
	samples, err := r.sendAll(ctx, sc, arrivals, faults)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	return measure(r, samples, faults), nil
}

// sendAll sends all arrivals at their times and applies the faults meanwhile. The
// samples are in the order of the arrivals.
func (r *Run) sendAll(ctx context.Context, sc Scenario, arrivals []Arrival, faults []Fault) ([]Sample, error) {
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	injectErr := make(chan error, 1)
	go func() { injectErr <- r.injectFaults(ctx, faults) }()
	samples := make([]Sample, len(arrivals))
	var all sync.WaitGroup
	for i := range arrivals {
		a := &arrivals[i]
		time.Sleep(time.Until(r.MeasureStart.Add(a.At)))
		all.Go(func() { samples[i] = r.send(ctx, sc, a) })
	}
	all.Wait()
	cancel()
	return samples, <-injectErr
}

// injectFaults applies each fault at its time until ctx ends. The faults are
// sorted by time.
func (r *Run) injectFaults(ctx context.Context, faults []Fault) error {
	for _, f := range faults {
		timer := time.NewTimer(time.Until(r.MeasureStart.Add(f.At)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		if err := f.Apply(ctx, r); err != nil && ctx.Err() == nil {
			return err
		}
		if f.Description != "" {
			r.Cluster.note(f.Description)
		}
	}
	return nil
}

// send simulates one caller. It sends a query and resends it after a loss or a
// refusal with status 5xx, as long as the scenario's MaxResends and the deadline
// permit.
func (r *Run) send(ctx context.Context, sc Scenario, a *Arrival) Sample {
	s := Sample{Arrival: a}
	intended := r.MeasureStart.Add(a.At)
	oneWay := r.Cluster.Site.ClientLatency
	for try := 0; ; try++ {
		time.Sleep(oneWay)
		wait := a.Kind.Deadline - time.Since(intended) - oneWay - replyMargin
		reply := Reply{}
		if wait > 0 {
			sent := a.resend(try)
			reply = r.Policy.Query(ctx, sent, wait)
			reply.Hash = sent.Hash
		}
		time.Sleep(oneWay)
		s.Replies = append(s.Replies, reply)
		s.Latency = time.Since(intended)
		s.Unsent = wait <= 0 && try == 0
		got := reply.Answer != nil || reply.Refusal != nil
		if got && !shouldResend(reply) || try >= sc.MaxResends || wait <= 0 {
			return s
		}
		time.Sleep(resendPause)
	}
}

// shouldResend reports whether a caller resends a query that was refused with r.
func shouldResend(r Reply) bool {
	return r.Refusal != nil && r.Refusal.Status >= 500
}

// takeOut takes a data centre out, if the policy supports it.
func (r *Run) takeOut(ctx context.Context, dc topology.DataCentre) error {
	o, ok := r.Policy.(OperatorActions)
	if !ok {
		return nil
	}
	accepted, err := o.TakeOut(ctx, dc)
	if err != nil {
		return err
	}
	r.Cluster.markQuiet(accepted, r.Cluster.TargetsInDC(dc)...)
	return nil
}

// bringBack brings a data centre back, if the policy supports it. Its targets
// count as returned before the request, since it may take effect at any time.
func (r *Run) bringBack(ctx context.Context, dc topology.DataCentre) error {
	o, ok := r.Policy.(OperatorActions)
	if !ok {
		return nil
	}
	r.Cluster.markReturned(time.Now(), r.Cluster.TargetsInDC(dc)...)
	_, err := o.BringBack(ctx, dc)
	return err
}

// removeTarget removes a target permanently, if the policy supports it.
func (r *Run) removeTarget(ctx context.Context, id topology.TargetID) error {
	o, ok := r.Policy.(OperatorActions)
	if !ok {
		return nil
	}
	accepted, err := o.RemoveTarget(ctx, id)
	if err != nil {
		return err
	}
	r.Cluster.markQuiet(accepted, id)
	return nil
}

// revive restarts killed targets, cold.
func (r *Run) revive(ids []topology.TargetID) error {
	for _, id := range ids {
		if err := r.Cluster.Targets[id].Revive(); err != nil {
			return err
		}
	}
	return nil
}
