package service

import (
	"context"
	"time"

	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// SilentRouterError reports that a router's stream was closed because no
// renewal arrived in time.
type SilentRouterError struct {
	VM    string
	After time.Duration
}

// Error describes the failure.
func (e *SilentRouterError) Error() string {
	return "router " + e.VM + " was silent for " + e.After.String()
}

// renewal is a router's request and the time it was received.
type renewal struct {
	request *pb.FollowRequest
	at      time.Time
}

// confirmation is the result of confirming the log's index for a renewal.
type confirmation struct {
	renewal renewal
	begun   time.Time
	err     error
}

// session serves one router's Follow stream.
type session struct {
	svc    *Service
	stream pb.DRPCControl_FollowStream
	// synced is true once sent reflects the records that the router holds.
	synced bool
	// sent is the index the router has reached once it applied everything sent
	// to it.
	sent uint64
	vm   string
}

// Follow streams records and lease confirmations to a router. It implements the
// Control rpc service.
func (s *Service) Follow(stream pb.DRPCControl_FollowStream) error {
	f := &session{svc: s, stream: stream}
	err := f.run(stream.Context())
	s.logger.Info("router stopped following", "router", f.vm, "cause", err)
	return err
}

// run serves the stream until it fails, ctx ends or no renewal arrives within
// renewalTimeout. At most one confirmation is in flight; only the newest
// renewal waits for the next one.
func (f *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	newest := make(chan renewal, 1)
	receiveErr := make(chan error, 1)
	go func() { receiveErr <- f.receive(newest) }()
	confirmed := make(chan confirmation, 1)
	timeout := time.NewTimer(renewalTimeout)
	defer timeout.Stop()
	var pending *renewal
	confirming := false
	for {
		// Get the channel before reading the records, so that a change in
		// between is not missed.
		changed := f.svc.state.RecordsChanged()
		if err := f.push(); err != nil {
			return err
		}
		if pending != nil && !confirming {
			confirming = true
			go f.confirm(ctx, *pending, confirmed)
			pending = nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-receiveErr:
			return err
		case <-timeout.C:
			return &SilentRouterError{VM: f.vm, After: renewalTimeout}
		case <-changed:
		case r := <-newest:
			timeout.Reset(renewalTimeout)
			f.register(r)
			if err := f.sendInitialRecords(r); err != nil {
				return err
			}
			pending = &r
		case c := <-confirmed:
			confirming = false
			if err := f.respond(c); err != nil {
				return err
			}
		}
	}
}

// receive keeps the newest renewal in out and returns the stream's error.
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

// register records the router and its newest renewal.
func (f *session) register(r renewal) {
	if f.vm == "" {
		f.vm = r.request.GetVm()
		f.svc.logger.Info("router follows", "router", f.vm, "applied", r.request.GetApplied())
	}
	f.svc.followers.renew(r)
}

// sendInitialRecords sends this member's records to a router that has none,
// before any confirmation. They grant no lease, but a router that has just
// started can load its routes without waiting for a leader election.
func (f *session) sendInitialRecords(r renewal) error {
	if f.synced || r.request.GetApplied() > 0 {
		return nil
	}
	response := &pb.FollowResponse{}
	f.addRecords(response)
	if response.GetIndex() == 0 {
		return nil
	}
	return f.stream.Send(response)
}

// confirm confirms the log's index for a renewal and sends the result to out.
// It fails with a *state.StaleIndexError if this member is behind the router.
func (f *session) confirm(ctx context.Context, r renewal, out chan<- confirmation) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	applied := r.request.GetApplied()
	index, begun, err := f.svc.confirm.confirm(ctx, applied, time.Now())
	if err == nil && index < applied {
		err = &state.StaleIndexError{Have: applied, Got: index}
	}
	out <- confirmation{renewal: r, begun: begun, err: err}
}

// push sends the records written since the last message to the router.
func (f *session) push() error {
	if !f.synced {
		return nil
	}
	d := f.svc.state.Delta(f.sent)
	if len(d.Records) == 0 || d.Index <= f.sent {
		return nil
	}
	f.sent = d.Index
	f.svc.metrics.Pushed(len(d.Records))
	return f.stream.Send(&pb.FollowResponse{Snapshot: d.Snapshot, Records: d.Records, Index: d.Index})
}

// respond sends the response to a renewal. Only a confirmed response grants a
// lease.
func (f *session) respond(c confirmation) error {
	q := c.renewal.request
	response := &pb.FollowResponse{
		Seq:        q.GetSeq(),
		LeaderAddr: f.svc.log.Leadership().LeaderAddr,
	}
	if f.svc.voterAddrs != nil {
		response.Members = f.svc.voterAddrs()
	}
	if !f.synced {
		f.sent = q.GetApplied()
	}
	f.addRecords(response)
	f.svc.metrics.Renewed(c.err == nil)
	if c.err != nil {
		f.svc.logger.Warn("lease not confirmed", "router", f.vm, "cause", c.err)
		return f.stream.Send(response)
	}
	age := time.Since(c.begun)
	response.Confirmed = true
	response.ConfirmAgeUs = uint64(age.Microseconds()) + 1
	f.svc.followers.extendLease(q, c.renewal.at.Add(lease.Duration-age))
	return f.stream.Send(response)
}

// addRecords adds the records that the router misses to a response. It adds
// none if this member is behind the router.
func (f *session) addRecords(response *pb.FollowResponse) {
	d := f.svc.state.Delta(f.sent)
	response.Index = d.Index
	if d.Index < f.sent {
		return
	}
	f.synced = true
	f.sent = d.Index
	response.Snapshot = d.Snapshot
	response.Records = d.Records
	f.svc.metrics.Pushed(len(d.Records))
}
