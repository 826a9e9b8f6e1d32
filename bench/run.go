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
	// settle is how long a run waits after the last deadline for targets to end
	// what they run.
	settle = 500 * time.Millisecond
	// replyMargin is the part of its deadline that a caller keeps for the way
	// back and its own work.
	replyMargin  = 10 * time.Millisecond
	resendPause  = 20 * time.Millisecond
	startTimeout = 30 * time.Second
)

// Run is one policy under one scenario.
type Run struct {
	Cluster      *Cluster
	Policy       Policy
	MeasureStart time.Time
}

// Sample is what came of one arrival.
type Sample struct {
	Arrival *Arrival
	// Replies holds the reply to each send.
	Replies []Reply
	// Latency is the time from the intended send time to the last reply.
	Latency time.Duration
}

// LastReply returns the reply that the caller went on with.
func (s *Sample) LastReply() Reply { return s.Replies[len(s.Replies)-1] }

// Execute runs one policy under the scenario and returns its measures.
func Execute(ctx context.Context, site *Site, sc Scenario, l Load, p Policy) (*Measures, error) {
	w, err := NewCluster(site, l.Seed)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := p.Start(startCtx, w); err != nil {
		return nil, err
	}
	defer p.Stop()
	arrivals := Arrivals(site, l)
	faults := sc.Faults(site, rand.New(rand.NewPCG(l.Seed, 4)), l.Duration) //nolint:gosec // Repeatable on purpose.
	r := &Run{Cluster: w, Policy: p, MeasureStart: time.Now().Add(l.Warmup)}
	samples, err := r.drive(ctx, sc, arrivals, faults)
	if err != nil {
		return nil, err
	}
	time.Sleep(settle)
	return measure(r, samples, faults), nil
}

// drive sends all arrivals at their times while the faults happen.
func (r *Run) drive(ctx context.Context, sc Scenario, arrivals []Arrival, faults []Fault) ([]Sample, error) {
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 1)
	go func() { failed <- r.inject(ctx, faults) }()
	samples := make([]Sample, len(arrivals))
	var all sync.WaitGroup
	for i := range arrivals {
		a := &arrivals[i]
		time.Sleep(time.Until(r.MeasureStart.Add(a.At)))
		all.Go(func() { samples[i] = r.send(ctx, sc, a) })
	}
	all.Wait()
	cancel()
	return samples, <-failed
}

// inject lets each fault happen at its time.
func (r *Run) inject(ctx context.Context, faults []Fault) error {
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

// send is one caller: it sends its query, and resends it while it's lost and
// the scenario and its deadline allow.
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
		got := reply.Answer != nil || reply.Refusal != nil
		if got && !resendable(reply) || try >= sc.MaxResends || wait <= 0 {
			return s
		}
		time.Sleep(resendPause)
	}
}

// resendable reports whether a caller sends a refused query again.
func resendable(r Reply) bool {
	return r.Refusal != nil && r.Refusal.Status >= 500
}

func (r *Run) takeOut(ctx context.Context, dc topology.DataCentre) error {
	o, ok := r.Policy.(OperatorActions)
	if !ok {
		return nil
	}
	accepted, err := o.TakeOut(ctx, dc)
	if err != nil {
		return err
	}
	r.Cluster.quiet(accepted, r.Cluster.TargetsInDC(dc)...)
	return nil
}

func (r *Run) bringBack(ctx context.Context, dc topology.DataCentre) error {
	o, ok := r.Policy.(OperatorActions)
	if !ok {
		return nil
	}
	r.Cluster.returned(time.Now(), r.Cluster.TargetsInDC(dc)...)
	_, err := o.BringBack(ctx, dc)
	return err
}

func (r *Run) leaveTarget(ctx context.Context, id topology.TargetID) error {
	o, ok := r.Policy.(OperatorActions)
	if !ok {
		return nil
	}
	accepted, err := o.RemoveTarget(ctx, id)
	if err != nil {
		return err
	}
	r.Cluster.quiet(accepted, id)
	return nil
}

func (r *Run) revive(ids []topology.TargetID) error {
	for _, id := range ids {
		if err := r.Cluster.Targets[id].Revive(); err != nil {
			return err
		}
	}
	return nil
}
