package router

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/telemetry"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// memberTimeout is how long a member may go without granting a lease, because
	// renewals are unanswered or unconfirmed, before the router switches to
	// another member.
	memberTimeout = 1200 * time.Millisecond
	// redialDelay is the delay before the next member is dialed.
	redialDelay = 100 * time.Millisecond
)

// SilentMemberError reports that a control member granted no lease in time.
type SilentMemberError struct {
	Addr  string
	After time.Duration
}

// Error implements error.
func (e *SilentMemberError) Error() string {
	return "control member " + e.Addr + " granted no lease within " + e.After.String()
}

// follower keeps the board's replicated records and the lease up to date. It
// follows one control member at a time.
type follower struct {
	vm          topology.VM
	incarnation uint64
	members     []netip.AddrPort
	// currentMembers returns the current control members. If nil, members is used.
	currentMembers func() []netip.AddrPort
	board          *board.Board
	lease          *lease.Lease
	log            *slog.Logger
	leaving        func() bool
	// load returns the load of the owned targets. If nil, no load is reported.
	load  func() telemetry.OwnerLoad
	meter loadMeter
	// renewNow triggers a renewal before the renewal interval has passed.
	renewNow chan struct{}
	// traffic counts the bytes of messages to and from control.
	traffic telemetry.Lease
	// onLeader is called with the leader's address that the member reports, empty
	// if it has none.
	onLeader func(addr string)
	// onMembers is called with the member addresses that the member reports. It
	// may be nil.
	onMembers func(addrs []string)
}

// renew triggers a renewal without waiting for the next interval.
func (f *follower) renew() {
	select {
	case f.renewNow <- struct{}{}:
	default:
	}
}

// run follows the members in turn until ctx is done. Routers start at different
// members to spread the load. While a member cannot be reached, the next one is
// dialed concurrently.
func (f *follower) run(ctx context.Context) {
	for i := rpc.InitialPeerIndex(string(f.vm.Name)); ctx.Err() == nil; i++ {
		members := f.members
		if f.currentMembers != nil {
			members = f.currentMembers()
		}
		member, err := f.followFirst(ctx, rpc.Rotated(members, i))
		if ctx.Err() != nil {
			return
		}
		f.log.Warn("control member lost", "member", member, "error", err)
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

// followFirst connects to the first reachable member and renews the lease there
// until that fails. It returns the address of the member.
func (f *follower) followFirst(ctx context.Context, members []netip.AddrPort) (netip.AddrPort, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, member, err := rpc.DialFirst(ctx, members)
	if err != nil {
		return member, err
	}
	defer func() { _ = conn.Close() }()
	stream, err := pb.NewDRPCControlClient(conn).Follow(ctx)
	if err != nil {
		return member, &rpc.ConnectionLostError{Addr: member.String(), Cause: err}
	}
	s := &session{f: f, member: member, stream: stream, sent: make(map[uint64]time.Time)}
	return member, s.run(ctx)
}

// session is one stream to one member.
type session struct {
	f      *follower
	member netip.AddrPort
	stream pb.DRPCControl_FollowClient
	seq    uint64
	// sent holds, by sequence number, the time just before each unanswered
	// renewal was sent.
	sent map[uint64]time.Time
}

// recvResult is the result of one Recv on the stream.
type recvResult struct {
	response *pb.FollowResponse
	err      error
}

// run renews the lease until ctx is done, the stream fails, or the member grants
// no lease within memberTimeout.
func (s *session) run(ctx context.Context) error {
	responses := make(chan recvResult)
	go s.receive(ctx, responses)
	tick := time.NewTicker(lease.RenewInterval)
	defer tick.Stop()
	silence := time.NewTimer(memberTimeout)
	defer silence.Stop()
	if err := s.renew(); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-silence.C:
			return &SilentMemberError{Addr: s.member.String(), After: memberTimeout}
		case <-tick.C:
			if err := s.renew(); err != nil {
				return err
			}
		case <-s.f.renewNow:
			if err := s.renew(); err != nil {
				return err
			}
		case r := <-responses:
			if r.err != nil {
				return &rpc.ConnectionLostError{Addr: s.member.String(), Cause: r.err}
			}
			leased, err := s.handleResponse(r.response)
			if err != nil {
				return err
			}
			if leased {
				silence.Reset(memberTimeout)
			}
		}
	}
}

// receive sends the results of Recv to out until the stream fails or ctx is done.
func (s *session) receive(ctx context.Context, out chan<- recvResult) {
	for {
		r, err := s.stream.Recv()
		select {
		case out <- recvResult{r, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// renew sends a renewal with the applied index and the load of the owned targets.
func (s *session) renew() error {
	s.seq++
	s.sent[s.seq] = time.Now()
	f := s.f
	request := &pb.FollowRequest{
		Vm:          string(f.vm.Name),
		Incarnation: f.incarnation,
		Seq:         s.seq,
		Applied:     f.board.View().Index,
		DataCentre:  string(f.vm.DataCentre),
		RpcAddr:     f.vm.RPC.String(),
		HttpAddr:    f.vm.HTTP.String(),
		Leaving:     f.leaving(),
	}
	if f.load != nil {
		request.Loads, request.Cold = f.meter.report(f.load(), f.board.View().Topology)
	}
	f.traffic.AddBytes(telemetry.Sent, proto.Size(request))
	if err := s.stream.Send(request); err != nil {
		return &rpc.ConnectionLostError{Addr: s.member.String(), Cause: err}
	}
	return nil
}

// handleResponse applies a response's records, then extends the lease if the
// response confirms the applied index. It reports whether the lease was extended
// and is valid.
func (s *session) handleResponse(r *pb.FollowResponse) (bool, error) {
	s.f.traffic.AddBytes(telemetry.Received, proto.Size(r))
	if err := s.apply(r); err != nil {
		return false, err
	}
	s.f.onLeader(r.GetLeaderAddr())
	if s.f.onMembers != nil && len(r.GetMembers()) > 0 {
		s.f.onMembers(r.GetMembers())
	}
	if r.GetSeq() == 0 {
		return false, nil
	}
	sent, known := s.sent[r.GetSeq()]
	delete(s.sent, r.GetSeq())
	if !known || !r.GetConfirmed() || s.f.board.View().Index < r.GetIndex() {
		return false, nil
	}
	age := time.Duration(r.GetConfirmAgeUs()) * time.Microsecond
	longer := s.f.lease.Extend(sent, age)
	return longer && s.f.lease.Valid(time.Now()), nil
}

// apply applies the records of a response to the board.
func (s *session) apply(r *pb.FollowResponse) error {
	before := s.f.board.View()
	if r.GetIndex() == before.Index && len(r.GetRecords()) == 0 && !r.GetSnapshot() {
		return nil
	}
	var err error
	s.f.board.Update(func(v *board.View) { err = applyResponse(v, r) })
	if err != nil {
		return err
	}
	after := s.f.board.View()
	s.f.log.Info("records applied", "member", s.member, "from", before.Index, "to", after.Index,
		"records", len(r.GetRecords()), "snapshot", r.GetSnapshot(), "config", after.ConfigVersion)
	return nil
}
