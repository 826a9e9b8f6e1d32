package service

import (
	"context"
	"time"

	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// SilentRouterError says that a router sent no renewal for too long.
type SilentRouterError struct {
	VM    string
	After time.Duration
}

// Error describes the failure.
func (e *SilentRouterError) Error() string {
	return "router " + e.VM + " was silent for " + e.After.String()
}

// renewal is a router's request with the time of its receipt.
type renewal struct {
	request *pb.FollowRequest
	at      time.Time
}

// confirmation is the log's answer to a renewal.
type confirmation struct {
	renewal renewal
	begun   time.Time
	err     error
}

// session serves one router's Follow stream.
type session struct {
	s      *Service
	stream pb.DRPCControl_FollowStream
	// started is set once the router's first renewal told what it has.
	started bool
	// sent is the index that the router has once it applied what was sent.
	sent uint64
	vm   string
}

// Follow implements the Control service.
func (s *Service) Follow(stream pb.DRPCControl_FollowStream) error {
	f := &session{s: s, stream: stream}
	err := f.run(stream.Context())
	s.logger.Info("router stopped following", "router", f.vm, "cause", err)
	return err
}

func (f *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	newest := make(chan renewal, 1)
	lost := make(chan error, 1)
	go func() { lost <- f.receive(newest) }()
	confirmed := make(chan confirmation, 1)
	silence := time.NewTimer(routerSilence)
	defer silence.Stop()
	var waiting *renewal
	busy := false
	for {
		// The channel is taken before the records are read, so that no change
		// is missed in between.
		changed := f.s.state.RecordsChanged()
		if err := f.push(); err != nil {
			return err
		}
		if waiting != nil && !busy {
			busy = true
			go f.confirm(ctx, *waiting, confirmed)
			waiting = nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-lost:
			return err
		case <-silence.C:
			return &SilentRouterError{VM: f.vm, After: routerSilence}
		case <-changed:
		case r := <-newest:
			silence.Reset(routerSilence)
			f.seat(r)
			if err := f.greet(r); err != nil {
				return err
			}
			waiting = &r
		case c := <-confirmed:
			busy = false
			if err := f.answer(c); err != nil {
				return err
			}
		}
	}
}

// receive keeps the newest renewal in out until the stream fails.
func (f *session) receive(out chan renewal) error {
	for {
		q, err := f.stream.Recv()
		if err != nil {
			return err
		}
		r := renewal{request: q, at: time.Now()}
		select {
		case out <- r:
			continue
		default:
		}
		select {
		case <-out:
		default:
		}
		out <- r
	}
}

// seat notes the router and what it has.
func (f *session) seat(r renewal) {
	if f.vm == "" {
		f.vm = r.request.GetVm()
		f.s.logger.Info("router follows", "router", f.vm, "applied", r.request.GetApplied())
	}
	f.s.seats.renew(r)
}

// greet sends a router without records what this member has, before any
// confirmation: they give no lease, but a router that has just started need not
// wait for an election to know its routes.
func (f *session) greet(r renewal) error {
	if f.started || r.request.GetApplied() > 0 {
		return nil
	}
	response := &pb.FollowResponse{}
	f.fill(response)
	if response.GetIndex() == 0 {
		return nil
	}
	return f.stream.Send(response)
}

func (f *session) confirm(ctx context.Context, r renewal, out chan<- confirmation) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	applied := r.request.GetApplied()
	index, begun, err := f.s.confirm.confirm(ctx, applied, time.Now())
	if err == nil && index < applied {
		err = &state.StaleIndexError{Have: applied, Got: index}
	}
	out <- confirmation{renewal: r, begun: begun, err: err}
}

// push sends what changed since the router was last sent something.
func (f *session) push() error {
	if !f.started {
		return nil
	}
	d := f.s.state.Delta(f.sent)
	if len(d.Records) == 0 || d.Index <= f.sent {
		return nil
	}
	f.sent = d.Index
	f.s.metrics.Pushed(len(d.Records))
	return f.stream.Send(&pb.FollowResponse{Snapshot: d.Snapshot, Records: d.Records, Index: d.Index})
}

// answer answers a renewal. Only a confirmed answer gives a lease.
func (f *session) answer(c confirmation) error {
	q := c.renewal.request
	response := &pb.FollowResponse{
		Seq:        q.GetSeq(),
		LeaderAddr: f.s.log.Leadership().LeaderAddr,
	}
	if f.s.members != nil {
		response.Members = f.s.members()
	}
	if !f.started {
		f.sent = q.GetApplied()
	}
	f.fill(response)
	f.s.metrics.Renewed(c.err == nil)
	if c.err != nil {
		f.s.logger.Warn("lease not confirmed", "router", f.vm, "cause", c.err)
		return f.stream.Send(response)
	}
	age := time.Since(c.begun)
	response.Confirmed = true
	response.ConfirmAgeUs = uint64(age.Microseconds()) + 1
	f.s.seats.lease(q, c.renewal.at.Add(lease.Duration-age))
	return f.stream.Send(response)
}

// fill puts the records into a response that the router lacks. A member that is
// behind the router sends none.
func (f *session) fill(response *pb.FollowResponse) {
	d := f.s.state.Delta(f.sent)
	response.Index = d.Index
	if d.Index < f.sent {
		return
	}
	f.started = true
	f.sent = d.Index
	response.Snapshot = d.Snapshot
	response.Records = d.Records
	f.s.metrics.Pushed(len(d.Records))
}
